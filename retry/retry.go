// Package retry decides whether a failed attempt is retried, and limits the retries of a VM and of
// the fleet. The package reads no clock and creates no random numbers: its callers pass both in.
//
// All requests of a VM share one retry budget that is a small fraction of its first
// attempts, so retries cannot amplify an overload.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// Options configures a Budget.
type Options struct {
	// Ratio is the number of retries that each first attempt adds to the budget. Zero means 0.05.
	Ratio float64
	// Burst is the maximum number of retries the budget can accumulate. Zero means 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request. Zero means 3.
	MaxAttempts int
	// Backoff is the mean pause before the first retry.
	// The mean pause doubles with each further retry. Zero means 25 ms.
	Backoff time.Duration
}

// Defaults of Options.
const (
	defaultRatio       = 0.05
	defaultBurst       = 10.0
	defaultMaxAttempts = 3
	defaultBackoff     = 25 * time.Millisecond
)

// Budget is the retry budget of a VM, a token bucket filled by first attempts.
// Budget is not safe for concurrent use; the caller holds a lock.
type Budget struct {
	opts   Options
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(opts Options) *Budget {
	opts.Ratio = cmp.Or(opts.Ratio, defaultRatio)
	opts.Burst = cmp.Or(opts.Burst, defaultBurst)
	opts.MaxAttempts = cmp.Or(opts.MaxAttempts, defaultMaxAttempts)
	opts.Backoff = cmp.Or(opts.Backoff, defaultBackoff)
	return &Budget{opts: opts, tokens: opts.Burst}
}

// RecordFirstAttempt records a first attempt, which adds Options.Ratio to the budget.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.opts.Ratio, b.opts.Burst) }

// Attempt describes an attempt that returned no answer.
type Attempt struct {
	// Number is the number of the attempt, counted from 1.
	Number int
	// Outcome is what is known about whether the attempt was executed.
	Outcome contract.Outcome
	// Repeatable reports whether the request may be executed more than once.
	Repeatable bool
	// Deadline is the time after which the caller no longer needs the answer.
	// ExpectedDuration is the expected duration of another attempt.
	Deadline         time.Time
	ExpectedDuration time.Duration
}

// Decision says whether to retry, and after which pause.
type Decision struct {
	Retry bool
	Pause time.Duration
	// Reason says why there is no retry. Reason is empty if Retry is true.
	Reason Reason
}

// Reason is why a request is not retried.
type Reason string

// Reasons against a retry. The texts appear in the error details that callers receive.
const (
	MayHaveExecuted   Reason = "may have run"
	AttemptsExhausted Reason = "attempts used up"
	DeadlineTooClose  Reason = "cannot end by the deadline"
	BudgetExhausted   Reason = "retry budget used up"
	NoOtherUpstream   Reason = "no other upstream takes it"
)

// jitterFactor scales a uniform random number from 0 to 1 so that the mean pause equals the
// backoff.
const jitterFactor = 2

// RetryBlocked returns why this attempt must not be followed by another attempt,
// regardless of the retry budget. The result is "" if a retry is allowed.
// maxAttempts bounds the attempts of one request.
//
// A request that is not repeatable may only be retried if its attempt was provably not executed.
func (a Attempt) RetryBlocked(maxAttempts int, now time.Time) Reason {
	switch {
	case !a.Repeatable && a.Outcome != contract.OutcomeNotRun:
		return MayHaveExecuted
	case a.Number >= maxAttempts:
		return AttemptsExhausted
	case now.Add(a.ExpectedDuration).After(a.Deadline):
		return DeadlineTooClose
	}
	return ""
}

// TryRetry spends one retry from the budget, or returns the reason why there is no retry.
func (b *Budget) TryRetry(a Attempt, now time.Time, random *rand.Rand) Decision {
	meanBackoff := b.opts.Backoff << max(a.Number-1, 0)
	pause := time.Duration(random.Float64() * jitterFactor * float64(meanBackoff))
	a.ExpectedDuration += pause
	if reason := a.RetryBlocked(b.opts.MaxAttempts, now); reason != "" {
		return Decision{Reason: reason}
	}
	if b.tokens < 1 {
		return Decision{Reason: BudgetExhausted}
	}
	b.tokens--
	return Decision{Retry: true, Pause: pause}
}
