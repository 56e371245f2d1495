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

// Errors of streamed answers.
var (
	// errBroken means that a stream ended within an event.
	errBroken = errors.New("stream ended within an event")
	// errStalled means that an upstream stopped sending, against its own pace.
	errStalled = errors.New("stream has stalled")
	// errEscalated means that a smaller model's answer was given up.
	errEscalated = errors.New("answer of the smaller model given up")
	// errFailed means that the upstream answered with a failure of its own.
	errFailed = errors.New("upstream failed")
	// errCallerGone means that the caller could not be written to.
	errCallerGone = errors.New("caller is gone")
)

// series is a streamed answer on its way to the caller, over one upstream or
// several.
type series struct {
	relay  *Relay
	job    *job
	caller Caller
	events stream.Events
	// failure is the newest failure that an upstream answered with.
	failure *Head
	body    []byte
	passed  int // events given to the caller
}

// stream has a request answered as a series of events.
func (r *Relay) stream(ctx context.Context, j *job, c Caller) (End, *contract.Refusal) {
	s := &series{relay: r, job: j, caller: c}
	if j.LastEvent != nil {
		s.events.After(*j.LastEvent)
	}
	for {
		e, refused := r.pick(j)
		if refused != nil {
			return s.giveUp(refused)
		}
		err := s.attempt(ctx, e)
		switch {
		case err == nil:
			return s.finish()
		case errors.Is(err, errEscalated):
			continue
		case errors.Is(err, errCallerGone):
			return Gone, nil
		case ctx.Err() != nil:
			end, refused := r.over(ctx, j)
			if end == Gone {
				return end, nil
			}
			return s.giveUp(refused)
		}
		if why := r.again(j, j.Route.Repeatable()); why != "" {
			return s.giveUp(r.gaveUp(j, why, err))
		}
		r.retried(j, err)
	}
}

// finish ends a series that is whole.
func (s *series) finish() (End, *contract.Refusal) {
	s.job.outcome, s.job.status = contract.Ran, http.StatusOK
	if s.failure != nil { // an answer that is not a series
		return s.relay.deliver(s.job, s.caller, s.failure, s.body)
	}
	if err := s.caller.End(); err != nil {
		return Gone, nil
	}
	return Delivered, nil
}

// giveUp ends a series that is not whole.
func (s *series) giveUp(f *contract.Refusal) (End, *contract.Refusal) {
	if s.job.began {
		return Cut, f
	}
	if s.failure != nil && f.Kind != contract.RefusedDeadline {
		return s.relay.deliver(s.job, s.caller, s.failure, s.body)
	}
	return Refused, f
}

func (s *series) begin(h *Head) error {
	if s.job.began {
		return nil
	}
	s.job.began = true
	return s.caller.Begin(h)
}

// lastEvent returns the event after which an upstream is to go on.
func (s *series) lastEvent() *int64 {
	if last, ok := s.events.Last(); ok {
		return &last
	}
	return nil
}

// attempt passes on what one upstream sends until its end. It returns nil when
// the series, or a final answer of another kind, is whole.
func (s *series) attempt(ctx context.Context, e upstream.Entry) error {
	r, j := s.relay, s.job
	began := r.opts.Now()
	s.failure, s.body = nil, nil
	a, err := r.send(ctx, j, e, s.lastEvent(), s.silentIn())
	if err != nil {
		r.failed(j, err, began)
		return err
	}
	defer a.close()
	switch h := a.head; {
	case h.Status != http.StatusOK || h.NotRun:
		return s.other(a)
	case !h.Sealed:
		r.ended(j, e, upstream.Failed, 0)
		j.note(contract.Ran, true)
		return errUnsealed
	}
	if to, ok := r.escalates(j, a.head); ok {
		r.escalated(j, a, to)
		return errEscalated
	}
	j.weights, j.confident = a.head.Weights, a.head.Confidence
	err = s.pump(a)
	if err == nil && s.begin(a.head) != nil { // a series without events is whole too
		err = errCallerGone
	}
	return s.judge(ctx, a, err)
}

// silentIn returns how long an attempt may be silent before its first event.
func (s *series) silentIn() time.Duration {
	if s.job.began {
		return s.relay.pauseLimit(s.job.Route.Gap)
	}
	return s.relay.silentIn(s.job)
}

// other takes in an answer that is not a series of events.
func (s *series) other(a *attempt) error {
	r, j := s.relay, s.job
	body, err := io.ReadAll(io.LimitReader(a.answer, maxWhole))
	if err = r.judge(j, a, err); err != nil {
		return err
	}
	if a.head.NotRun {
		return errNotRun
	}
	s.failure, s.body = a.head, body
	if a.head.Status >= http.StatusInternalServerError {
		return errFailed
	}
	return nil // final, such as 400
}

// judge notes how an upstream's part of a series ended.
func (s *series) judge(ctx context.Context, a *attempt, err error) error {
	r, j := s.relay, s.job
	first := time.Duration(0)
	if !j.firstAt.IsZero() {
		first = max(j.firstAt.Sub(a.began), 0)
	}
	switch {
	case err == nil:
		r.ended(j, a.entry, upstream.Good, first)
		r.locked(func() { r.table.Held(r.opts.Now().Sub(j.firstAt)) })
		if s.passed >= eventsCompared && j.failures == 0 {
			a.took(j, kindEvent, r.opts.Now().Sub(j.firstAt)/time.Duration(s.passed))
		}
		r.observe(j, a, false)
		r.answeredWhole(j)
		j.sends++
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		r.ended(j, a.entry, upstream.Abandoned, 0)
		j.sends++
	default:
		r.ended(j, a.entry, upstream.Broken, 0)
		j.note(contract.Ran, true)
		s.events.Restart()
	}
	return err
}

// eventsCompared is how many events a stream has at least when its pace is
// compared between releases.
const eventsCompared = 6

// Bounds of the pause between two events, as multiples of the route's longest:
// a stream that paused that long is late whatever is done, and upstreams that
// read long prompts pause for a second and more, so that leaving one sooner
// costs more streams than it saves.
const (
	pauseFrom = 1.6
	pauseTo   = 2.2
	// pauseDefault is used where a route does not say.
	pauseDefault = 5 * time.Second
)

func (r *Relay) pauseLimit(gap time.Duration) time.Duration {
	if gap == 0 {
		return pauseDefault
	}
	return time.Duration(pauseTo * float64(gap))
}

// eventBuffer is the size of one read of a stream, in bytes.
const eventBuffer = 4 << 10

// pump passes events on as they come.
func (s *series) pump(a *attempt) error {
	r, j := s.relay, s.job
	longest := r.pauseLimit(j.Route.Gap)
	pace := stream.NewPace(stream.PaceOptions{
		Longest: longest, Shortest: time.Duration(pauseFrom / pauseTo * float64(longest)),
		First: max(a.began.Add(s.silentIn()).Sub(r.opts.Now()), longest),
	}, r.opts.Now())
	silence := r.watch(j, pace.Due(), a.answer.Abort)
	defer silence.stop()
	buf := make([]byte, eventBuffer)
	for {
		n, err := a.answer.Read(buf)
		if perr := s.pass(a, pace, buf[:n]); perr != nil {
			return perr
		}
		silence.heard(pace.Due())
		switch {
		case errors.Is(err, io.EOF) && s.events.Partial():
			return errBroken
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.Metrics.stalls.Inc(1)
			r.doubt(a.entry)
			return errStalled
		case err != nil:
			return err
		}
	}
}

// pass gives the whole events among the bytes to the caller.
func (s *series) pass(a *attempt, pace *stream.Pace, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	whole, n, err := s.events.Feed(p)
	if err != nil || n == 0 {
		return err
	}
	now := s.relay.opts.Now()
	pace.Chunk(now)
	if s.passed == 0 {
		s.job.firstAt = now
		s.relay.paced(s.job, now.Sub(a.began))
		a.took(s.job, kindFirst, now.Sub(a.began))
	}
	s.passed += n
	if s.begin(a.head) != nil || s.caller.Pass(whole) != nil {
		return errCallerGone
	}
	return nil
}
