package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// newSilentAttempt returns a relay with two upstreams and a job with an attempt at the first one.
func newSilentAttempt(now *time.Time, budget retry.ResendWindowOptions) (*Relay, *job) {
	r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return *now }, VMs: func() int { return 1 }, Seed: 1, Budget: budget})
	first, second := upstream.Entry{ID: "u1", Service: "s", Slots: 4}, upstream.Entry{ID: "u2", Service: "s", Slots: 4}
	r.SetUpstreams([]upstream.Entry{first, second}, nil)
	j := newStreamJob(true)
	j.service, j.Arrived, j.Deadline = "s", *now, now.Add(time.Minute)
	j.lastUpstream = first
	return r, j
}

// TestSilentAttemptIsEndedOnlyWithSuccessor guards against ending an attempt on purpose
// when the request may not be sent again, for whatever reason.
func TestSilentAttemptIsEndedOnlyWithSuccessor(t *testing.T) {
	enough := retry.ResendWindowOptions{Slack: 100}
	quarantineContent := func(r *Relay, j *job, now time.Time) { recordCrashes(r, j, quarantine.CrashLimit, now) }
	for name, c := range map[string]struct {
		budget retry.ResendWindowOptions
		sent   bool
		change func(r *Relay, j *job, now time.Time)
		why    retry.Reason
	}{
		"another upstream":       {enough, true, nil, ""},
		"budget exhausted":       {retry.ResendWindowOptions{}, true, nil, retry.BudgetExhausted},
		"nothing sent yet":       {retry.ResendWindowOptions{}, false, nil, ""},
		"content in quarantine":  {enough, true, quarantineContent, retry.NoOtherUpstream},
		"deadline close":         {enough, true, func(_ *Relay, j *job, now time.Time) { j.Deadline = now }, retry.DeadlineTooClose},
		"no other upstream":      {enough, true, func(_ *Relay, j *job, _ time.Time) { j.exclude = []contract.UpstreamID{"u2"} }, retry.NoOtherUpstream},
		"attempts used up":       {enough, true, func(_ *Relay, j *job, _ time.Time) { j.sends = 2 }, retry.AttemptsExhausted},
		"resend already counted": {enough, true, func(_ *Relay, j *job, _ time.Time) { j.sends = 1 }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r, j := newSilentAttempt(&now, c.budget)
			if c.change != nil {
				c.change(r, j, now)
			}
			next, why := r.reserveRetry(j, c.sent, false)
			is.Equal(why, c.why)
			is.Equal(next != nil, c.why == "")
			if next != nil {
				is.Equal(next.lastUpstream.ID, contract.UpstreamID("u2"))
				is.Equal(next.resend, c.sent)
			}
			is.Equal(len(r.table.InFlight()) > 0, next != nil) // counted only if it is reserved
		})
	}
}

// TestReservedAttemptIsUsedOrReleased checks that the attempt after an aborted one goes to the
// reserved upstream without another resend from the budget, and that a reservation
// that is not used is not left counted at its upstream.
func TestReservedAttemptIsUsedOrReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 1.5}) // one resend
	next, why := r.reserveRetry(j, true, false)
	is.Equal(why, retry.Reason(""))
	j.reserved = next
	j.recordFailure(contract.OutcomeUnknown, true)
	is.Equal(r.checkRetry(j, true), retry.Reason(""))
	chosen, refused := r.selectUpstream(j)
	is.True(refused == nil)
	is.Equal(chosen.ID, next.lastUpstream.ID)
	is.Equal(r.table.InFlight(), map[contract.UpstreamID]int{"u2": 1})

	r, j = newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 1.5})
	j.reserved, _ = r.reserveRetry(j, true, false)
	r.releaseReserved(j)
	is.Equal(len(r.table.InFlight()), 0)
	is.True(j.reserved == nil)
}

// TestResendIsTakenOncePerSend guards against a resend that reached no upstream being taken from
// the retry budget again, so that a stream was cut whose next upstream refused the connection.
func TestResendIsTakenOncePerSend(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 1.5}) // one resend
	j.recordFailure(contract.OutcomeUnknown, true)
	is.Equal(r.checkRetry(j, true), retry.Reason(""))
	j.failures++ // the connection to the next upstream was refused
	is.Equal(r.checkRetry(j, true), retry.Reason(""))
	j.recordFailure(contract.OutcomeUnknown, true)
	j.exclude = nil
	is.Equal(r.checkRetry(j, true), retry.BudgetExhausted)
}

// TestAnswerIsKeptIfLargerModelMayNotRun guards against discarding the answer of a smaller model
// when no attempt with the larger model could follow.
func TestAnswerIsKeptIfLargerModelMayNotRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
	poor := &ResponseHead{Confidence: 0.1}
	recordCrashes(r, j, quarantine.CrashLimit, now)
	_, escalates := r.decideEscalation(j, poor)
	is.True(!escalates)

	r, j = newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
	larger, escalates := r.decideEscalation(j, poor)
	is.True(escalates)
	is.Equal(larger, contract.ModelID("large"))
	is.True(j.reserved != nil && j.reserved.resend)
}
