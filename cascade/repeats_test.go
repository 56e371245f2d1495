package cascade

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// replayed is a class of requests: how its worth stands to the cost of the models.
type replayed struct {
	small, large Option
}

// standing plays requests of three kinds of which the smaller model answers near half
// poorly, with a budget of repeats, and returns which part of the answers are poor and
// stand, and what the mean request was worth. The budget pays for a number of repeats a
// request over a window of the last hundred.
func standing(allowed float64, price func(used float64) float64) (poor, worth float64) {
	const n, window = 20000, 100
	kinds := []replayed{
		{Option{Good: 0.54, Cost: 0.003}, Option{Good: 1, Cost: 0.035}}, // a chat
		{Option{Good: 0.54, Cost: 0.012}, Option{Good: 1, Cost: 0.17}},
		{Option{Good: 0.54, Cost: 0.027}, Option{Good: 1, Cost: 0.4}}, // a summary
	}
	r := rand.New(rand.NewPCG(1, 1))
	repeats := make([]float64, window)
	used := 0.0
	for i := range n {
		used -= repeats[i%window]
		repeats[i%window] = 0
		k := kinds[r.IntN(len(kinds))]
		dearer := k.large
		dearer.Price += price(used / (allowed * window))
		if k.large.Alone() >= k.small.Then(dearer) {
			worth += k.large.Alone()
			continue
		}
		good := r.Float64() < k.small.Good
		worth += k.small.Kept(1) - k.small.spent()
		if good {
			continue
		}
		worth += k.small.Kept(0) - k.small.Kept(1)
		if dearer.After(k.small, 0) <= k.small.Kept(0) || used+1 > allowed*window {
			poor++
			continue
		}
		used++
		repeats[i%window] = 1
		worth += k.large.Alone() - k.small.Kept(0)
	}
	return poor / n, worth / n
}

// TestRepeatsWhereTheyGainMost replays a budget of repeats that is smaller than the
// poor answers. Given to whoever comes first, many poor answers stand; with a price few
// do, and the mean request is worth more, also than where repeats are free until the
// budget has been used up. Where the budget is ample, both are the same.
func TestRepeatsWhereTheyGainMost(t *testing.T) {
	is := is.New(t)
	free := func(float64) float64 { return 0 }
	atEnd := func(used float64) float64 { return RepeatPrice(used, 0) } // no price until it is used up
	dear := func(used float64) float64 { return RepeatPrice(used, DefaultRepeatPrice) }
	for _, allowed := range []float64{0.2, 0.3, 0.4} {
		poorFree, worthFree := standing(allowed, free)
		poor, worth := standing(allowed, dear)
		_, worthAtEnd := standing(allowed, atEnd)
		is.True(worth > worthAtEnd+0.005)
		is.True(poorFree > 0.05)
		is.True(poor < poorFree/2)
		is.True(poor < 0.01)
		is.True(worth > worthFree)
	}
	poorFree, _ := standing(0.2, free)
	is.True(poorFree > 0.2)
	poor, _ := standing(0.57, dear)
	is.True(poor < 0.01)
	poor, worth := standing(1, dear)
	_, worthFree := standing(1, free)
	is.Equal(poor, 0.0)
	is.True(worth > worthFree-0.001)
}

// TestRepeatPrice checks that the price is nothing while much is left, and rises.
func TestRepeatPrice(t *testing.T) {
	is.New(t).Equal(RepeatPrice(repeatFree, 1), 0.0)
	is.New(t).True(math.IsInf(RepeatPrice(1, 1), 1))
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0, 0.999).Draw(t, "a"), rapid.Float64Range(0, 0.999).Draw(t, "b")
		if p, q := RepeatPrice(min(a, b), 1), RepeatPrice(max(a, b), 1); p > q || p < 0 || q > 1 {
			t.Fatalf("%v at %v, %v at %v", p, min(a, b), q, max(a, b))
		}
	})
}
