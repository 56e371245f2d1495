package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturnsSpread refuses 15 callers a second where 12 a second are served besides: those
// told to come back in a second are never many more than are served, no two come at once,
// and none waits longer than the bound.
func TestReturnsSpread(t *testing.T) {
	const (
		perSecond = 12
		longest   = 5 * time.Second
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var r Returns
	start := time.Unix(1000, 0)
	var back []time.Time
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Second / 15) {
		in := r.Next(perSecond, longest, random.Float64(), now)
		is.True(in > 0 && in <= longest)
		back = append(back, now.Add(in))
	}
	slices.SortFunc(back, time.Time.Compare)
	most := 0
	for i, from := range back {
		n, _ := slices.BinarySearchFunc(back[i:], from.Add(time.Second), time.Time.Compare)
		most = max(most, n)
	}
	t.Logf("%d come back within a second at most", most)
	is.True(most <= 3*perSecond)
}

// TestReturnsAlone tells a caller that is refused alone to come back when there is something
// for it, and one where next to nothing is served by the bound.
func TestReturnsAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var r, none Returns
	is.Equal(r.Next(2, 5*time.Second, 0, now), 500*time.Millisecond)
	is.Equal(r.Next(2, 5*time.Second, 0, now.Add(10*time.Second)), 500*time.Millisecond)
	is.Equal(none.Next(0, 5*time.Second, 0, now), 5*time.Second)
}
