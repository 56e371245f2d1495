package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestVMIsolated checks when a VM counts as isolated from the upstreams of its pools.
func TestVMIsolated(t *testing.T) {
	now := time.Unix(100, 0)
	pools := func(entries []Entry) (ids []contract.PoolID) {
		for _, e := range entries {
			ids = append(ids, e.PoolID())
		}
		return ids
	}
	finishRequests := func(tb *Table, r Result, ids ...contract.UpstreamID) {
		for _, id := range ids {
			tb.RecordSent(id)
			tb.RecordDone(id, r, 0, now)
		}
	}
	for name, c := range map[string]struct {
		change   func(tb *Table)
		isolated bool
	}{
		"all upstreams reachable":       {func(*Table) {}, false},
		"other data centre unreachable": {func(tb *Table) { finishRequests(tb, Unreachable, "e0") }, false},
		"other data centre unreachable, own upstreams down": {func(tb *Table) {
			finishRequests(tb, Unreachable, "e0", "d0")
			finishRequests(tb, ConnectionRefused, "d1")
		}, true},
		"other data centre refuses connections": {func(tb *Table) { finishRequests(tb, ConnectionRefused, "e0", "d0", "d1") }, false},
		"one own upstream recovered": {func(tb *Table) {
			finishRequests(tb, Unreachable, "e0", "d0", "d1")
			finishRequests(tb, Succeeded, "d1")
		}, false},
		"other data centre reachable again": {func(tb *Table) {
			finishRequests(tb, Unreachable, "e0", "d0", "d1")
			tb.RecordDataCentreProbe("e", true, now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, entries := newListedTable(2)
			c.change(tb)
			is.Equal(tb.Isolated("d", pools(entries), now), c.isolated)
			is.True(!tb.Isolated("d", pools(entries), now.Add(unreachableFor))) // no attempt since then
		})
	}
}

// TestUnreachableCentreIsProbed checks that a data centre which appears to be unreachable is
// probed through any of its upstreams, since a single one may have failed by itself.
func TestUnreachableCentreIsProbed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, _ := newListedTable(3)
	r := seededRandom()
	is.Equal(len(tb.ProbeTargets(now, r)), 0)
	tb.RecordSent("e0")
	tb.RecordDone("e0", Unreachable, 0, now)
	seen := make(map[string]bool)
	for range 60 {
		for dc, address := range tb.ProbeTargets(now, r) {
			is.Equal(dc, contract.DataCentreID("e"))
			seen[address] = true
		}
	}
	is.Equal(len(seen), 3)
	tb.RecordDataCentreProbe("e", true, now)
	is.Equal(len(tb.ProbeTargets(now, r)), 0)
	tb.SuspectDataCentre("e")
	is.Equal(len(tb.ProbeTargets(now, r)), 1)
	tb.RecordDataCentreProbe("e", false, now)
	is.Equal(len(tb.ProbeTargets(now.Add(unreachableFor), r)), 0)
}
