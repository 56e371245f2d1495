package contract

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Step names the step of request processing, or of a daemon's background work,
// in which an error occurred. Clients see the step in problem documents,
// so existing values must not change.
type Step string

// The steps in which an error can occur.
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

// StepError adds to an error the step in which it occurred and the peer involved.
type StepError struct {
	Step Step
	// Peer is the VM, the upstream or the address that was being contacted.
	// Peer is empty if no peer was involved.
	Peer string
	Err  error
}

// Error formats the step, the peer if there is one, and the wrapped error.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the wrapped error.
func (e *StepError) Unwrap() error { return e.Err }

// WrapStep wraps err with the step in which it occurred, the peer involved and a
// stack trace. It returns nil if err is nil.
func WrapStep(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: eris.Wrap(err, "failed")}
}

// RefusalKind is the reason for refusing a request. Clients see the reason as the last part of the
// type URI of a problem document, so existing values must not change.
type RefusalKind string

// The kinds of refusals. docs/OPERATIONS.md describes what to do about each kind of refusal.
const (
	RefusedUnknownKey          RefusalKind = "key-unknown"
	RefusedInvalidRequest      RefusalKind = "request-invalid"
	RefusedRequestTooLarge     RefusalKind = "request-too-large"
	RefusedVersionNotAllowed   RefusalKind = "version-not-allowed"
	RefusedVersionWithdrawn    RefusalKind = "version-withdrawn"
	RefusedStaleConfiguration  RefusalKind = "no-recent-configuration"
	RefusedInvalidSession      RefusalKind = "session-invalid"
	RefusedLimitReached        RefusalKind = "limit-reached"
	RefusedNoUpstream          RefusalKind = "no-upstream"
	RefusedNoPath              RefusalKind = "no-path"
	RefusedUpstreamsBackedOff  RefusalKind = "upstreams-rest"
	RefusedRegionNotAllowed    RefusalKind = "region-not-allowed"
	RefusedUpstreamsAtLimit    RefusalKind = "upstreams-at-limit"
	RefusedUpstreamFailed      RefusalKind = "upstream-failed"
	RefusedQuarantined         RefusalKind = "request-held"
	RefusedDeadlinePassed      RefusalKind = "deadline-passed"
	RefusedTicketNeeded        RefusalKind = "ticket-needed"
	RefusedInvalidTicket       RefusalKind = "ticket-invalid"
	RefusedTicketClaimed       RefusalKind = "ticket-claimed"
	RefusedArbitersUnreachable RefusalKind = "ticket-arbiters-unreachable"
	RefusedBillNotStored       RefusalKind = "bill-not-kept"
	RefusedStopping            RefusalKind = "stopping"
	RefusedStreamCut           RefusalKind = "stream-cut"
	RefusedInvalidStreamToken  RefusalKind = "stream-invalid"
	RefusedNoMemory            RefusalKind = "no-memory"
)

// ConcernsUpstreams reports whether a refusal says that this VM found no upstream for a request,
// or that its attempts failed. Another VM may find one.
func (k RefusalKind) ConcernsUpstreams() bool {
	switch k {
	case RefusedNoUpstream, RefusedNoPath, RefusedLimitReached, RefusedUpstreamFailed:
		return true
	}
	return false
}

// Refusal is the error response to a request that the router does not serve or
// stops retrying.
type Refusal struct {
	Kind    RefusalKind
	Outcome Outcome
	Step    Step
	Peer    string
	Detail  string
	// RetryAfter is how long the client should wait before it retries. Zero
	// means that a retry would not help.
	RetryAfter time.Duration
}

// Error formats the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused at %s: %s (%s): %s", r.Step, r.Kind, r.Outcome, r.Detail)
}

// WithRetryAfter sets how long the client should wait before it retries, and
// returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// AsRefusal returns the refusal that err is or wraps, and reports whether err contains a refusal.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
