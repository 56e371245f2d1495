package relay

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

// TestChangesEqualTheWholeList draws lists whose entries come, change in every field, start anew
// and go, and requests between them. A relay that is handed what has changed knows the same as one
// that is handed the whole list each time, and chooses the same.
func TestChangesEqualTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		services := map[contract.ServiceID]*route.Service{
			"s": {ID: "s", MaxConnections: 100, Memory: 1000, Cold: route.Cold{For: 3 * time.Second, PerSecond: 20}}, "p": {ID: "p", MaxConnections: 40},
		}
		vms := 1
		relayOf := func() *Relay {
			return New(&Options{
				Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return vms }, Seed: 7, DataCentre: "d0",
				Budget: retry.WindowOptions{Ratio: 1, Slack: 1000}, Cold: ColdBounds{Overshoot: 1.5, Slack: 5},
				Owners: func() upstream.Owners { return upstream.Owners{Self: "me", VMs: []contract.VMID{"me"}} },
			})
		}
		whole, changes := relayOf(), relayOf()
		list := make(map[contract.UpstreamID]upstream.Entry)
		push := func(changed []upstream.Entry, gone []contract.UpstreamID) {
			entries := slices.SortedFunc(maps.Values(list), func(a, b upstream.Entry) int { return cmpID(a.ID, b.ID) })
			whole.SetUpstreams(entries, services)
			if !changes.ChangeUpstreams(changed, gone, services) {
				changes.SetUpstreams(entries, services)
			}
		}
		whole.SetUpstreams(nil, services)
		changes.SetUpstreams(nil, services)
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			var changed []upstream.Entry
			var gone []contract.UpstreamID
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 4, rapid.ID).Draw(t, "upstreams") {
				id := contract.UpstreamID(fmt.Sprint("u", n))
				if _, there := list[id]; there && rapid.IntRange(0, 3).Draw(t, "goes") == 0 {
					delete(list, id)
					gone = append(gone, id)
					continue
				}
				e := drawnEntry(t, id)
				list[id] = e
				changed = append(changed, e)
			}
			if rapid.IntRange(0, 9).Draw(t, "vms change") == 0 {
				vms = rapid.IntRange(1, 20).Draw(t, "vms")
			}
			push(changed, gone)
			compareRelays(t, whole, changes)
			for n := range rapid.IntRange(0, 3).Draw(t, "requests") {
				askBoth(t, whole, changes, n, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func cmpID(a, b contract.UpstreamID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func drawnEntry(t *rapid.T, id contract.UpstreamID) upstream.Entry {
	return upstream.Entry{
		ID: id, Service: rapid.SampledFrom([]contract.ServiceID{"s", "s", "p"}).Draw(t, "service"),
		Address:    fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(t, "address")),
		DataCentre: rapid.SampledFrom([]contract.DataCentreID{"d0", "d1"}).Draw(t, "centre"),
		Release:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "release"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
		Born: rapid.Int64Range(1, 2).Draw(t, "born"), Revision: contract.Revision(rapid.IntRange(1, 50).Draw(t, "revision")),
	}
}

// askBoth has both choose for a request and end it alike.
func askBoth(t *rapid.T, a, b *Relay, n int, now time.Time) {
	ask := func(r *Relay) (upstream.Entry, *job) {
		j := testJob(true)
		j.service, j.ID, j.Arrived, j.Deadline, j.outcome = "s", contract.RequestID(fmt.Sprint("r", n)), now, now.Add(time.Minute), contract.NotRun
		e, _ := r.pick(j)
		return e, j
	}
	x, _ := ask(a)
	y, _ := ask(b)
	if x.ID != y.ID || x.Born != y.Born {
		t.Fatalf("the whole list leads to %v, the changes to %v", x, y)
	}
	if x.ID == "" || rapid.Bool().Draw(t, "runs on") {
		return
	}
	result := rapid.SampledFrom([]upstream.Result{upstream.Good, upstream.Failed, upstream.Down, upstream.TurnedAway}).Draw(t, "result")
	a.table.Done(x.ID, result, time.Millisecond, now)
	b.table.Done(x.ID, result, time.Millisecond, now)
}

// compareRelays fails the test where two relays know of different upstreams.
func compareRelays(t *rapid.T, a, b *Relay) {
	if !maps.Equal(a.entries, b.entries) {
		t.Fatalf("entries %v and %v", a.entries, b.entries)
	}
	if !maps.Equal(a.centreOf, b.centreOf) {
		t.Fatalf("data centres of pools %v and %v", a.centreOf, b.centreOf)
	}
	for _, s := range []contract.ServiceID{"s", "p"} {
		x, y := all(a.releases[s], nil), all(b.releases[s], nil)
		slices.Sort(x)
		slices.Sort(y)
		if !slices.Equal(x, y) {
			t.Fatalf("pools of %s %v and %v", s, x, y)
		}
	}
	if x, y := a.table.Cold(a.opts.Now()), b.table.Cold(b.opts.Now()); x != y {
		t.Fatalf("%d and %d are cold", x, y)
	}
}

// TestConnectionsOfAllVMs has 984 VMs share the 1,900 and 1,800 connections that upstreams accept:
// with two each at least, they were 1,968. Few VMs have what they had.
func TestConnectionsOfAllVMs(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ most, vms, each int }{
		{1900, 984, 1}, {1800, 984, 1}, {1900, 950, 2}, {1900, 295, 5}, {230, 6, 32}, {40, 20, 2}, {40, 30, 1}, {40, 1, 34}, {40, 100, 1},
	} {
		is.Equal(connectionsEach(c.most, c.vms), c.each)
		is.True(c.each*c.vms <= max(c.most, c.vms))
	}
	is.Equal(connectionsEach(0, 5), leastConnections) // no bound is known
}
