package site

import (
	"fmt"
	"testing"
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
)

func manyEntries(n int) []upstream.Entry {
	var out []upstream.Entry
	for i := range n {
		out = append(out, upstream.Entry{
			ID: contract.UpstreamID(fmt.Sprintf("i-%010x", i)), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:80", i%5, i/250%250, i%250),
			DataCentre: contract.DataCentreID(fmt.Sprint("d", i%5)), Release: "v1", Slots: 24, CacheTokens: 600_000, Incarnation: 1, Revision: contract.Revision(i),
		})
	}
	return out
}

// upstreamListOfMany returns a list of n upstreams and the changes from which it was built.
func upstreamListOfMany(n int, now time.Time) (*UpstreamList, Changes[upstream.Entry]) {
	l := NewUpstreamList()
	c := Changes[upstream.Entry]{Revision: 1}
	for _, e := range manyEntries(n) {
		c.Items = append(c.Items, Item[upstream.Entry]{RawObject: RawObject{Name: string(e.ID), Revision: e.Revision}, Value: e})
	}
	l.Apply(c, true, now)
	return l, c
}

// BenchmarkListChange measures a change of one entry in a list of 10,000.
func BenchmarkListChange(b *testing.B) {
	now := time.Unix(0, 0)
	l, c := upstreamListOfMany(10_000, now)
	b.ResetTimer()
	for i := range b.N {
		one := c.Items[i%10_000]
		one.Revision += 20_000
		l.Apply(Changes[upstream.Entry]{Revision: 30_000, Items: []Item[upstream.Entry]{one}}, false, now)
		l.TakeChanges()
	}
}

// BenchmarkListExpire measures the check for lapsed entries, which runs four times a
// second.
func BenchmarkListExpire(b *testing.B) {
	now := time.Unix(0, 0)
	l, _ := upstreamListOfMany(10_000, now)
	b.ResetTimer()
	for range b.N {
		l.Expire(now)
	}
}
