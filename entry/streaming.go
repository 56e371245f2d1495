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

// streamPurpose keeps a stream's token from passing for a session's.
const streamPurpose = "stream"

// streamToken lets a caller take up its stream at another VM: it says where
// the engine is that goes on with it.
type streamToken struct {
	Workspace contract.WorkspaceID `cbor:"1,keyasint"`
	RequestID contract.RequestID   `cbor:"2,keyasint"`
	Upstream  contract.UpstreamID  `cbor:"3,keyasint"`
	Version   contract.VersionID   `cbor:"4,keyasint"`
	Bill      bill.ID              `cbor:"5,keyasint"`
}

type streamKeeper struct{ key *sign.Key }

func newStreamKeeper(secret []byte) *streamKeeper {
	return &streamKeeper{key: sign.NewKey(secret, streamPurpose)}
}

// relay is a streamed answer on its way from an engine to a caller.
type relay struct {
	server  *Server
	job     *job
	w       http.ResponseWriter
	flush   func()
	began   bool // whether the caller has received the head
	events  int  // events given to the caller
	lastID  string
	text    []byte // what the caller has received of the answer
	plain   bool   // whether the answer is one text, which text holds whole
	firstID string // the id that the caller's chunks carry
	// spent are the tokens of earlier parts of a continued answer.
	spent   engine.Usage
	state   stream.Broken
	foreign bool // whether the present engine is not the first one
}

// answerStream has a job answered as a stream.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, j *job) *contract.Refusal {
	s.locked(s.budget.First)
	r := &relay{server: s, job: j, w: w, flush: w.(http.Flusher).Flush, plain: true}
	return r.run(ctx, "")
}

// run relays until the stream is whole or given up. It returns a refusal only
// while the caller has received nothing; after that the stream's last event
// says what is known.
func (r *relay) run(ctx context.Context, lastEvent string) *contract.Refusal {
	s := r.server
	for n := 1; ; n++ {
		usage, err := r.attempt(ctx, lastEvent)
		if err == nil {
			return r.finish(ctx, usage)
		}
		if ctx.Err() != nil && !s.clock.Now().Before(r.job.chat.deadline) {
			return r.giveUp(refusal(contract.RefusedDeadline, r.state.Outcome(), contract.StepStream, "the deadline came before the end of the stream"))
		}
		if ctx.Err() != nil {
			return r.giveUp(refusal(contract.RefusedStreamCut, r.state.Outcome(), contract.StepStream, "the caller went"))
		}
		s.observe(r.job, err)
		refused := r.recover(ctx, n, err, &lastEvent)
		if refused != nil {
			return r.giveUp(refused)
		}
	}
}

// recover decides how a broken stream goes on and prepares the next attempt.
func (r *relay) recover(ctx context.Context, n int, err error, lastEvent *string) *contract.Refusal {
	s := r.server
	s.log.Warn("stream-broken", append(logs.Failure(err), zap.String("request", string(r.job.chat.id)), zap.Int("delivered", r.events))...)
	r.state.Delivered, r.state.Repeatable = r.events, r.job.chat.repeatable
	r.state.Permitted = s.permitted(r.job) == nil
	r.state.Plain, r.state.Deadline = r.plain, r.job.chat.deadline
	action := stream.Decide(r.state, s.clock.Now())
	s.log.Info("stream-goes-on", zap.String("request", string(r.job.chat.id)), zap.Int("action", int(action)))
	switch action {
	case stream.Resume:
		r.state.Resumed++
		r.state.Recovered++
		s.metrics.resumed.Inc(1)
		*lastEvent = r.lastID
		return nil
	case stream.Restart:
		*lastEvent = ""
		return s.again(ctx, r.job, n, err, 0)
	case stream.Continue:
		r.state.Recovered++
		s.metrics.resumed.Inc(1)
		r.continueElsewhere()
		*lastEvent = ""
		return nil
	}
	r.job.note(err)
	return s.gaveUp(r.job, err, "stream could not go on")
}

// continueElsewhere makes the next attempt start from what was received, on
// another upstream and the same version.
func (r *relay) continueElsewhere() {
	r.job.exclude = append(r.job.exclude, r.job.upstream)
	r.job.body = r.job.chat.bodyFor(r.job.version, r.text)
	r.spent.Completion = contract.Tokens(r.events)
	r.foreign = true
}

// attempt relays from one upstream until its stream ends or breaks.
func (r *relay) attempt(ctx context.Context, lastEvent string) (engine.Usage, error) {
	s := r.server
	url, err := r.target(lastEvent)
	if err != nil {
		return engine.Usage{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := s.call(r.job, url)
	if lastEvent != "" {
		// Going on with a generation is no new work, so no permission is asked.
		call.LastEvent, call.Permit, call.NotAfter = lastEvent, nil, time.Time{}
	}
	began := s.clock.Now()
	usage, err := r.pump(ctx, cancel, call)
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		s.metrics.stalls.Inc(1)
		err = errors.Join(errStalled, err)
		s.ended(context.Background(), r.job, began, err)
		return usage, err
	}
	s.ended(ctx, r.job, began, err)
	return usage, err
}

// target returns where the next attempt goes: to the same engine for a resume,
// else to the one picked.
func (r *relay) target(lastEvent string) (string, error) {
	s := r.server
	if lastEvent == "" {
		if refused := s.permitted(r.job); refused != nil {
			return "", refused
		}
		url, refused := s.pick(r.job)
		if refused != nil {
			return "", refused
		}
		return url, nil
	}
	url := ""
	s.locked(func() {
		url = s.upstreams.URL(r.job.upstream)
		s.upstreams.Sent(r.job.upstream)
	})
	if url == "" {
		return "", errors.New("the engine of the stream is no longer configured")
	}
	return url, nil
}

// errStalled means that an upstream stopped sending, against its own pace.
var errStalled = errors.New("stream has stalled")

// pump reads events and gives each to the caller as it comes.
func (r *relay) pump(ctx context.Context, cancel context.CancelCauseFunc, call engine.Call) (engine.Usage, error) {
	s := r.server
	pace := stream.NewPace(stream.PaceOptions{Longest: s.opts.Settings.Entry.StallAfter}, s.clock.Now())
	timer := time.AfterFunc(time.Until(pace.Due()), func() { cancel(errStalled) })
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
		pace.Chunk(now)
		timer.Reset(pace.Due().Sub(now))
		if err := r.pass(e, now); err != nil {
			return engine.Usage{}, err
		}
	}
}

// pass gives one event to the caller.
func (r *relay) pass(e engine.Event, now time.Time) error {
	if !r.began {
		if err := r.begin(now); err != nil {
			return err
		}
	}
	data := r.note(e)
	r.lastID = e.ID
	r.events++
	r.state.Resumed = 0 // it makes progress
	if _, err := r.w.Write(frame(r.eventID(e), data)); err != nil {
		return err
	}
	r.flush()
	return nil
}

// eventID returns the place in the stream that the caller is told: the
// engine's own, unless another engine has taken over.
func (r *relay) eventID(e engine.Event) string {
	if r.foreign || e.ID == "" {
		return strconv.Itoa(r.events)
	}
	return e.ID
}

// frame returns the bytes of an event.
func frame(id string, data []byte) []byte {
	b := make([]byte, 0, len(id)+len(data)+16)
	b = append(b, "id: "...)
	b = append(b, id...)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// note keeps the text that the caller receives, so that another engine can go
// on from it, and returns the data to send. The chunks of another engine get
// the id of the first ones, and the usage of the whole.
func (r *relay) note(e engine.Event) []byte {
	c := e.Chunk
	if r.firstID == "" {
		r.firstID = c.ID
	}
	if len(c.Choices) > 1 || len(c.Choices) == 1 && c.Choices[0].Index != 0 {
		r.plain = false
	}
	if len(c.Choices) == 1 {
		r.text = append(r.text, c.Choices[0].Delta.Content...)
	}
	if !r.foreign {
		return e.Data
	}
	c.ID = r.firstID
	if c.Usage != nil {
		whole := *c.Usage
		whole.Completion += r.spent.Completion
		whole.Total = whole.Prompt + whole.Completion
		c.Usage = &whole
	}
	renamed, err := json.Marshal(c)
	if err != nil {
		return e.Data
	}
	return renamed
}

// begin sends the head: the session, and the token to take up the stream.
func (r *relay) begin(now time.Time) error {
	s, j := r.server, r.job
	j.tried, j.outcome = true, contract.Ran // whatever fails from here on
	if refused := s.giveSession(r.w, j); refused != nil {
		return refused
	}
	text, err := s.streams.key.Sign(streamToken{
		Workspace: j.chat.workspace.ID, RequestID: j.chat.id, Upstream: j.upstream, Version: j.version, Bill: j.chat.billID(),
	})
	if err != nil {
		return err
	}
	r.began = true
	j.head(r.w)
	r.w.Header().Set(HeaderStream, text)
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.Header().Set("Cache-Control", "no-store")
	s.metrics.firstToken.Update(int64(now.Sub(j.chat.arrived)))
	return nil
}

// finish bills a whole stream, then sends its end. The end is what makes the
// answer whole for the caller, so the bill is kept before it.
func (r *relay) finish(ctx context.Context, usage engine.Usage) *contract.Refusal {
	usage.Completion += r.spent.Completion
	if refused := r.server.bill(ctx, r.job, usage); refused != nil {
		return r.giveUp(refused)
	}
	r.server.keepResult(ctx, r.job.chat.claim, http.StatusOK, "", nil)
	_, err := r.w.Write(frame(strconv.Itoa(r.events+1), []byte(engine.StreamEnd)))
	r.flush()
	r.server.metrics.whole.Update(int64(r.server.clock.Now().Sub(r.job.chat.arrived)))
	r.server.answered(r.job, usage, err)
	r.server.rateLater(r.job, plan{first: r.job.version}, answerOf(r.text))
	return nil
}

func answerOf(text []byte) *engine.Answer {
	return &engine.Answer{Completion: engine.Completion{Choices: []engine.Choice{{Message: engine.AnswerMessage{Content: string(text)}}}}}
}

// giveUp ends a stream that is not whole. While nothing was sent it is a plain
// refusal; after that an error event says what is known, and no end marker
// follows.
func (r *relay) giveUp(f *contract.Refusal) *contract.Refusal {
	if !r.began {
		return f
	}
	r.server.metrics.refusals.Inc(1)
	r.server.logRefusal(r.job.chat.id, f)
	raw, err := json.Marshal(streamError{problemOf(r.job.chat.id, f)})
	if err != nil {
		return nil
	}
	_, _ = r.w.Write(append([]byte("event: error\n"), frame(strconv.Itoa(r.events+1), raw)...))
	r.flush()
	return nil
}

// streamError is the data of an error event, in the form that model clients
// know.
type streamError struct {
	Error problem `json:"error"`
}

// resumeBody goes with a request to resume, which the headers describe whole.
var resumeBody = []byte("{}")

// takeUp goes on with a stream that the caller has lost, from the place it
// names, whichever VM it was on.
func (s *Server) takeUp(ctx context.Context, w http.ResponseWriter, req *request) *contract.Refusal {
	var token streamToken
	if err := s.streams.key.Open(req.stream, &token); err != nil || token.Workspace != req.workspace.ID {
		return refusal(contract.RefusedStreamForbidden, contract.NotRun, contract.StepStream, "the token was not made for this workspace")
	}
	if _, err := strconv.Atoi(req.lastEvent); err != nil {
		return refusal(contract.RefusedRequest, contract.Unknown, contract.StepStream, "Last-Event-ID is needed, the id of the last event received")
	}
	c := &chatRequest{request: req}
	c.id = token.RequestID // what the engine knows it by
	c.Stream = true
	// What was received before is not known here, so it cannot be continued
	// elsewhere, and the request is not run anew.
	c.repeatable = false
	c.session = ""
	c.billAs = token.Bill
	// The token was given with the first event, so the request ran: no later
	// failure makes that "not run".
	j := &job{chat: c, version: token.Version, upstream: token.Upstream, body: resumeBody, tried: true, outcome: contract.Ran}
	r := &relay{server: s, job: j, w: w, flush: w.(http.Flusher).Flush, lastID: req.lastEvent}
	return r.run(ctx, req.lastEvent)
}
