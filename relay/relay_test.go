package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

func newTestRelay() *Relay {
	return New(&Options{
		Log: zap.NewNop(), Now: time.Now, VMs: func() int { return 1 }, Seed: 1,
		Budget: retry.ResendWindowOptions{Ratio: 1, Slack: 100},
	})
}

func newStreamJob(resumable bool) *job {
	now := time.Now()
	r := &route.Route{
		Name: "r", Kind: route.Stream, Resumable: resumable, MaxAttempts: 3, Objective: time.Second,
		Models: []contract.ModelID{"small", "large"},
	}
	return &job{Request: &Request{Route: r, ChooseModel: true, Arrived: now, Deadline: now.Add(time.Minute)}, model: "small", execution: newExecution(), relativeValue: 1}
}

// TestEscalationConditions checks that a poor answer is discarded only if the request may be
// executed again, another attempt is left, and the caller has received no part of the answer.
func TestEscalationConditions(t *testing.T) {
	poor := &ResponseHead{Confidence: 0.1}
	for name, c := range map[string]struct {
		change    func(j *job)
		escalates bool
	}{
		"repeatable":            {func(*job) {}, true},
		"not repeatable":        {func(j *job) { j.Route.Resumable = false }, false},
		"last attempt":          {func(j *job) { j.sends = 2 }, false},
		"stream begun":          {func(j *job) { j.headSent = true }, false},
		"largest model":         {func(j *job) { j.model = "large" }, false},
		"model named by caller": {func(j *job) { j.ChooseModel = false }, false},
		"deadline passed":       {func(j *job) { j.Deadline = j.Arrived }, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := newStreamJob(true)
			c.change(j)
			is := is.New(t)
			r := newTestRelay()
			j.service, j.relativeValue = "s", 1
			r.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
			larger, escalates := r.decideEscalation(j, poor)
			is.Equal(escalates, c.escalates)
			is.Equal(larger == "large", c.escalates)
		})
	}
}

// TestChooseFirstModel checks which model answers first: the smallest if its poor answer may
// be discarded; the largest if no answer may be discarded; the smallest without escalation if
// the largest would be late.
func TestChooseFirstModel(t *testing.T) {
	is := is.New(t)
	firstModel := func(j *job, r *Relay) contract.ModelID {
		j.model = ""
		r.withLock(func() { r.chooseModel(j) })
		return j.model
	}
	is.Equal(firstModel(newStreamJob(true), newTestRelay()), contract.ModelID("small"))
	is.Equal(firstModel(newStreamJob(false), newTestRelay()), contract.ModelID("large")) // its answer could not be discarded
	queued := newTestRelay()
	queued.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
	queued.MergeSent([]SentPrompt{
		{Upstream: "u", Model: "large", Tokens: 9000, PrefillTime: 800 * time.Millisecond, TokenTime: 100 * time.Microsecond},
		{Upstream: "u", Model: "small", Tokens: 100, PrefillTime: time.Millisecond, TokenTime: 10 * time.Microsecond},
	})
	j := newStreamJob(false)
	j.service, j.PromptTokens = "s", 4000
	is.Equal(firstModel(j, queued), contract.ModelID("small")) // the larger model would be late
}

// TestWatchdogWaitsLongerForSuspectedAlternative checks that a silent attempt is aborted at
// its timeout if a healthy upstream is available, and only once it counts as hung if the other
// upstream is suspected of being faulty.
func TestWatchdogWaitsLongerForSuspectedAlternative(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		suspected  bool
		abortAfter time.Duration
	}{
		"healthy":   {false, timeout},
		"suspected": {true, hungFactor * timeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1})
			u1, u2 := upstream.Entry{ID: "u1", Service: "s", Slots: 4}, upstream.Entry{ID: "u2", Service: "s", Slots: 4}
			r.SetUpstreams([]upstream.Entry{u1, u2}, nil)
			for range 3 {
				if c.suspected {
					r.table.RecordSent(u2.ID)
					r.table.RecordDone(u2.ID, upstream.Failed, 0, now)
				}
			}
			j := newStreamJob(true)
			j.service, j.lastUpstream = "s", u1
			aborted := time.Time{}
			watchdog := r.watchSilence(context.Background(), j, now.Add(timeout), func() { aborted = now })
			defer watchdog.stop(j, true)
			started := now
			for aborted.IsZero() && now.Sub(started) < time.Minute {
				now = now.Add(recheckInterval / 2)
				watchdog.check()
			}
			is.Equal(aborted.Sub(started), c.abortAfter)
		})
	}
}

// TestQueueBeyondDeadlineIsRefused checks that a request that no model can begin to answer
// before its deadline is refused without an attempt and with a retry time. Any other request
// is attempted.
func TestQueueBeyondDeadlineIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		queued  time.Duration
		left    time.Duration
		refused bool
	}{
		"queue exceeds the deadline":   {5 * time.Second, time.Second, true},
		"late but before the deadline": {5 * time.Second, 20 * time.Second, false},
		"no queue":                     {0, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1})
			r.SetUpstreams([]upstream.Entry{{ID: "u", Service: "s", Slots: 8}}, nil)
			r.MergeSent([]SentPrompt{{Upstream: "u", Model: "large", Tokens: 9000, PrefillTime: c.queued}})
			j := newStreamJob(true)
			j.service, j.PromptTokens, j.Arrived, j.Deadline = "s", 400, now, now.Add(c.left)
			var after time.Duration
			refused := false
			r.withLock(func() { after, refused = r.chooseModel(j) })
			is.Equal(refused, c.refused)
			if refused { // the queue must be short enough by then, and retries must be spread
				is.True(after >= c.queued-c.left)
				is.True(after <= 2*c.queued+c.left)
			}
		})
	}
}

// TestSendingVMsFollowGossipScope checks that sendingVMs returns the number of VMs in the gossip
// scope, which send requests to the same engines, rather than the number of all VMs.
func TestSendingVMsFollowGossipScope(t *testing.T) {
	is := is.New(t)
	r := newTestRelay()
	r.opts.VMs = func() int { return 295 }
	is.Equal(r.sendingVMs(), 295) // the gossip scope is not yet known
	r.opts.GossipScope = func() upstream.GossipScope { return upstream.GossipScope{VMs: 57} }
	r.Refresh()
	is.Equal(r.sendingVMs(), 57)
}

// TestUncountedVMHasNoBudgetOfItsOwn guards against a VM that the others do not count yet taking the
// whole slack of the retry budgets, because it knows no other VM.
func TestUncountedVMHasNoBudgetOfItsOwn(t *testing.T) {
	is := is.New(t)
	for _, counted := range []bool{false, true} {
		r := New(&Options{Log: zap.NewNop(), Now: time.Now, VMs: func() int { return 1 }, Counted: func() bool { return counted }, Budget: retry.ResendWindowOptions{Slack: 10}, Seed: 1})
		r.retryBudget("s")
		is.Equal(r.BudgetLeft() > 0, counted)
	}
}
