package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/memory"
	"woaddoor/prefill"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Forwarder passes requests to another VM that reaches the upstreams of a service.
type Forwarder interface {
	// Forward passes a request to one of the VMs in data centres for which allowed returns true,
	// nearest first, and delivers the answer to the receiver.
	// At most one VM gets the request. Forward waits until the request has ended or the VM is lost.
	Forward(ctx context.Context, f *ForwardedRequest, allowed func(contract.DataCentreID) bool, to AnswerReceiver) ForwardResult
	// Elsewhere returns whether other VMs reach a service, as far as they have answered.
	// Elsewhere does not block.
	Elsewhere(s contract.ServiceID) Reach
	// Ask asks other VMs whether they reach a service, unless they were asked a moment ago.
	Ask(ctx context.Context, s contract.ServiceID)
}

// Reach is what other VMs have answered to the question whether they reach a service.
type Reach uint8

const (
	// ReachUnknown means that no VM that could tell has answered.
	ReachUnknown Reach = iota
	// ReachNowhere means that VMs of other data centres have answered and that no VM reaches the service.
	ReachNowhere
	// ReachElsewhere means that another VM reaches the service.
	ReachElsewhere
)

// String returns the name of the reach as it appears in the log.
func (r Reach) String() string { return [...]string{"unknown", "nowhere", "elsewhere"}[r] }

// ForwardedRequest is a request as one VM passes it to another, which sends it to an upstream.
// The decisions that the configuration has already made for the request go with it.
type ForwardedRequest struct {
	ID        contract.RequestID   `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint,omitempty"`
	Regions   []string             `cbor:"3,keyasint,omitempty"`
	Priority  int                  `cbor:"4,keyasint"`
	Route     route.Route          `cbor:"5,keyasint"`
	Revision  contract.Revision    `cbor:"6,keyasint"`
	Method    string               `cbor:"7,keyasint"`
	URI       string               `cbor:"8,keyasint"`
	Host      string               `cbor:"9,keyasint"`
	Header    http.Header          `cbor:"10,keyasint"`
	Body      []byte               `cbor:"11,keyasint,omitempty"`
	// Elapsed is the time since the request arrived, and Remaining the time until its deadline.
	Elapsed         time.Duration  `cbor:"12,keyasint"`
	Remaining       time.Duration  `cbor:"13,keyasint"`
	LastEvent       *int64         `cbor:"14,keyasint,omitempty"`
	ChooseModel     bool           `cbor:"15,keyasint,omitempty"`
	PromptTokens    int            `cbor:"16,keyasint,omitempty"`
	OutputTokens    int            `cbor:"17,keyasint,omitempty"`
	PromptParts     []prefill.Part `cbor:"18,keyasint,omitempty"`
	SharedPromptKey uint64         `cbor:"19,keyasint,omitempty"`
	Session         uint64         `cbor:"20,keyasint,omitempty"`
	// Service is the service that was chosen for the request.
	Service contract.ServiceID `cbor:"21,keyasint"`
	// Counted means that the retry budget of another VM has counted the request.
	Counted bool `cbor:"22,keyasint,omitempty"`
	// Progress is how far the request has come at the forwarding VM.
	Progress Progress `cbor:"23,keyasint"`
	// PartNames are the names of PromptParts.
	PartNames []string `cbor:"24,keyasint,omitempty"`
	// Overflow means that the forwarding VM reaches the service, but has used up its share of what the
	// upstreams accept.
	Overflow bool `cbor:"25,keyasint,omitempty"`
	// Holders are the VMs of the forwarding VM's data centre that hold the room of the service, if only
	// a few of them do. They are not part of the message.
	Holders []contract.VMID `cbor:"-"`
	// Memory accounts for what the request makes this process hold. It is not part of the message.
	Memory *memory.Holder `cbor:"-"`
}

// Progress is how far a request has come before it is passed to another VM.
type Progress struct {
	// Sends is the number of attempts that may have reached an upstream, and Tried the upstreams of
	// all attempts.
	Sends   int                   `cbor:"1,keyasint,omitempty"`
	Tried   []contract.UpstreamID `cbor:"2,keyasint,omitempty"`
	Outcome contract.Outcome      `cbor:"3,keyasint"`
	// Model is the model that the router has chosen, if the request stays with it.
	Model contract.ModelID `cbor:"4,keyasint,omitempty"`
	// HeadSent is set once the caller has received the head of a stream, LastEvent is the last event
	// that the caller has received, and WeightsVersion the version of the weights that made it.
	HeadSent       bool   `cbor:"5,keyasint,omitempty"`
	LastEvent      *int64 `cbor:"6,keyasint,omitempty"`
	WeightsVersion string `cbor:"7,keyasint,omitempty"`
}

// AnswerReceiver receives the answer to a forwarded request.
// An error means that the caller has disconnected or that the answer is unusable.
type AnswerReceiver interface {
	// ReceiveAnswer receives a complete answer.
	ReceiveAnswer(h *ResponseHead, body []byte) error
	// ReceiveHead receives the head of a stream.
	ReceiveHead(h *ResponseHead) error
	// ReceiveEvents receives complete events of a stream.
	ReceiveEvents(events []byte) error
}

// ForwardEnd is the way in which the forwarding of a request ends.
type ForwardEnd uint8

const (
	// ForwardNotTaken means that no VM has taken the request: it has not run there.
	ForwardNotTaken ForwardEnd = iota
	// ForwardEnded means that the other VM has ended the request.
	ForwardEnded
	// ForwardLost means that the connection to the other VM failed after that VM got the request:
	// the request may have run.
	ForwardLost
)

// ForwardResult is the result of forwarding a request.
type ForwardResult struct {
	End ForwardEnd
	VM  contract.VMID
	// RequestEnd, Refusal and Outcome are set if the other VM has ended the request.
	RequestEnd RequestEnd
	Refusal    *contract.Refusal
	Outcome    contract.Outcome
	// Sends is the number of attempts of the other VM that may have reached an upstream.
	Sends int
	// Err is the error if the other VM was lost.
	Err error
}

// errNoVM means that no other VM has taken a request.
var errNoVM = errors.New("no other VM has taken the request")

// newJob returns the state of a request that has just arrived.
func newJob(req *Request) *job {
	return &job{Request: req, execution: newExecution(), confidence: -1, relativeValue: 1}
}

// ServeForwarded answers a request that another VM has passed on.
// It returns how the request ended, and what is known of its attempts at this VM.
func (r *Relay) ServeForwarded(ctx context.Context, f *ForwardedRequest, c Caller) (RequestEnd, *contract.Refusal, contract.Outcome, int) {
	now := r.opts.Now()
	if f.Memory == nil {
		f.Memory = r.OpenHolder()
		defer f.Memory.Close()
	}
	j := newJob(&Request{
		Memory: f.Memory,
		ID:     f.ID, Workspace: f.Workspace, Regions: f.Regions, Priority: f.Priority, Route: &f.Route, Revision: f.Revision,
		Method: f.Method, URI: f.URI, Host: f.Host, Header: f.Header, Body: f.Body,
		Arrived: now.Add(-f.Elapsed), Deadline: now.Add(f.Remaining), LastEvent: f.LastEvent,
		ChooseModel: f.ChooseModel, PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens, PromptParts: f.PromptParts, PartNames: f.PartNames,
		SharedPromptKey: f.SharedPromptKey, Session: f.Session,
	})
	j.service, j.forwarded, j.counted = f.Service, true, f.Counted
	p := f.Progress
	j.sends, j.exclude, j.model, j.headSent, j.weightsVersion = p.Sends, p.Tried, p.Model, p.HeadSent, p.WeightsVersion
	j.execution.add(p.Outcome)
	if p.LastEvent != nil {
		j.lastEvent, j.resumes = *p.LastEvent, true
	}
	if j.Header == nil {
		j.Header = make(http.Header)
	}
	end, refused := r.serve(ctx, j, c)
	return end, refused, j.outcome(), j.sends - p.Sends
}

// forwardedRequest returns the request of a job as another VM gets it.
func (j *job) forwardedRequest(now time.Time) *ForwardedRequest {
	f := &ForwardedRequest{
		ID: j.ID, Workspace: j.Workspace, Regions: j.Regions, Priority: j.Priority, Route: *j.Route, Revision: j.Revision,
		Method: j.Method, URI: j.URI, Host: j.Host, Header: j.Header, Body: j.Body,
		Elapsed: now.Sub(j.Arrived), Remaining: j.Deadline.Sub(now), LastEvent: j.LastEvent,
		ChooseModel: j.ChooseModel, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, PromptParts: j.PromptParts, PartNames: j.PartNames,
		SharedPromptKey: j.SharedPromptKey, Session: j.Session, Service: j.service, Counted: j.counted,
		Progress: Progress{Sends: j.sends, Outcome: j.outcome(), HeadSent: j.headSent, WeightsVersion: j.weightsVersion},
		Overflow: j.sharesUsed, Memory: j.Memory,
	}
	if j.sends > 0 { // upstreams that were only unreachable from this VM may be tried by another one
		f.Progress.Tried = j.exclude
	}
	if j.headSent {
		f.Progress.Model = j.model
	}
	if j.resumes {
		last := j.lastEvent
		f.Progress.LastEvent = &last
	}
	return f
}

// forwardsFirst reports whether another VM is the better choice for a request from the start:
// this VM has no path to the service, and another VM has. The caller holds mu.
func (r *Relay) forwardsFirst(j *job, now time.Time) bool {
	return r.canForward(j) && r.pathState(j.service, now) == upstream.PathLost && r.elsewhere(j.service) == ReachElsewhere
}

// canForward reports whether a request may be passed to another VM at all:
// a request that another VM has passed on is not passed on again.
func (r *Relay) canForward(j *job) bool { return r.opts.Forwarder != nil && !j.forwarded }

// forwardAfter reports whether a request that this VM would refuse is passed to another VM instead.
// It is if this VM has lost its path to the upstreams, or has used up its share of what they accept:
// the shares are equal, and callers may have come to one VM.
// A request that an upstream may have received is sent again only if that is allowed, and the resend
// is taken from the retry budget.
func (r *Relay) forwardAfter(ctx context.Context, j *job, refused *contract.Refusal) bool {
	if refused == nil || ctx.Err() != nil || !r.canForward(j) || !refused.Kind.ConcernsUpstreams() {
		return false
	}
	now := r.opts.Now()
	if j.resendBlocked(j.Route.Repeatable(), now) != "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pathState(j.service, now) == upstream.PathOpen && !j.sharesUsed {
		return false
	}
	return j.sends == 0 || r.takeResend(j, now)
}

// maxForwards limits how many other VMs get a request one after the other.
const maxForwards = 3

// forward passes a request to another VM. It returns false if no VM has taken it.
func (r *Relay) forward(ctx context.Context, j *job, c Caller) (RequestEnd, *contract.Refusal, bool) {
	to := newForwardReceiver(r, j, c)
	allowed := func(dc contract.DataCentreID) bool {
		return dc == r.opts.DataCentre || !j.regionRestricted() || j.AllowedIn(r.opts.Regions[dc])
	}
	for range maxForwards {
		began := r.opts.Now()
		f := j.forwardedRequest(began)
		if f.Overflow {
			f.Holders = r.RoomHolders(j.service)
		}
		result := r.opts.Forwarder.Forward(ctx, f, allowed, to)
		r.recordForward(j, result, r.opts.Now().Sub(began))
		switch {
		case result.End == ForwardEnded && !result.lostPath(j):
			return r.endForwarded(j, c, result)
		case errors.Is(result.Err, errCallerGone):
			return CallerGone, nil, true
		case ctx.Err() != nil:
			end, refused := r.contextEnd(ctx, j)
			return end.afterHead(j), refused, true
		case result.End == ForwardNotTaken && j.outcome() == contract.OutcomeNotRun:
			return Refused, nil, false
		}
		if result.End == ForwardNotTaken {
			return Refused.afterHead(j), r.refuseAfterFailures(j, retry.NoOtherUpstream, errNoVM), true
		}
		if reason := r.checkForwardRetry(j); reason != "" {
			return Refused.afterHead(j), r.refuseAfterFailures(j, reason, result.Err), true
		}
	}
	return Refused, nil, false
}

// endForwarded ends a request that another VM has ended.
func (r *Relay) endForwarded(j *job, c Caller, result ForwardResult) (RequestEnd, *contract.Refusal, bool) {
	end := result.RequestEnd.afterHead(j)
	if end == Delivered && j.headSent && c.EndStream() != nil {
		end = CallerGone
	}
	return end, result.Refusal, true
}

// afterHead returns how a request ends for a caller that may have received the head of a stream.
func (e RequestEnd) afterHead(j *job) RequestEnd {
	if e == Refused && j.headSent {
		return StreamCut
	}
	return e
}

// lostPath reports whether the other VM has lost its own path before the request ran,
// which leaves the choice of a further VM.
func (result ForwardResult) lostPath(j *job) bool {
	return result.RequestEnd == Refused && result.Refusal != nil && result.Refusal.Kind == contract.RefusedNoPath && j.outcome() == contract.OutcomeNotRun
}

// checkForwardRetry decides whether a request may be passed to a further VM after one was lost.
func (r *Relay) checkForwardRetry(j *job) retry.Reason {
	now := r.opts.Now()
	if reason := j.resendBlocked(j.Route.Repeatable(), now); reason != "" {
		return reason
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.sends > 0 && !r.takeResend(j, now) {
		return retry.BudgetExhausted
	}
	return ""
}

// recordForward records how the forwarding of a request ended.
func (r *Relay) recordForward(j *job, result ForwardResult, took time.Duration) {
	j.via = result.VM
	switch result.End {
	case ForwardEnded:
		j.execution.add(result.Outcome)
		if result.Outcome == contract.OutcomeRan {
			j.status = http.StatusOK
		}
		j.sends += result.Sends
		r.Metrics.forwards.Inc(1)
	case ForwardLost:
		j.execution.add(contract.OutcomeUnknown)
		j.sends++
		j.failures++
		j.resendTaken, j.counted = false, true // the lost VM has counted the request
		r.Metrics.forwardsLost.Inc(1)
	case ForwardNotTaken:
		r.Metrics.forwardsNotTaken.Inc(1)
	}
	r.log.Info("forwarded", zap.String("request", string(j.ID)), zap.String("service", string(j.service)), zap.String("via", string(result.VM)),
		zap.Stringer("end", result.End), zap.Stringer("outcome", j.outcome()), zap.Int("sends", j.sends), zap.Int64("took_ms", took.Milliseconds()), zap.NamedError("why", result.Err))
}

// String returns the name of the end as it appears in the log.
func (e ForwardEnd) String() string { return [...]string{"not-taken", "ended", "lost"}[e] }

// forwardReceiver delivers the answer to a forwarded request to the caller.
type forwardReceiver struct{ *streamTransfer }

func newForwardReceiver(r *Relay, j *job, c Caller) *forwardReceiver {
	s := &streamTransfer{relay: r, job: j, caller: c}
	s.skipReceived()
	return &forwardReceiver{s}
}

// ReceiveAnswer delivers a complete answer.
func (f *forwardReceiver) ReceiveAnswer(h *ResponseHead, body []byte) error {
	if f.job.headSent {
		return errNoStream
	}
	if h.promisesNotRun() { // the other VM may run an earlier version
		return errUnprovenPromise
	}
	if !f.job.Memory.Take(contract.Bytes(len(body)), f.relay.opts.Now()) {
		return errNoMemory
	}
	f.job.status = h.Status
	f.recordFirst()
	if f.caller.SendResponse(h, body) != nil {
		return errCallerGone
	}
	return nil
}

// ReceiveHead delivers the head of a stream.
func (f *forwardReceiver) ReceiveHead(h *ResponseHead) error {
	f.job.weightsVersion, f.job.confidence = h.WeightsVersion, h.Confidence
	if f.sendHead(h) != nil {
		return errCallerGone
	}
	return nil
}

// ReceiveEvents delivers complete events.
func (f *forwardReceiver) ReceiveEvents(events []byte) error {
	whole, n, err := f.events.Feed(events)
	if err != nil || n == 0 {
		return err
	}
	f.recordLastEvent()
	f.recordFirst()
	f.eventsForwarded += n
	if f.caller.SendEvents(whole) != nil {
		return errCallerGone
	}
	return nil
}

func (f *forwardReceiver) recordFirst() {
	if f.job.firstAnswerAt.IsZero() {
		f.job.firstAnswerAt = f.relay.opts.Now()
	}
}
