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

// TestIncrementalListEqualsFullList draws lists in which entries appear, change in every
// field, restart and disappear, with requests in between. A relay that receives only the
// changes must have the same state and select the same upstreams as one that receives the full
// list each time.
func TestIncrementalListEqualsFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		services := map[contract.ServiceID]*route.Service{
			"s": {ID: "s", MaxConnections: 100, CacheTokens: 1000, Cold: route.ColdCapacity{Duration: 3 * time.Second, PerSecond: 20}}, "p": {ID: "p", MaxConnections: 40},
		}
		vms := 1
		newRelay := func() *Relay {
			return New(&Options{
				Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return vms }, Seed: 7, DataCentre: "d0",
				Budget: retry.ResendWindowOptions{Ratio: 1, Slack: 1000}, ColdBounds: ColdBounds{Overshoot: 1.5, Slack: 5},
				ColdOwners: func() upstream.Owners { return upstream.Owners{Self: "me", VMs: []contract.VMID{"me"}} },
			})
		}
		full, incremental := newRelay(), newRelay()
		list := make(map[contract.UpstreamID]upstream.Entry)
		update := func(changed []upstream.Entry, gone []contract.UpstreamID) {
			entries := slices.SortedFunc(maps.Values(list), func(a, b upstream.Entry) int { return compareIDs(a.ID, b.ID) })
			full.SetUpstreams(entries, services)
			if !incremental.ChangeUpstreams(changed, gone, services) {
				incremental.SetUpstreams(entries, services)
			}
		}
		full.SetUpstreams(nil, services)
		incremental.SetUpstreams(nil, services)
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			var changed []upstream.Entry
			var gone []contract.UpstreamID
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 4, rapid.ID).Draw(t, "upstreams") {
				id := contract.UpstreamID(fmt.Sprint("u", n))
				if _, there := list[id]; there && rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					delete(list, id)
					gone = append(gone, id)
					continue
				}
				e := genEntry(t, id)
				list[id] = e
				changed = append(changed, e)
			}
			if rapid.IntRange(0, 9).Draw(t, "number of VMs changes") == 0 {
				vms = rapid.IntRange(1, 20).Draw(t, "vms")
			}
			update(changed, gone)
			compareRelays(t, full, incremental)
			for n := range rapid.IntRange(0, 3).Draw(t, "requests") {
				compareSelection(t, full, incremental, n, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func compareIDs(a, b contract.UpstreamID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func genEntry(t *rapid.T, id contract.UpstreamID) upstream.Entry {
	return upstream.Entry{
		ID: id, Service: rapid.SampledFrom([]contract.ServiceID{"s", "s", "p"}).Draw(t, "service"),
		Address:    fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(t, "address")),
		DataCentre: rapid.SampledFrom([]contract.DataCentreID{"d0", "d1"}).Draw(t, "data centre"),
		Release:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "release"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
		Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"), Revision: contract.Revision(rapid.IntRange(1, 50).Draw(t, "revision")),
	}
}

// compareSelection selects an upstream with each relay, fails the test if they differ, and
// records the same result on both.
func compareSelection(t *rapid.T, a, b *Relay, n int, now time.Time) {
	selectWith := func(r *Relay) (upstream.Entry, *job) {
		j := newStreamJob(true)
		j.service, j.ID, j.Arrived, j.Deadline, j.execution = "s", contract.RequestID(fmt.Sprint("r", n)), now, now.Add(time.Minute), newExecution()
		e, _ := r.selectUpstream(j)
		return e, j
	}
	fromA, _ := selectWith(a)
	fromB, _ := selectWith(b)
	if fromA.ID != fromB.ID || fromA.Incarnation != fromB.Incarnation {
		t.Fatalf("the full list selects %v, the changes select %v", fromA, fromB)
	}
	if fromA.ID == "" || rapid.Bool().Draw(t, "keeps running") {
		return
	}
	result := rapid.SampledFrom([]upstream.Result{upstream.Succeeded, upstream.Failed, upstream.ConnectionRefused, upstream.Rejected}).Draw(t, "result")
	a.table.RecordDone(fromA.ID, result, time.Millisecond, now)
	b.table.RecordDone(fromA.ID, result, time.Millisecond, now)
}

// compareRelays fails the test if two relays have different upstreams.
func compareRelays(t *rapid.T, a, b *Relay) {
	if !maps.Equal(a.entries, b.entries) {
		t.Fatalf("entries differ: %v and %v", a.entries, b.entries)
	}
	if !maps.Equal(a.dataCentreOf, b.dataCentreOf) {
		t.Fatalf("data centres of pools differ: %v and %v", a.dataCentreOf, b.dataCentreOf)
	}
	for _, s := range []contract.ServiceID{"s", "p"} {
		x, y := poolsExcept(a.poolsByRelease[s], nil), poolsExcept(b.poolsByRelease[s], nil)
		slices.Sort(x)
		slices.Sort(y)
		if !slices.Equal(x, y) {
			t.Fatalf("pools of service %s differ: %v and %v", s, x, y)
		}
	}
	if x, y := a.table.CountCold(a.opts.Now()), b.table.CountCold(b.opts.Now()); x != y {
		t.Fatalf("numbers of cold upstreams differ: %d and %d", x, y)
	}
}

// TestConnectionsPerVM checks that the connections of all VMs together stay within what an
// upstream accepts. With a fixed minimum of 2 connections per VM, 984 VMs opened 1,968
// connections to upstreams that accept 1,900 and 1,800. The connections of small numbers of
// VMs must not change.
func TestConnectionsPerVM(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ maxConnections, vms, perVM int }{
		{1900, 984, 1}, {1800, 984, 1}, {1900, 950, 2}, {1900, 295, 5}, {230, 6, 32}, {40, 20, 2}, {40, 30, 1}, {40, 1, 34}, {40, 100, 1},
	} {
		is.Equal(connectionsPerVM(c.maxConnections, c.vms), c.perVM)
		is.True(c.perVM*c.vms <= max(c.maxConnections, c.vms))
	}
	is.Equal(connectionsPerVM(0, 5), minConnections) // no limit is known
}
