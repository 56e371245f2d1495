package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestCutOff shows when a VM counts as cut off from what it serves.
func TestCutOff(t *testing.T) {
	now := time.Unix(100, 0)
	pools := func(entries []Entry) (ids []contract.PoolID) {
		for _, e := range entries {
			ids = append(ids, e.PoolOf())
		}
		return ids
	}
	end := func(tb *Table, r Result, ids ...contract.UpstreamID) {
		for _, id := range ids {
			tb.Sent(id)
			tb.Done(id, r, 0, now)
		}
	}
	for name, c := range map[string]struct {
		change func(tb *Table)
		off    bool
	}{
		"all is well":                              {func(*Table) {}, false},
		"the other data centre is away":            {func(tb *Table) { end(tb, Unreachable, "e0") }, false},
		"and those of the own one are gone":        {func(tb *Table) { end(tb, Unreachable, "e0", "d0"); end(tb, Down, "d1") }, true},
		"the other one says that they are down":    {func(tb *Table) { end(tb, Down, "e0", "d0", "d1") }, false},
		"one of the own has come back":             {func(tb *Table) { end(tb, Unreachable, "e0", "d0", "d1"); end(tb, Good, "d1") }, false},
		"the other one could be reached meanwhile": {func(tb *Table) { end(tb, Unreachable, "e0", "d0", "d1"); tb.Reached("e", true, now) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, entries := listed(2)
			c.change(tb)
			is.Equal(tb.CutOff("d", pools(entries), now), c.off)
			is.True(!tb.CutOff("d", pools(entries), now.Add(awayFor))) // nobody has tried since
		})
	}
}

// TestAway shows that a data centre which looks cut off is tried by any of its
// upstreams, since one of them may have fallen silent by itself.
func TestAway(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, _ := listed(3)
	r := random()
	is.Equal(len(tb.Away(now, r)), 0)
	tb.Sent("e0")
	tb.Done("e0", Unreachable, 0, now)
	seen := make(map[string]bool)
	for range 60 {
		for dc, address := range tb.Away(now, r) {
			is.Equal(dc, contract.DataCentreID("e"))
			seen[address] = true
		}
	}
	is.Equal(len(seen), 3)
	tb.Reached("e", true, now)
	is.Equal(len(tb.Away(now, r)), 0)
	tb.Doubt("e")
	is.Equal(len(tb.Away(now, r)), 1)
	tb.Reached("e", false, now)
	is.Equal(len(tb.Away(now.Add(awayFor), r)), 0)
}
