package upstream

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"woaddoor/contract"
)

// dump describes what a table knows about the listed upstreams, one per line.
func (t *Table) dump() string {
	var b strings.Builder
	for _, s := range t.sortedStates {
		fmt.Fprintf(&b, "%s at %s in %s of %d slots, %d connections: leaving %d, incarnation %d, in flight %d, cold until %v, index in its pool %d, in its data centre %d\n",
			s.upstream.ID, s.upstream.URL, s.pool.ID, s.pool.Slots, s.pool.MaxConnections, s.leavingIncarnation, s.incarnation, s.inFlight, s.cold.until,
			slices.Index(t.pools[s.pool.ID], s), slices.Index(t.byDataCentre[s.pool.DataCentre], s))
	}
	fmt.Fprintf(&b, "%d states, %d pools, %d data centres, %d limited\n", len(t.states), len(t.pools), len(t.byDataCentre), len(t.limited))
	return b.String()
}

// TestListChangesEqualFullList generates lists whose upstreams are added, change in every field,
// restart and are removed. A table that applies only the changes must equal one that applies the
// whole list each time, including the order.
func TestListChangesEqualFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, changes := NewTable(Options{Listed: true}), NewTable(Options{Listed: true})
		now := time.Unix(1000, 0)
		list := make(map[contract.UpstreamID]Entry)
		listOf := func(entries []Entry) List {
			return List{
				Entries: entries, Now: now, Connections: func(s contract.ServiceID) int { return len(s) },
				Cold: func(s contract.ServiceID) ColdBound {
					return ColdBound{Duration: 3 * time.Second, PerSecond: 9, MaxPerSecond: 18}
				},
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			var changed []Entry
			var gone []contract.UpstreamID
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 4, rapid.ID).Draw(t, "upstreams") {
				id := contract.UpstreamID(fmt.Sprint("u", n))
				if _, there := list[id]; there && rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					delete(list, id)
					gone = append(gone, id)
					continue
				}
				list[id] = Entry{
					ID: id, Service: rapid.SampledFrom([]contract.ServiceID{"s", "page"}).Draw(t, "service"),
					Address:    fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(t, "address")),
					DataCentre: rapid.SampledFrom([]contract.DataCentreID{"d0", "d1"}).Draw(t, "centre"),
					Release:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "release"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
					Leaving: rapid.Bool().Draw(t, "leaving"), Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
					Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"), Revision: contract.Revision(rapid.IntRange(1, 50).Draw(t, "revision")),
				}
				changed = append(changed, list[id])
			}
			whole.ApplyList(listOf(slices.SortedFunc(maps.Values(list), func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })))
			changes.ApplyListChanges(listOf(changed), gone)
			if x, y := whole.dump(), changes.dump(); x != y {
				t.Fatalf("state from the whole list:\n%s\nstate from the changes:\n%s", x, y)
			}
			for id, e := range list {
				if rapid.IntRange(0, 4).Draw(t, "states a limit") == 0 {
					for _, table := range []*Table{whole, changes} {
						table.ApplyLimitAnswer(e.Instance(), RateLimit{Statement: LimitStated, PerSecond: 3}, now, now)
					}
				}
				if rapid.Bool().Draw(t, "sent") {
					whole.RecordSent(id)
					changes.RecordSent(id)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}
