package contract

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Step names the step of a request, or of a daemon's work, at which an error
// arose. It is part of what a caller sees, so the set is stable.
type Step string

// The steps at which an error can arise.
const (
	StepAuth     Step = "auth"
	StepRead     Step = "read"
	StepSession  Step = "session"
	StepPermit   Step = "permit"
	StepAdmit    Step = "admit"
	StepRoute    Step = "route"
	StepClaim    Step = "claim"
	StepPick     Step = "pick"
	StepSend     Step = "send"
	StepAnswer   Step = "answer"
	StepStream   Step = "stream"
	StepBill     Step = "bill"
	StepPull     Step = "pull"
	StepWatch    Step = "watch"
	StepApply    Step = "apply"
	StepFile     Step = "file"
	StepOrder    Step = "order"
	StepLink     Step = "link"
	StepSettings Step = "settings"
	StepRollout  Step = "rollout"
	StepPlatform Step = "platform"
	StepLoad     Step = "load"
	StepCancel   Step = "cancel"
	StepRate     Step = "rate"
)

// StepError is an error with the step and the peer at which it arose.
type StepError struct {
	Step Step
	// Peer is the other side: a VM, an upstream or an address; "" for none.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Fail wraps err with the step and the peer at which it arose, and with the
// stack of the caller. It returns nil for a nil err.
func Fail(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: eris.Wrap(err, "failed")}
}

// RefusalKind names why a request is refused. It is the last part of the
// problem's type URI, so it is stable.
type RefusalKind string

// The kinds of refusals. docs/OPERATIONS.md says for each what to do.
const (
	RefusedKey             RefusalKind = "key-unknown"
	RefusedRequest         RefusalKind = "request-invalid"
	RefusedTooLarge        RefusalKind = "request-too-large"
	RefusedNotAllowed      RefusalKind = "version-not-allowed"
	RefusedWithdrawn       RefusalKind = "version-withdrawn"
	RefusedNoWord          RefusalKind = "no-recent-configuration"
	RefusedSession         RefusalKind = "session-invalid"
	RefusedLimit           RefusalKind = "limit-reached"
	RefusedNoUpstream      RefusalKind = "no-upstream"
	RefusedResting         RefusalKind = "upstreams-rest"
	RefusedRegion          RefusalKind = "region-not-allowed"
	RefusedAtLimit         RefusalKind = "upstreams-at-limit"
	RefusedUpstream        RefusalKind = "upstream-failed"
	RefusedHeld            RefusalKind = "request-held"
	RefusedDeadline        RefusalKind = "deadline-passed"
	RefusedTicketNeeded    RefusalKind = "ticket-needed"
	RefusedTicket          RefusalKind = "ticket-invalid"
	RefusedClaimed         RefusalKind = "ticket-claimed"
	RefusedArbiters        RefusalKind = "ticket-arbiters-unreachable"
	RefusedBill            RefusalKind = "bill-not-kept"
	RefusedStopping        RefusalKind = "stopping"
	RefusedStreamCut       RefusalKind = "stream-cut"
	RefusedStreamForbidden RefusalKind = "stream-invalid"
)

// Refusal is the final answer to a request that the system gave up on.
type Refusal struct {
	Kind    RefusalKind
	Outcome Outcome
	Step    Step
	Peer    string
	Detail  string
	// RetryAfter is when another try makes sense. Zero means that none does.
	RetryAfter time.Duration
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused at %s: %s (%s): %s", r.Step, r.Kind, r.Outcome, r.Detail)
}

// WithRetryAfter sets when another try makes sense, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// AsRefusal finds the refusal in err, if it holds one.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
