package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func statedLimit(perSecond float64) RateLimit {
	return RateLimit{Statement: LimitStated, PerSecond: perSecond}
}

var noLimit = RateLimit{Statement: LimitNone}

// TestLimitFromReorderedAnswers applies the rate limits that answers state in the order in which
// the answers arrive. An answer to a request that was sent before the limit was learned contains
// nothing newer, since answers can overtake each other.
func TestLimitFromReorderedAnswers(t *testing.T) {
	type answer struct {
		stated             RateLimit
		sentAt, receivedAt int // seconds since the start
	}
	for name, c := range map[string]struct {
		answers []answer
		want    RateLimit
	}{
		"stated":                              {[]answer{{statedLimit(2), 0, 1}}, statedLimit(2)},
		"lifted":                              {[]answer{{statedLimit(2), 0, 1}, {noLimit, 1, 2}}, noLimit},
		"answer without a limit, sent before": {[]answer{{statedLimit(2), 1, 2}, {noLimit, 1, 3}}, statedLimit(2)},
		"rate changed":                        {[]answer{{statedLimit(2), 0, 1}, {statedLimit(8), 1, 2}}, statedLimit(8)},
		"rate changed, sent before":           {[]answer{{statedLimit(2), 0, 1}, {statedLimit(8), 0, 2}}, statedLimit(2)},
		"lifted, then a late answer that states it": {[]answer{{statedLimit(2), 0, 1}, {noLimit, 2, 3}, {statedLimit(2), 1, 4}}, noLimit},
		"lifted, then stated again":                 {[]answer{{statedLimit(2), 0, 1}, {noLimit, 2, 3}, {statedLimit(4), 3, 4}}, statedLimit(4)},
		"no statement":                              {[]answer{{statedLimit(2), 0, 1}, {RateLimit{}, 2, 3}}, statedLimit(2)},
		"never stated":                              {[]answer{{noLimit, 0, 1}}, RateLimit{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			tb := newTwoCentreTable(1, start)
			at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
			instance := contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}
			for _, a := range c.answers {
				tb.ApplyLimitAnswer(instance, a.stated, at(a.sentAt), at(a.receivedAt))
			}
			is.Equal(tb.HasLimit(instance), c.want.Statement == LimitStated)
			if got := tb.notices[instance]; got != nil {
				is.Equal(got.limit.RateLimit, c.want)
			} else {
				is.Equal(c.want, RateLimit{})
			}
		})
	}
}

// TestLimitSurvivesListUpdates checks that an instance's limit is kept while lists contain the
// instance, omit it and contain it again, and that a new instance has no limit.
func TestLimitSurvivesListUpdates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now)
	tb.ApplyLimitAnswer(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, statedLimit(0.1), now, now)
	is.Equal(tb.CountLimited(), 1)
	applyList(tb, now)
	is.Equal(tb.CountLimited(), 0)
	applyList(tb, now, listEntry("u1", "d", 1))
	is.Equal(tb.CountLimited(), 1)
	applyList(tb, now, listEntry("u1", "d", 2))
	is.Equal(tb.CountLimited(), 0)
}

// TestLimitMergeConverges gives three VMs the same limit updates, each VM in a different order
// and one update twice: all must end with the same limit.
func TestLimitMergeConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) LimitUpdate {
			limit := noLimit
			if rapid.Bool().Draw(r, "stated") {
				limit = statedLimit(float64(rapid.IntRange(0, 3).Draw(r, "per second")))
			}
			return LimitUpdate{Instance: contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Limit: limit, Version: uint64(rapid.IntRange(1, 4).Draw(r, "version"))}
		}), 1, 8).Draw(r, "updates")
		var known []LimitUpdate
		for range 3 {
			var l limitState
			for _, k := range append(rapid.Permutation(updates).Draw(r, "order"), updates[0]) {
				l.merge(k, rapid.Bool().Draw(r, "fresh"), time.Unix(1000, 0))
			}
			known = append(known, l.toUpdate(contract.UpstreamInstance{}))
		}
		if known[0] != known[1] || known[1] != known[2] {
			r.Fatalf("three VMs disagree: %v", known)
		}
	})
}

// TestDivideLimit checks the shares of rate limits: the owners together use the whole limit, and in
// any 4 s send no more than the upstream tolerates.
func TestDivideLimit(t *testing.T) {
	for _, vms := range []int{1, 2, 20, 59, 295} {
		for _, perSecond := range []float64{0, 0.1, 0.4, 0.99, 1, 1.6, 2, 7.5, 8, 20, 59, 200, 5000} {
			is := is.New(t)
			owners, s := divideLimit(perSecond, vms)
			is.True(owners >= 1 && owners <= vms)
			each := float64(time.Second) / float64(s.interval)
			is.True(float64(owners)*each <= 1.001*max(perSecond, 1))
			is.True(float64(owners)*each >= 0.999*perSecond) // the whole limit is divided
			is.True(float64(owners*s.maxPerWindow) <= 1.5*perSecond*4+5)
			is.True(float64(owners*s.maxPerWindow) >= perSecond*limitWindow.Seconds())
		}
	}
}

// TestLimiter sends whenever a share of a rate limit allows it. The requests in any window must
// stay within the share, a pause must save up no more than the burst, a lower limit must count
// what was sent under the higher one, a request that was not sent must be given back, and sends
// over the limit must be detected.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, high := divideLimit(10, 1)
	_, low := divideLimit(2, 1)
	l := limiter{startedAt: now}
	is.True(l.wait(high, now) > 0) // no burst is saved up at first
	sendAll := func(s limitShare, d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for l.wait(s, now) == 0 {
				l.record(s, now)
				n++
			}
		}
		return n
	}
	is.True(sendAll(high, limitWindow) >= high.maxPerWindow-2)
	is.True(l.overLimit(high, now))
	is.Equal(sendAll(low, 2*time.Second), 0) // the requests of the last 4 s fill the lower limit
	sendAll(low, limitWindow)
	is.True(sendAll(low, limitWindow) <= low.maxPerWindow)
	now = now.Add(time.Minute)
	is.True(!l.overLimit(low, now))
	is.Equal(sendAll(low, 10*time.Millisecond), ownerBurst)
	is.True(l.overLimit(low, now))
	is.True(l.wait(low, now) > 0)
	l.giveBack(low)
	is.Equal(l.wait(low, now), time.Duration(0))
}

// TestOverLimitOnlyWhenOthersAreBusy checks that an upstream with a limit gets more than that
// only if the others are busy, and never more than its tolerance.
func TestOverLimitOnlyWhenOthersAreBusy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now) // u1 in this data centre, u2 in another
	tb.SetOwners("d", Owners{Self: "vm", VMs: []contract.VMID{"vm"}})
	tb.ApplyLimitAnswer(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, statedLimit(2), now, now)
	send := func(busy bool) (arrivals int) {
		for range int(limitWindow / (100 * time.Millisecond)) {
			now = now.Add(100 * time.Millisecond)
			if busy {
				for range 100 {
					tb.RecordSent("u2")
				}
			}
			id := pickID(tb, now)
			tb.RecordSent(id)
			if id == "u1" {
				arrivals++
			}
			tb.RecordDone(id, Succeeded, time.Millisecond, now)
			if busy {
				for range 100 {
					tb.RecordDone("u2", Abandoned, 0, now)
				}
			}
		}
		return arrivals
	}
	now = now.Add(time.Minute)
	idle := send(false)
	now = now.Add(time.Minute)
	busy := send(true)
	_, s := divideLimit(2, 1)
	t.Logf("%d requests if the other upstream is idle, %d if it is busy, %d tolerated", idle, busy, s.maxPerWindow)
	is.True(idle <= int(2*limitWindow.Seconds())+ownerBurst)
	is.True(busy > idle)
	is.True(busy <= s.maxPerWindow)
}

// TestStaleLimitUpdateDoesNotDelayProbe lets another VM report a limit that both VMs already
// know, although neither has received a new answer: an owner must still probe the upstream.
func TestStaleLimitUpdateDoesNotDelayProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now)
	tb.SetOwners("d", Owners{Self: "vm", VMs: []contract.VMID{"vm"}})
	instance := contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}
	tb.ApplyLimitAnswer(instance, statedLimit(0), now, now)
	known := tb.Limits(1, now)[0]
	now = now.Add(probeInterval)
	tb.MergeLimit(known, true, now)
	is.True(tb.dueForProbe(engineQuery, now) == nil) // another VM has just received an answer
	now = now.Add(probeInterval)
	tb.MergeLimit(known, false, now)
	is.True(tb.dueForProbe(engineQuery, now) != nil)
}
