package upstream

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
)

// TestFractionOfPoolGrows guards against a trial that leaves the upstreams it has used, or that takes more of them
// than its share of the load fills, or that has no choice where its share fills one.
func TestFractionOfPoolGrows(t *testing.T) {
	is := is.New(t)
	var states []*state
	for n := range 20 {
		states = append(states, &state{idHash: uint64(n * 7 % 20), upstream: config.Upstream{ID: contract.UpstreamID(fmt.Sprint("u", 10+n))}, pool: &config.Pool{ID: contract.PoolID(fmt.Sprint("p", n%2))}})
	}
	previous := []*state(nil)
	for fraction, want := range map[float64]int{0.01: 2, 0.1: 4, 0.25: 6, 0.5: 10, 1: 20} {
		is.Equal(len(Query{Fraction: fraction}.restrict(slices.Clone(states))), want)
	}
	is.Equal(countOf(0.5, 2), 1)
	for _, fraction := range []float64{0.08, 0.25, 0.5, 1} {
		kept := Query{Fraction: fraction}.restrict(slices.Clone(states))
		for _, s := range previous {
			is.True(slices.Contains(kept, s))
		}
		previous = kept
	}
}
