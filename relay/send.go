package relay

import (
	"context"
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/prefill"
	"woaddoor/quarantine"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// Send describes one attempt to be encoded by an UpstreamProtocol.
type Send struct {
	Upstream upstream.Entry
	// Model is the requested model if the router chooses it.
	Model contract.ModelID
	// Remaining is the remaining time for the upstream to answer.
	Remaining time.Duration
	// LastEvent is the ID of the event after which a stream is resumed;
	// nil if the stream starts at the beginning.
	LastEvent *int64
	// WeightsVersion is the version of the model weights with which a stream must be resumed.
	WeightsVersion string
}

// UpstreamProtocol implements the protocol of the upstreams.
type UpstreamProtocol interface {
	// Encode returns the request to send for an attempt.
	Encode(r *Request, s Send) *exchange.Request
	// Matches reports whether an answer belongs to the request.
	Matches(r *Request, h http.Header) bool
	// Decode decodes the head of an answer.
	Decode(status int, h http.Header) *ResponseHead
}

// job is the state of one request that is being served.
type job struct {
	*Request
	service contract.ServiceID
	// forwarded is set if another VM has passed the request to this one, and via is the VM to which
	// this one has passed it. counted is set once a retry budget has counted the request.
	forwarded, counted bool
	via                contract.VMID
	// sharesUsed is set if the last refusal was for want of this VM's share of what upstreams accept.
	sharesUsed  bool
	model       contract.ModelID
	modelReason string // reason for the choice of the model
	// relativeValue is the value of the request relative to that of a mean request.
	relativeValue float64
	selection
	// reserved is the next attempt if it was reserved before the current attempt was ended.
	reserved *reservation
	// successor is the selected attempt if it was sent before the previous attempt was ended.
	successor *successor
	// resendTaken is set once a resend was taken from the retry budget,
	// until an upstream may have received that resend.
	resendTaken bool
	// spareResend is set if a resend was taken for a successor that reached no upstream.
	spareResend bool
	exclude     []contract.UpstreamID
	sends       int // attempts that may have reached an upstream
	failures    int // failed attempts of any kind
	// attempts holds the attempts that have ended without a complete answer, for the log.
	attempts       []endedAttempt
	execution      execution
	status         int // status code of the delivered answer
	weightsVersion string
	// lastEvent is the ID of the newest event of a stream that the caller has received.
	// resumes is set if there is such an event, after which the next attempt resumes the stream.
	lastEvent int64
	resumes   bool
	// headSent is set once the caller has received the head of a stream.
	headSent            bool
	escalated           bool
	firstAnswerAt       time.Time // when the first answer or event arrived
	timing              streamTiming
	confidence          float64 // reported for the forwarded answer
	discardedConfidence float64 // reported for a smaller model's discarded answer
	// cachedFingerprint is the fingerprint of the request's content, computed on first use.
	cachedFingerprint *quarantine.Fingerprint
	// cachedParts are the shared parts of the prompt, and cachedFingerprints the fingerprints of the
	// content and of these parts, computed on first use.
	cachedParts        []quarantine.Part
	cachedFingerprints []quarantine.Fingerprint
	// heldBy is the fingerprint because of which the request was refused; zero if it was not.
	heldBy quarantine.Fingerprint
	// unsettled is the failed attempt at an independent request that is sent again; nil if there is none.
	unsettled *rollout.Attempt
	// executionReported is set once OnExecution has been called for the request.
	executionReported bool
}

// endedAttempt is an attempt that has ended, and how.
type endedAttempt struct {
	upstream contract.UpstreamID
	end      string
}

// selection is the choice of an upstream for one attempt, and what was counted for the attempt.
type selection struct {
	lastUpstream upstream.Entry
	release      string
	// pending is the prompt of the attempt while its answer has not begun.
	pending pendingPrompt
	// sentAt is when the upstream was selected.
	// upstreamSeen is set once the upstream has responded.
	sentAt       time.Time
	upstreamSeen bool
	// answerBeganAt is when a successful answer to the attempt began; zero before.
	// answerDataAt is when its last data arrived.
	answerBeganAt, answerDataAt time.Time
	// limitClaimed is set if the attempt has used one request
	// of this VM's share of its upstream's rate limit.
	limitClaimed bool
	// room is what was known about the room at the upstream when it was selected.
	room upstream.RoomState
	// running is set while the attempt is counted in Relay.running.
	running bool
	// trial follows the attempt if the service has a release rollout; nil otherwise.
	trial *rollout.Attempt
}

// pendingPrompt is a prompt that was sent and whose answer has not begun.
// The zero pendingPrompt means that no prompt is pending.
type pendingPrompt struct {
	upstream    contract.UpstreamID // empty once the answer has begun or the attempt has ended
	incarnation int64               // identifies the upstream's instance
	work        upstream.Work
	estimate    upstream.Estimate
	queueID     prefill.QueueID
	sentAt      time.Time
}

// attempt is one send for which the head of an answer was received.
type attempt struct {
	entry     upstream.Entry
	answer    *exchange.Response
	head      *ResponseHead
	startedAt time.Time
	cancel    context.CancelFunc
}

// maxUnreachable limits how many unreachable upstreams are tried for one request,
// in addition to the attempts that the route allows.
const maxUnreachable = 4

// maxIdleUnrepeatable is the longest idle time of a connection
// that may carry a request which must not be executed twice.
// Upstreams close idle connections at any time, and a request
// that was sent on such a connection may have been executed.
const maxIdleUnrepeatable = time.Second

// send sends the request to an upstream and waits for the head of the answer.
// If the attempt was sent already as the successor of the previous one, send only waits.
// After the timeout, send continues to wait only while no other upstream accepts the request.
func (r *Relay) send(ctx context.Context, j *job, e upstream.Entry, timeout time.Duration) (*attempt, error) {
	var o *outgoing
	if j.successor != nil {
		o = &j.successor.outgoing
	} else {
		o = r.newOutgoing(ctx, j, e)
		j.execution.begin()
	}
	watchdog := r.watchSilence(ctx, j, o.startedAt.Add(timeout), func() { o.cancel(errSilent) })
	if s := j.successor; s != nil {
		<-s.done
		j.selection, j.successor = s.job.selection, nil
	} else {
		o.exchange(r, j, e, watchdog.markSent)
	}
	j.reserved = watchdog.stop(j, o.answers(j.resumes))
	if o.err != nil {
		o.cancel(nil)
		return nil, o.err
	}
	if j.endedForSuccessor() {
		r.recordNotices(j, o.head, e)
		o.answer.Close()
		o.cancel(nil)
		return nil, &exchange.Error{Sent: true, Err: errSilent}
	}
	a := r.acceptHead(j, o, e)
	r.reportExecution(j, a.head)
	return a, nil
}

// acceptHead records the head of an answer and returns the attempt that received it.
func (r *Relay) acceptHead(j *job, o *outgoing, e upstream.Entry) *attempt {
	r.recordNotices(j, o.head, e)
	j.upstreamSeen = true
	r.withLock(func() { r.recordHead(j, o.head, e) })
	return &attempt{entry: e, answer: o.answer, head: o.head, startedAt: o.startedAt, cancel: func() { o.cancel(nil) }}
}

// recordHead records the head of an answer. The caller holds mu.
func (r *Relay) recordHead(j *job, h *ResponseHead, e upstream.Entry) {
	r.paths.RecordAnswer(e.Service, r.opts.Now())
	current := r.isCurrent(e.ID, e.Incarnation) // otherwise the head describes an earlier instance
	if current && !h.NotRun {
		r.table.RecordAccepted(e.ID)
	}
	if current && h.Load != nil {
		r.table.RecordAnswerLoad(e.ID, h.Load.Running, h.Load.Waiting, r.opts.Now())
		r.table.RecordStatedPace(e.ID, h.Load.SlowdownPercent, r.opts.Now())
	}
	if h.isFull() {
		r.logFull(j, h, e)
	}
	if h.Status != http.StatusOK || h.NotRun {
		return
	}
	j.answerBeganAt = r.opts.Now()
	j.answerDataAt = j.answerBeganAt
	if j.pending.upstream != "" {
		r.logFirstToken(j, h)
		r.recordAnswerBegin(j)
	}
}

// reportExecution reports, once for each request of a workspace,
// that an upstream has begun to execute the request.
// The reported time is the time of the first token for a stream,
// and the time of the send for any other answer.
func (r *Relay) reportExecution(j *job, h *ResponseHead) {
	if h.NotRun || j.executionReported || j.Workspace == "" || r.opts.OnExecution == nil {
		return
	}
	j.executionReported = true
	at := j.sentAt
	if isStream(j.Request) {
		at = r.opts.Now()
	}
	r.opts.OnExecution(j.Workspace, at)
}

// closeAttempt closes an attempt whose answer was read, and logs how it ended if its end was not marked.
func (r *Relay) closeAttempt(j *job, a *attempt) {
	if !a.answer.Delimited {
		r.logUndelimited(j, a)
	}
	a.close()
}

// close ends an attempt. The connection is reused only if the answer was read to the end.
func (a *attempt) close() {
	a.answer.Close()
	a.cancel()
}
