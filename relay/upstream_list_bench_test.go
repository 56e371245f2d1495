package relay

import (
	"fmt"
	"testing"

	"woaddoor/contract"
	"woaddoor/route"
	"woaddoor/upstream"
)

// BenchmarkChangeOneUpstream measures the change of one entry in a list of 10,000 upstreams.
func BenchmarkChangeOneUpstream(b *testing.B) {
	r := newTestRelay()
	var entries []upstream.Entry
	for i := range 10_000 {
		entries = append(entries, upstream.Entry{
			ID: contract.UpstreamID(fmt.Sprintf("i-%010x", i)), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:80", i%5, i/250%250, i%250),
			DataCentre: contract.DataCentreID(fmt.Sprint("d", i%5)), Release: "v1", Slots: 24, Incarnation: 1, Revision: contract.Revision(i),
		})
	}
	services := map[contract.ServiceID]*route.Service{"s": {ID: "s", MaxConnections: 1900, CacheTokens: 600_000}}
	r.SetUpstreams(entries, services)
	b.ResetTimer()
	for i := range b.N {
		e := &entries[i%10_000]
		e.Leaving = !e.Leaving
		r.ChangeUpstreams([]upstream.Entry{*e}, nil, services)
	}
}
