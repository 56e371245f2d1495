package upstream

import (
	"fmt"
	"slices"
	"strings"
)

// Dump returns what is known of the listed upstreams, a line each in the order of their ids, to
// compare two tables.
func (t *Table) Dump() string {
	var b strings.Builder
	for _, s := range t.ordered {
		fmt.Fprintf(&b, "%s at %s in %s of %d places, %d connections: leaving %d, born %d, in flight %d, cold until %v, place in its pool %d, in its data centre %d\n",
			s.upstream.ID, s.upstream.URL, s.pool.ID, s.pool.Slots, s.pool.Connections, s.leaving, s.born, s.inFlight, s.cold.until,
			slices.Index(t.pools[s.pool.ID], s), slices.Index(t.centres[s.pool.DataCentre], s))
	}
	fmt.Fprintf(&b, "%d states, %d pools, %d data centres\n", len(t.states), len(t.pools), len(t.centres))
	return b.String()
}
