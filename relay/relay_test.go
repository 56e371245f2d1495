package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

func testRelay() *Relay {
	return New(&Options{
		Log: zap.NewNop(), Now: time.Now, VMs: func() int { return 1 }, Seed: 1,
		Budget: retry.WindowOptions{Ratio: 1, Slack: 100},
	})
}

func testJob(resumable bool) *job {
	now := time.Now()
	r := &route.Route{
		Name: "r", Kind: route.Stream, Resumable: resumable, MaxAttempts: 3, Objective: time.Second,
		Models: []contract.ModelID{"small", "large"},
	}
	return &job{Request: &Request{Route: r, ChooseModel: true, Arrived: now, Deadline: now.Add(time.Minute)}, model: "small", weight: 1}
}

// TestNoEscalationOfWhatMayNotRepeat checks that a poor answer is given up only
// where the request may run again, where another attempt is left, and before
// the caller has any of it.
func TestNoEscalationOfWhatMayNotRepeat(t *testing.T) {
	poor := &Head{Confidence: 0.1}
	for name, c := range map[string]struct {
		change func(j *job)
		up     bool
	}{
		"may run again":   {func(*job) {}, true},
		"may not":         {func(j *job) { j.Route.Resumable = false }, false},
		"last attempt":    {func(j *job) { j.sends = 2 }, false},
		"begun":           {func(j *job) { j.began = true }, false},
		"largest already": {func(j *job) { j.model = "large" }, false},
		"named by caller": {func(j *job) { j.ChooseModel = false }, false},
		"too late":        {func(j *job) { j.Deadline = j.Arrived }, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := testJob(true)
			c.change(j)
			is := is.New(t)
			r := testRelay()
			j.service, j.weight = "s", 1
			r.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
			to, up := r.escalates(j, poor)
			is.Equal(up, c.up)
			is.Equal(to == "large", c.up)
		})
	}
}

// TestModelFirst checks which model answers first: the smallest, to be given up
// where its answer is poor; the largest where no answer may be given up; the
// smallest for good where the largest would come late.
func TestModelFirst(t *testing.T) {
	is := is.New(t)
	first := func(j *job, r *Relay) contract.ModelID {
		j.model = ""
		r.locked(func() { r.chooseModel(j) })
		return j.model
	}
	is.Equal(first(testJob(true), testRelay()), contract.ModelID("small"))
	is.Equal(first(testJob(false), testRelay()), contract.ModelID("large")) // it could not be given up
	busy := testRelay()
	busy.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
	busy.HearSent([]Sent{
		{Upstream: "u", Model: "large", Tokens: 9000, Takes: 800 * time.Millisecond, Token: 100 * time.Microsecond},
		{Upstream: "u", Model: "small", Tokens: 100, Takes: time.Millisecond, Token: 10 * time.Microsecond},
	})
	j := testJob(false)
	j.service, j.PromptTokens = "s", 4000
	is.Equal(first(j, busy), contract.ModelID("small")) // the larger one would be late
}

// TestHungBesideSuspected checks that a silent attempt is left at its limit for a
// healthy upstream only, and for a suspected one when it counts as hung.
func TestHungBesideSuspected(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		suspected bool
		after     time.Duration
	}{
		"healthy":   {false, limit},
		"suspected": {true, hungAfter * limit},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1})
			u1, u2 := upstream.Entry{ID: "u1", Service: "s", Slots: 4}, upstream.Entry{ID: "u2", Service: "s", Slots: 4}
			r.SetUpstreams([]upstream.Entry{u1, u2}, nil)
			for range 3 {
				if c.suspected {
					r.table.Sent(u2.ID)
					r.table.Done(u2.ID, upstream.Failed, 0, now)
				}
			}
			j := testJob(true)
			j.service, j.last = "s", u1
			ended := time.Time{}
			a := r.watch(j, now.Add(limit), func() { ended = now })
			defer a.stop()
			began := now
			for ended.IsZero() && now.Sub(began) < time.Minute {
				now = now.Add(lookAgain / 2)
				a.ring()
			}
			is.Equal(ended.Sub(began), c.after)
		})
	}
}

// TestHopelessIsRefusedAtOnce checks that a request which no model could answer
// before its deadline is refused without a try, with a time to come back, and
// that any other is tried.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		queued time.Duration
		left   time.Duration
		refuse bool
	}{
		"queue beyond the deadline": {5 * time.Second, time.Second, true},
		"late but in time to serve": {5 * time.Second, 20 * time.Second, false},
		"no queue":                  {0, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1})
			r.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
			r.HearSent([]Sent{{Upstream: "u", Model: "large", Tokens: 9000, Takes: c.queued}})
			j := testJob(true)
			j.service, j.PromptTokens, j.Arrived, j.Deadline = "s", 400, now, now.Add(c.left)
			var after time.Duration
			refuse := false
			r.locked(func() { after, refuse = r.chooseModel(j) })
			is.Equal(refuse, c.refuse)
			if refuse { // the queue has to be short enough by then, and not all come at once
				is.True(after >= c.queued-c.left)
				is.True(after <= 2*c.queued+c.left)
			}
		})
	}
}

// TestSendersAreThoseHeardOf checks that the demand before the engines that this VM
// hears of is that of the VMs which send to them, and not of all there are.
func TestSendersAreThoseHeardOf(t *testing.T) {
	is := is.New(t)
	r := testRelay()
	r.opts.VMs = func() int { return 295 }
	is.Equal(r.senders(), 295) // nothing is known of the others yet
	r.opts.Group = func() upstream.Group { return upstream.Group{VMs: 57} }
	r.Level()
	is.Equal(r.senders(), 57)
}
