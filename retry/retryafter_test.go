package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryTimesAreSpread refuses 15 callers per second where 12 per second can be served
// later. Any one-second interval must contain at most three times as many retry times as
// can be served in it, and no delay may exceed the bound.
func TestRetryTimesAreSpread(t *testing.T) {
	const (
		perSecond = 12
		maxDelay  = 5 * time.Second
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var r RetryScheduler
	start := time.Unix(1000, 0)
	var retryTimes []time.Time
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Second / 15) {
		delay := r.NextDelay(perSecond, maxDelay, random.Float64(), now)
		is.True(delay > 0 && delay <= maxDelay)
		retryTimes = append(retryTimes, now.Add(delay))
	}
	slices.SortFunc(retryTimes, time.Time.Compare)
	maxPerSecond := 0
	for i, from := range retryTimes {
		n, _ := slices.BinarySearchFunc(retryTimes[i:], from.Add(time.Second), time.Time.Compare)
		maxPerSecond = max(maxPerSecond, n)
	}
	t.Logf("at most %d callers retry within one second", maxPerSecond)
	is.True(maxPerSecond <= 3*perSecond)
}

// TestRetryTimeOfSingleCaller checks that a single refused caller is told to retry when capacity
// for one request is available, and that the delay is capped if there is no capacity at all.
func TestRetryTimeOfSingleCaller(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var r, noCapacity RetryScheduler
	is.Equal(r.NextDelay(2, 5*time.Second, 0, now), 500*time.Millisecond)
	is.Equal(r.NextDelay(2, 5*time.Second, 0, now.Add(10*time.Second)), 500*time.Millisecond)
	is.Equal(noCapacity.NextDelay(0, 5*time.Second, 0, now), 5*time.Second)
}
