package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/logs"
	"woaddoor/sign"
	"woaddoor/stream"
)

// streamTokenPurpose is part of the signature, so that a stream token is not accepted as a session token.
const streamTokenPurpose = "stream"

// streamToken lets a caller resume its stream at any VM.
// The token identifies the engine that generates the answer, and the bill record of the request.
type streamToken struct {
	Workspace contract.WorkspaceID `cbor:"1,keyasint"`
	RequestID contract.RequestID   `cbor:"2,keyasint"`
	Upstream  contract.UpstreamID  `cbor:"3,keyasint"`
	Version   contract.VersionID   `cbor:"4,keyasint"`
	Bill      bill.ID              `cbor:"5,keyasint"`
}

// streamTokenSigner signs and verifies stream tokens.
type streamTokenSigner struct{ key *sign.Key }

// newStreamTokenSigner returns a signer of stream tokens that uses the given key.
func newStreamTokenSigner(signingKey []byte) *streamTokenSigner {
	return &streamTokenSigner{key: sign.NewKey(signingKey, streamTokenPurpose)}
}

// streamRelay forwards a streamed answer from an engine to a caller and recovers when the stream breaks.
type streamRelay struct {
	server       *Server
	job          *job
	w            http.ResponseWriter
	flush        func()
	headSent     bool   // the response has begun: its headers are set
	eventsSent   int    // number of events sent to the caller
	lastEventID  string // ID of the engine's last event, after which a resume continues
	sentText     []byte // the text of the answer sent so far
	singleChoice bool   // the answer has one choice, so sentText holds all of it
	completionID string // the completion ID in all chunks sent to the caller
	// earlierUsage counts the tokens generated before the answer was continued on another engine.
	earlierUsage engine.Usage
	// recovery is the state by which stream.NextAction selects how to recover a broken stream.
	recovery      stream.Interruption
	engineChanged bool // another engine than the first one generates the answer now
}

// answerStream answers a job as a stream.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, j *job) *contract.Refusal {
	s.locked(s.retryBudget.RecordFirstAttempt)
	r := &streamRelay{server: s, job: j, w: w, flush: w.(http.Flusher).Flush, singleChoice: true}
	return r.run(ctx, "")
}

// run relays the stream until the stream is complete or cannot be recovered.
// run returns a refusal only if nothing has been sent to the caller.
// Once something has been sent, a failure is reported in the last event of the stream.
func (r *streamRelay) run(ctx context.Context, lastEventID string) *contract.Refusal {
	s := r.server
	for attempt := 1; ; attempt++ {
		usage, err := r.attempt(ctx, lastEventID)
		if err == nil {
			return r.finish(ctx, usage)
		}
		if ctx.Err() != nil && !s.clock.Now().Before(r.job.chat.deadline) {
			return r.endWithRefusal(newRefusal(contract.RefusedDeadlinePassed, r.recovery.Outcome(), contract.StepStream, "the deadline came before the end of the stream"))
		}
		if s.workEnded.Err() != nil {
			return r.endWithRefusal(newRefusal(contract.RefusedStopping, r.recovery.Outcome(), contract.StepStream, "this VM stops"))
		}
		if ctx.Err() != nil {
			return r.endWithRefusal(newRefusal(contract.RefusedStreamCut, r.recovery.Outcome(), contract.StepStream, "the caller went"))
		}
		s.recordFailure(r.job, err)
		refused := r.prepareRecovery(ctx, attempt, err, &lastEventID)
		if refused != nil {
			return r.endWithRefusal(refused)
		}
	}
}

// prepareRecovery decides how to recover a broken stream and prepares the next attempt.
// prepareRecovery returns a refusal if the stream cannot be recovered.
func (r *streamRelay) prepareRecovery(ctx context.Context, attempt int, err error, lastEventID *string) *contract.Refusal {
	s := r.server
	s.log.Warn("stream-broken", append(logs.ErrorFields(err), zap.String("request", string(r.job.chat.id)), zap.Int("delivered", r.eventsSent))...)
	r.recovery.DeliveredChunks, r.recovery.Repeatable = r.eventsSent, r.job.chat.repeatable
	r.recovery.Permitted = s.checkPermit(r.job) == nil
	r.recovery.SingleText, r.recovery.Deadline = r.singleChoice, r.job.chat.deadline
	action := stream.NextAction(r.recovery, s.clock.Now())
	s.log.Info("stream-goes-on", zap.String("request", string(r.job.chat.id)), zap.Int("action", int(action)))
	switch action {
	case stream.Resume:
		r.recovery.ResumeAttempts++
		r.recovery.Recoveries++
		s.metrics.streamsRecovered.Inc(1)
		*lastEventID = r.lastEventID
		return nil
	case stream.Restart:
		*lastEventID = ""
		return s.prepareRetry(ctx, r.job, attempt, err, 0)
	case stream.Continue:
		r.recovery.Recoveries++
		s.metrics.streamsRecovered.Inc(1)
		r.continueOnOtherUpstream()
		*lastEventID = ""
		return nil
	}
	r.job.mergeOutcome(err)
	return s.finalRefusal(r.job, err, "stream could not go on")
}

// continueOnOtherUpstream makes the next attempt continue the answer after the text already sent.
// The next attempt uses the same model version on another upstream.
func (r *streamRelay) continueOnOtherUpstream() {
	r.job.excluded = append(r.job.excluded, r.job.upstream)
	r.job.body = r.job.chat.bodyFor(r.job.version, r.sentText)
	r.earlierUsage.Completion = contract.Tokens(r.eventsSent)
	r.engineChanged = true
}

// attempt relays events from one upstream until its stream ends or breaks.
func (r *streamRelay) attempt(ctx context.Context, lastEventID string) (engine.Usage, error) {
	s := r.server
	url, err := r.attemptURL(lastEventID)
	if err != nil {
		return engine.Usage{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := s.engineCall(r.job, url)
	if lastEventID != "" {
		// Resuming an answer that the engine is still generating is not new work, so it needs no permission.
		call.LastEventID, call.CheckPermission, call.NotAfter = lastEventID, nil, time.Time{}
	}
	startedAt := s.clock.Now()
	usage, err := r.relayEvents(ctx, cancel, call)
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		s.metrics.streamsStalled.Inc(1)
		err = errors.Join(errStalled, err)
		s.recordAttemptEnd(context.Background(), r.job, startedAt, err)
		return usage, err
	}
	s.recordAttemptEnd(ctx, r.job, startedAt, err)
	return usage, err
}

// attemptURL returns the URL for the next attempt. A resumed stream stays with its engine.
// For any other attempt, an engine is selected.
func (r *streamRelay) attemptURL(lastEventID string) (string, error) {
	s := r.server
	if lastEventID == "" {
		if refused := s.checkPermit(r.job); refused != nil {
			return "", refused
		}
		url, refused := s.pickEngine(r.job)
		if refused != nil {
			return "", refused
		}
		return url, nil
	}
	url := ""
	s.locked(func() {
		url = s.upstreams.URL(r.job.upstream)
		s.upstreams.RecordSent(r.job.upstream)
	})
	if url == "" {
		return "", errors.New("the engine of the stream is no longer configured")
	}
	return url, nil
}

// errStalled is the error for an upstream that sent no event within the time expected from its earlier events.
var errStalled = errors.New("stream has stalled")

// relayEvents reads events from an engine and forwards each event to the caller immediately.
// If the next event is overdue, relayEvents cancels the call with errStalled.
func (r *streamRelay) relayEvents(ctx context.Context, cancel context.CancelCauseFunc, call engine.Call) (engine.Usage, error) {
	s := r.server
	detector := stream.NewStallDetector(stream.StallOptions{MaxGap: s.opts.Settings.Entry.StallAfter}, s.clock.Now())
	timer := time.AfterFunc(time.Until(detector.Deadline()), func() { cancel(errStalled) })
	defer timer.Stop()
	events, err := s.engine.Stream(ctx, call)
	if err != nil {
		return engine.Usage{}, err
	}
	defer events.Close()
	for {
		e, err := events.Next()
		if err != nil {
			return engine.Usage{}, err
		}
		if e.End {
			return events.Usage(), nil
		}
		now := s.clock.Now()
		detector.RecordChunk(now)
		timer.Reset(detector.Deadline().Sub(now))
		if err := r.forward(e, now); err != nil {
			return engine.Usage{}, err
		}
	}
}

// forward sends one event to the caller.
// Before the first event, forward sends the response headers.
func (r *streamRelay) forward(e engine.Event, now time.Time) error {
	if !r.headSent {
		if err := r.sendHead(now); err != nil {
			return err
		}
	}
	data := r.recordChunk(e)
	r.lastEventID = e.ID
	r.eventsSent++
	r.recovery.ResumeAttempts = 0 // an event arrived, so the engine makes progress again
	if _, err := r.w.Write(sseEvent(r.eventID(e), data)); err != nil {
		return err
	}
	r.flush()
	return nil
}

// eventID returns the ID of the next event for the caller.
// Normally this is the engine's own event ID. If the engine sent no ID, or another engine has taken
// over, the event ID is the number of events sent so far.
func (r *streamRelay) eventID(e engine.Event) string {
	if r.engineChanged || e.ID == "" {
		return strconv.Itoa(r.eventsSent)
	}
	return e.ID
}

// sseEvent encodes a server-sent event.
func sseEvent(id string, data []byte) []byte {
	b := make([]byte, 0, len(id)+len(data)+16)
	b = append(b, "id: "...)
	b = append(b, id...)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// recordChunk appends the text of an event to sentText,
// so that another engine can continue from that text.
// recordChunk returns the data to send. After a change of engine, chunks get the first engine's
// completion ID, and the token usage covers the whole answer.
func (r *streamRelay) recordChunk(e engine.Event) []byte {
	c := e.Chunk
	if r.completionID == "" {
		r.completionID = c.ID
	}
	if len(c.Choices) > 1 || len(c.Choices) == 1 && c.Choices[0].Index != 0 {
		r.singleChoice = false
	}
	if len(c.Choices) == 1 {
		r.sentText = append(r.sentText, c.Choices[0].Delta.Content...)
	}
	if !r.engineChanged {
		return e.Data
	}
	c.ID = r.completionID
	if c.Usage != nil {
		total := *c.Usage
		total.Completion += r.earlierUsage.Completion
		total.Total = total.Prompt + total.Completion
		c.Usage = &total
	}
	rewritten, err := json.Marshal(c)
	if err != nil {
		return e.Data
	}
	return rewritten
}

// sendHead sets the response headers, including the session token and the stream token (with which
// the caller resumes the stream).
func (r *streamRelay) sendHead(now time.Time) error {
	s, j := r.server, r.job
	j.attempted, j.outcome = true, contract.OutcomeRan // the engine has sent output, so the request ran even if a later step fails
	if refused := s.issueSession(r.w, j); refused != nil {
		return refused
	}
	text, err := s.streamTokens.key.Sign(streamToken{
		Workspace: j.chat.workspace.ID, RequestID: j.chat.id, Upstream: j.upstream, Version: j.version, Bill: j.chat.billID(),
	})
	if err != nil {
		return err
	}
	r.headSent = true
	j.setHeaders(r.w)
	r.w.Header().Set(HeaderStream, text)
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.Header().Set("Cache-Control", "no-store")
	s.metrics.firstTokenTime.Update(int64(now.Sub(j.chat.arrived)))
	return nil
}

// finish stores the bill record of a completed stream, then sends the end marker.
// The bill record is stored first, because the caller has a complete answer once it receives the
// end marker.
func (r *streamRelay) finish(ctx context.Context, usage engine.Usage) *contract.Refusal {
	usage.Completion += r.earlierUsage.Completion
	if refused := r.server.saveBill(ctx, r.job, usage); refused != nil {
		return r.endWithRefusal(refused)
	}
	r.server.saveResult(ctx, r.job.chat.claim, http.StatusOK, "", nil)
	_, err := r.w.Write(sseEvent(strconv.Itoa(r.eventsSent+1), []byte(engine.StreamEndMarker)))
	r.flush()
	r.server.metrics.answerTime.Update(int64(r.server.clock.Now().Sub(r.job.chat.arrived)))
	r.server.logAnswered(r.job, usage, err)
	r.server.rateInBackground(r.job, plan{version: r.job.version}, textAnswer(r.sentText))
	return nil
}

// textAnswer returns an answer with the given text, for rating.
func textAnswer(text []byte) *engine.ChatResponse {
	return &engine.ChatResponse{Completion: engine.ChatCompletion{Choices: []engine.Choice{{Message: engine.ResponseMessage{Content: string(text)}}}}}
}

// endWithRefusal ends an incomplete stream.
// If nothing was sent yet, endWithRefusal returns the refusal.
// Otherwise it sends an error event with the problem document, and no end marker, and returns nil.
func (r *streamRelay) endWithRefusal(refused *contract.Refusal) *contract.Refusal {
	if !r.headSent {
		return refused
	}
	r.server.metrics.refusals.Inc(1)
	r.server.logRefusal(r.job.chat.id, refused)
	raw, err := json.Marshal(streamError{problemOf(r.job.chat.id, refused)})
	if err != nil {
		return nil
	}
	_, _ = r.w.Write(append([]byte("event: error\n"), sseEvent(strconv.Itoa(r.eventsSent+1), raw)...))
	r.flush()
	return nil
}

// streamError is the data of an error event, in the format that clients of chat-completion APIs expect.
type streamError struct {
	Error problem `json:"error"`
}

// emptyBody is the body of a resume request to an engine, which needs only the request's headers.
var emptyBody = []byte("{}")

// resumeStream resumes a stream whose connection the caller has lost, after the event given in Last-Event-ID.
// The stream may have been served by another VM.
func (s *Server) resumeStream(ctx context.Context, w http.ResponseWriter, req *request) *contract.Refusal {
	var token streamToken
	if err := s.streamTokens.key.Verify(req.streamToken, &token); err != nil || token.Workspace != req.workspace.ID {
		return newRefusal(contract.RefusedInvalidStreamToken, contract.OutcomeNotRun, contract.StepStream, "the token was not made for this workspace")
	}
	if _, err := strconv.Atoi(req.lastEventID); err != nil {
		return newRefusal(contract.RefusedInvalidRequest, contract.OutcomeUnknown, contract.StepStream, "Last-Event-ID is needed, the id of the last event received")
	}
	c := &chatRequest{request: req}
	c.id = token.RequestID // the request ID by which the engine knows the stream
	c.Stream = true
	// The text that was sent before the interruption is not known here.
	// The answer therefore cannot be continued on another engine, and the request must not be run
	// again.
	c.repeatable = false
	c.session = ""
	c.originalBillID = token.Bill
	// The stream token was sent with the first event, so the request did run,
	// and no later failure can change the outcome to "not run".
	j := &job{chat: c, version: token.Version, upstream: token.Upstream, body: emptyBody, attempted: true, outcome: contract.OutcomeRan}
	r := &streamRelay{server: s, job: j, w: w, flush: w.(http.Flusher).Flush, lastEventID: req.lastEventID}
	return r.run(ctx, req.lastEventID)
}
