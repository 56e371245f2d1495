package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newReferencedCanary returns a canary that knows 30 answers of the other releases, of 100 ms each.
func newReferencedCanary() (*Canary, time.Time) {
	o := testOrder()
	now := o.IssuedAt.Add(o.Duration * 6 / 10)
	c := NewCanary(o, 0.15, o.IssuedAt)
	for range 30 {
		observe(c, Response{Times: []time.Duration{100 * time.Millisecond}}, now)
	}
	return c, now
}

// TestEachEndOfAnAttemptCounts guards against attempts at a release on trial that are lost from the evidence because
// of how they end, or that count twice or for what they do not show.
func TestEachEndOfAnAttemptCounts(t *testing.T) {
	for name, c := range map[string]struct {
		retry           bool
		first           time.Duration // when the answer begins; zero for never
		end             End
		after           time.Duration // when the attempt ends
		slow, good, bad uint32
	}{
		"quick answer":                    {false, 100 * time.Millisecond, EndWhole, 110 * time.Millisecond, 0, 1, 0},
		"slow answer":                     {false, time.Second, EndWhole, time.Second, 1, 1, 0},
		"failure":                         {false, 0, EndFailed, 50 * time.Millisecond, 0, 0, 1},
		"failure of a request that fails": {true, 0, EndFailed, 50 * time.Millisecond, 0, 0, 0},
		"caller leaves late":              {false, 0, EndCut, time.Second, 1, 0, 0},
		"caller leaves early":             {false, 0, EndCut, 50 * time.Millisecond, 0, 0, 0},
		"discarded answer":                {false, 100 * time.Millisecond, EndDiscarded, 2 * time.Second, 0, 0, 0},
		"slow answer that is discarded":   {false, time.Second, EndDiscarded, time.Second, 1, 0, 0},
		"not run":                         {false, 0, EndNotRun, time.Second, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			canary, now := newReferencedCanary()
			a := canary.Begin(AttemptStart{Release: "v2", Route: "r", Retry: c.retry}, now)
			if c.first > 0 {
				a.First(now.Add(c.first))
			}
			for range 2 { // the second end must not count
				a.End(c.end, now.Add(c.after))
			}
			counts := canary.own.sum(0, allGroups)
			is.Equal(counts[countSent], uint32(1))
			is.Equal(counts[countFirstRank], c.slow)
			is.Equal(counts[countGood], c.good)
			is.Equal(counts[countBad], c.bad)
			is.Equal(len(canary.open), 0)
		})
	}
}

// TestSlowAttemptCountsBeforeItsEnd guards against a release that is completed while its slow answers are under way.
func TestSlowAttemptCountsBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	c, now := newReferencedCanary()
	a := c.Begin(AttemptStart{Release: "v2", Route: "r"}, now)
	c.ObserveOpen(now.Add(100 * time.Millisecond))
	is.Equal(c.own.sum(0, allGroups)[countFirstRank], uint32(0))
	c.ObserveOpen(now.Add(400 * time.Millisecond))
	is.Equal(c.own.sum(0, allGroups)[countFirstRank], uint32(1))
	a.First(now.Add(500 * time.Millisecond))
	a.End(EndWhole, now.Add(500*time.Millisecond))
	is.Equal(c.own.sum(0, allGroups)[countFirstRank], uint32(1))
}

// TestUnansweredReleaseIsNotCompleted guards against a release that is completed although the answers of most
// attempts at it have not begun.
func TestUnansweredReleaseIsNotCompleted(t *testing.T) {
	is := is.New(t)
	o := testOrder()
	c, now := NewCanary(o, 0.15, o.IssuedAt), o.IssuedAt.Add(o.Duration*6/10)
	for range 40 {
		c.Begin(AttemptStart{Release: "v2", Route: "r"}, now)
	}
	deadline := o.IssuedAt.Add(o.Duration)
	state, _ := c.NextState(deadline)
	is.Equal(state, OrderOpen)
	is.Equal(c.Share(deadline), c.plan.trialShare())
}
