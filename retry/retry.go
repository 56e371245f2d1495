// Package retry decides whether a failed attempt is tried again. It is pure:
// the time and the random source are given.
//
// Retries of all requests of a VM share one budget, a small part of the
// requests that come first, so retries cannot feed an overload.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// Options tune a Budget.
type Options struct {
	// Ratio is how many retries each first attempt pays for. Zero means 0.05.
	Ratio float64
	// Burst is how many retries can be saved up. Zero means 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request. Zero means 3.
	MaxAttempts int
	// Backoff is the mean pause before the first retry; it doubles with each.
	// Zero means 25 ms.
	Backoff time.Duration
}

// Defaults of Options.
const (
	defaultRatio       = 0.05
	defaultBurst       = 10.0
	defaultMaxAttempts = 3
	defaultBackoff     = 25 * time.Millisecond
)

// Budget is the shared budget of a VM. Its owner locks it.
type Budget struct {
	opts  Options
	saved float64
}

// NewBudget returns a full budget.
func NewBudget(opts Options) *Budget {
	opts.Ratio = cmp.Or(opts.Ratio, defaultRatio)
	opts.Burst = cmp.Or(opts.Burst, defaultBurst)
	opts.MaxAttempts = cmp.Or(opts.MaxAttempts, defaultMaxAttempts)
	opts.Backoff = cmp.Or(opts.Backoff, defaultBackoff)
	return &Budget{opts: opts, saved: opts.Burst}
}

// First notes a first attempt, which pays its part into the budget.
func (b *Budget) First() { b.saved = min(b.saved+b.opts.Ratio, b.opts.Burst) }

// Attempt is an attempt that gave no answer.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Outcome is what is known of it.
	Outcome contract.Outcome
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// Deadline is when the answer is no longer wanted; Expected is how long
	// another attempt is likely to take.
	Deadline time.Time
	Expected time.Duration
}

// Decision says whether to try again, and after what pause.
type Decision struct {
	Again bool
	Pause time.Duration
	// Why says in a word why not.
	Why Reason
}

// Reason is why there is no retry.
type Reason string

// The reasons.
const (
	MayHaveRun Reason = "may have run"
	Attempts   Reason = "attempts used up"
	TooLate    Reason = "cannot end by the deadline"
	OverBudget Reason = "retry budget used up"
	NoOther    Reason = "no other upstream takes it"
)

// pauseFactor makes the mean of the drawn pause the backoff.
const pauseFactor = 2

// Barred returns why there is no other attempt after this one, whatever the budget
// has left, where most are allowed; "" when there may be one.
//
// A request that may not be repeated is tried again only when its attempt is
// proved not to have run.
func (a Attempt) Barred(most int, now time.Time) Reason {
	switch {
	case !a.Repeatable && a.Outcome != contract.NotRun:
		return MayHaveRun
	case a.Number >= most:
		return Attempts
	case now.Add(a.Expected).After(a.Deadline):
		return TooLate
	}
	return ""
}

// Decide takes one retry out of the budget, or says why there is none.
func (b *Budget) Decide(a Attempt, now time.Time, random *rand.Rand) Decision {
	mean := b.opts.Backoff << max(a.Number-1, 0)
	pause := time.Duration(random.Float64() * pauseFactor * float64(mean))
	a.Expected += pause
	if why := a.Barred(b.opts.MaxAttempts, now); why != "" {
		return Decision{Why: why}
	}
	if b.saved < 1 {
		return Decision{Why: OverBudget}
	}
	b.saved--
	return Decision{Again: true, Pause: pause}
}
