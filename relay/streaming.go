package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"woaddoor/contract"
	"woaddoor/stream"
	"woaddoor/upstream"
)

// Errors that end an attempt at a streamed answer.
var (
	// errTruncated means that a stream ended within an event, or before the first one.
	errTruncated = errors.New("stream ended within an event")
	// errStalled means that an upstream paused for too long compared
	// with the earlier pauses of the same stream.
	errStalled = errors.New("stream has stalled")
	// errEscalated means that a smaller model's answer was discarded in favor of a larger model.
	errEscalated = errors.New("answer of the smaller model discarded")
	// errServerFailure means that the upstream has run the request and answered that it failed.
	errServerFailure = errors.New("upstream answered with a failure")
	// errNoStream means that an upstream that was to resume a stream sent another answer.
	errNoStream = errors.New("upstream did not answer with the rest of the stream")
	// errCallerGone means that writing to the caller failed.
	errCallerGone = errors.New("caller has disconnected")
)

// streamTransfer forwards a streamed answer to the caller.
// The answer may come from several upstreams in turn.
type streamTransfer struct {
	relay  *Relay
	job    *job
	caller Caller
	events stream.EventSplitter
	// nonStreamHead and nonStreamBody are the latest answer that was not an event stream.
	nonStreamHead   *ResponseHead
	nonStreamBody   []byte
	eventsForwarded int // events sent to the caller
	heldEvents      contract.Bytes
}

// serveStream answers a request with a stream of events.
func (r *Relay) serveStream(ctx context.Context, j *job, c Caller) (RequestEnd, *contract.Refusal) {
	s := &streamTransfer{relay: r, job: j, caller: c}
	s.skipReceived()
	for {
		e, refused := r.selectUpstream(j)
		if refused != nil {
			return s.abort(refused)
		}
		err := s.attemptStream(ctx, e)
		switch {
		case err == nil:
			return s.complete()
		case errors.Is(err, errEscalated):
			continue
		case errors.Is(err, errCallerGone):
			return CallerGone, nil
		case ctx.Err() != nil:
			end, refused := r.contextEnd(ctx, j)
			if end == CallerGone {
				return end, nil
			}
			return s.abort(refused)
		}
		if reason := r.checkRetry(j, j.Route.Repeatable()); reason != "" {
			return s.abort(r.refuseAfterFailures(j, reason, err))
		}
		r.recordRetry(j, err)
	}
}

// skipReceived makes the transfer continue after the last event that the caller has received.
func (s *streamTransfer) skipReceived() {
	switch j := s.job; {
	case j.resumes:
		s.events.SkipThrough(j.lastEvent)
	case j.LastEvent != nil:
		s.events.SkipThrough(*j.LastEvent)
		s.recordLastEvent()
	}
}

// complete ends a transfer whose answer is complete.
func (s *streamTransfer) complete() (RequestEnd, *contract.Refusal) {
	s.job.status = http.StatusOK
	if s.nonStreamHead != nil { // the final answer is not an event stream
		return s.relay.deliver(s.job, s.caller, s.nonStreamHead, s.nonStreamBody)
	}
	if err := s.caller.EndStream(); err != nil {
		return CallerGone, nil
	}
	return Delivered, nil
}

// abort ends a transfer whose answer is incomplete.
func (s *streamTransfer) abort(f *contract.Refusal) (RequestEnd, *contract.Refusal) {
	if s.job.headSent {
		return StreamCut, f
	}
	if s.nonStreamHead != nil && f.Kind != contract.RefusedDeadlinePassed {
		return s.relay.deliver(s.job, s.caller, s.nonStreamHead, s.nonStreamBody)
	}
	return Refused, f
}

// sendHead sends the head of the stream to the caller, unless the caller has received one.
func (s *streamTransfer) sendHead(h *ResponseHead) error {
	if s.job.headSent {
		return nil
	}
	s.job.headSent = true
	return s.caller.BeginStream(h)
}

// recordLastEvent records after which event the next attempt resumes the stream.
func (s *streamTransfer) recordLastEvent() {
	s.job.lastEvent, s.job.resumes = s.events.LastID()
}

// attemptStream forwards the stream of one upstream to its end.
// attemptStream returns nil once the stream is complete,
// or once a final answer that is not a stream is complete.
func (s *streamTransfer) attemptStream(ctx context.Context, e upstream.Entry) error {
	r, j := s.relay, s.job
	began := r.opts.Now()
	j.giveAnswer(s.nonStreamBody)
	s.nonStreamHead, s.nonStreamBody = nil, nil
	a, err := r.send(ctx, j, e, s.eventTimeout())
	if err != nil {
		r.recordSendFailure(j, err, began)
		return err
	}
	defer r.closeAttempt(j, a)
	switch h := a.head; {
	case h.Status != http.StatusOK || h.NotRun:
		return s.readNonStream(a)
	case !h.Signed:
		r.recordAttemptEnd(j, e, upstream.Failed, 0)
		j.recordFailure(contract.OutcomeRan, true)
		return errUnsigned
	}
	if larger, ok := r.decideEscalation(j, a.head); ok {
		r.recordEscalation(j, a, larger)
		return errEscalated
	}
	j.weightsVersion, j.confidence = a.head.WeightsVersion, a.head.Confidence
	err = s.forward(ctx, a)
	if err == nil && s.sendHead(a.head) != nil { // a stream without events is complete too
		err = errCallerGone
	}
	return s.recordEnd(ctx, a, err)
}

// eventTimeout returns how long the next attempt may take to send its first event.
func (s *streamTransfer) eventTimeout() time.Duration {
	if s.job.headSent {
		return s.relay.maxPause(s.job.Route.TargetGap)
	}
	return s.relay.firstAnswerTimeout(s.job)
}

// readNonStream reads an answer that is not an event stream.
// Such an answer is final only if the caller has received no part of a stream:
// a stream that has begun ends with its last event or with a closed connection.
func (s *streamTransfer) readNonStream(a *attempt) error {
	r, j := s.relay, s.job
	if j.headSent && !a.head.NotRun && !a.head.isFailure() {
		r.recordAttemptEnd(j, a.entry, upstream.Rejected, 0)
		j.recordFailure(contract.OutcomeUnknown, true)
		return errNoStream
	}
	body, err := r.readAnswer(a, j.Memory)
	if err = r.recordAnswer(j, a, err); err != nil {
		return err
	}
	if a.head.NotRun {
		return errNotRun
	}
	s.nonStreamHead, s.nonStreamBody = a.head, body
	if a.head.isFailure() {
		return errServerFailure
	}
	return nil // final answer, such as status 400
}

// recordEnd records how the part of a stream that came from one upstream ended.
func (s *streamTransfer) recordEnd(ctx context.Context, a *attempt, err error) error {
	r, j := s.relay, s.job
	timeToFirst := time.Duration(0)
	if !j.firstAnswerAt.IsZero() {
		timeToFirst = max(j.firstAnswerAt.Sub(a.startedAt), 0)
	}
	switch {
	case err == nil:
		r.recordAttemptEnd(j, a.entry, upstream.Succeeded, timeToFirst)
		r.withLock(func() { r.table.RecordDecodeTime(r.opts.Now().Sub(j.firstAnswerAt)) })
		r.recordSurvival(j, a)
		r.observeDuration(j, a)
		j.recordExecution()
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		r.recordAttemptEnd(j, a.entry, upstream.Abandoned, 0)
		j.recordExecution()
	default:
		result := upstream.Broken
		if errors.Is(err, errNoMemory) { // no fault of the upstream
			result = upstream.Abandoned
		}
		r.recordAttemptEnd(j, a.entry, result, 0)
		j.recordFailure(contract.OutcomeRan, true)
		s.events.DiscardPartial()
	}
	return err
}

// Bounds of the longest tolerated pause between two events of a stream,
// as multiples of the route's target gap between events.
// After a pause of that length the stream is late in any case.
// Upstreams pause for a second or more while they prefill long prompts.
// Abandoning an upstream sooner would interrupt more streams than it would save.
const (
	minPauseFactor = 1.6
	maxPauseFactor = 2.2
	// defaultMaxPause applies to routes without a target gap between events.
	defaultMaxPause = 5 * time.Second
)

// maxPause returns the longest tolerated pause between two events of a stream,
// given the target gap of the route.
func (r *Relay) maxPause(gap time.Duration) time.Duration {
	if gap == 0 {
		return defaultMaxPause
	}
	return time.Duration(maxPauseFactor * float64(gap))
}

// readBufferSize is the size of the buffer for reading a stream, in bytes.
const readBufferSize = 4 << 10

// forward sends the events of a stream to the caller as they arrive.
func (s *streamTransfer) forward(ctx context.Context, a *attempt) (err error) {
	r, j := s.relay, s.job
	longest := r.maxPause(j.Route.TargetGap)
	detector := stream.NewStallDetector(stream.StallOptions{
		MaxGap: longest, MinGap: time.Duration(minPauseFactor / maxPauseFactor * float64(longest)),
		FirstChunk: max(a.startedAt.Add(s.eventTimeout()).Sub(r.opts.Now()), longest),
	}, r.opts.Now())
	watchdog := r.watchSilence(ctx, j, detector.Deadline(), a.answer.Abort)
	defer func() { j.reserved = watchdog.stop(j, err == nil) }()
	buf := make([]byte, readBufferSize)
	for {
		n, err := a.answer.Read(buf)
		if forwardErr := s.forwardEvents(a, detector, buf[:n]); forwardErr != nil {
			return forwardErr
		}
		if n > 0 {
			watchdog.extend(j, detector.Deadline())
		}
		switch {
		case errors.Is(err, io.EOF) && (s.events.HasPartial() || s.endedBeforeFirstEvent(a)):
			return errTruncated
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.Metrics.stalls.Inc(1)
			r.suspectPath(a.entry)
			return errStalled
		case err != nil:
			return err
		}
	}
}

// holdEvents holds memory for the events that have not ended, beyond the part of each stream that does not count.
func (s *streamTransfer) holdEvents() error {
	held := contract.Bytes(s.events.Size())
	if held <= max(s.heldEvents, freeEvents) {
		return nil
	}
	if !s.job.Memory.Take(held-s.heldEvents, s.relay.opts.Now()) {
		return errNoMemory
	}
	s.heldEvents = held
	return nil
}

// freeEvents is the size of events that are covered by the price of a connection.
const freeEvents = 16 * contract.KiB

// endedBeforeFirstEvent reports whether the end of an answer without a marked end came before any
// event. An upstream that crashes after the head of such an answer ends it in the same way.
func (s *streamTransfer) endedBeforeFirstEvent(a *attempt) bool {
	return !a.answer.Delimited && s.eventsForwarded == 0 && !s.job.resumes && s.job.LastEvent == nil
}

// forwardEvents sends the complete events among the received bytes to the caller.
func (s *streamTransfer) forwardEvents(a *attempt, detector *stream.StallDetector, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	events, n, err := s.events.Feed(p)
	if err == nil {
		err = s.holdEvents()
	}
	if err != nil || n == 0 {
		return err
	}
	s.recordLastEvent()
	now := s.relay.opts.Now()
	s.relay.recordAnswerData(s.job, a.entry, now)
	detector.RecordChunk(now)
	if s.eventsForwarded == 0 {
		s.job.firstAnswerAt = now
		s.relay.observeLatency(s.job, now.Sub(a.startedAt))
	}
	s.relay.observeEvents(s.job, n, now)
	s.job.timing.recordEvents(a.entry.ID, s.eventsForwarded, now)
	s.eventsForwarded += n
	if s.sendHead(a.head) != nil || s.caller.SendEvents(events) != nil {
		return errCallerGone
	}
	s.job.timing.recordForwarded(s.relay.opts.Now().Sub(now))
	return nil
}
