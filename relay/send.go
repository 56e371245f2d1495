package relay

import (
	"context"
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/quarantine"
	"woaddoor/reading"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// Send is one attempt at a request, as a Dialect encodes it.
type Send struct {
	Upstream upstream.Entry
	// Model is the model asked for, when the router chooses it.
	Model contract.ModelID
	// Left is how long the upstream may work.
	Left time.Duration
	// LastEvent is the event after which a stream goes on, if any.
	LastEvent *int64
	// Weights is the version of the weights that has to go on with a stream.
	Weights string
}

// Dialect is the protocol of the upstreams.
type Dialect interface {
	// Encode returns the request that an attempt sends.
	Encode(r *Request, s Send) *exchange.Request
	// Belongs tells whether an answer is to the request.
	Belongs(r *Request, h http.Header) bool
	// Decode reads the head of an answer.
	Decode(status int, h http.Header) *Head
}

// job is the work on one request.
type job struct {
	*Request
	service contract.ServiceID
	model   contract.ModelID
	why     string // why that model
	// weight is what the request is worth against a mean one.
	weight   float64
	release  string
	exclude  []contract.UpstreamID
	sends    int // that may have reached an upstream
	failures int // of any kind
	outcome  contract.Outcome
	status   int // of the answer that was delivered
	weights  string
	// began is set once the caller has the head of a stream.
	began     bool
	escalated bool
	last      upstream.Entry
	firstAt   time.Time // when the first answer or event came
	confident float64   // of the answer that is passed on
	givenUp   float64   // of the smaller model's that was given up
	// waits is what the present attempt waits for.
	waits waits
	// sentAt is when the present attempt was sent, there whether its upstream has shown
	// since that it was there, and printed the content's print once it was asked for.
	sentAt  time.Time
	there   bool
	printed *quarantine.Print
	// counted tells that an upstream is known to have begun to run the request.
	counted bool
	// claim tells that the present attempt took from this VM's part of its upstream's limit.
	claim bool
}

// waits is an attempt whose answer has not begun. The zero value is none.
type waits struct {
	upstream contract.UpstreamID // empty once it has begun or ended
	born     int64               // that of its entry
	work     upstream.Work
	expected upstream.Estimate
	ticket   reading.Ticket
	since    time.Time
}

// attempt is one send that got the head of an answer.
type attempt struct {
	entry  upstream.Entry
	answer *exchange.Answer
	head   *Head
	began  time.Time
	times  []rollout.Time
	cancel context.CancelFunc
}

// maxUnsent bounds how many upstreams are found unreachable for one request.
const maxUnsent = 4

// onceIdle is how long a connection may have been idle that a request which may
// not run again goes over: upstreams drop idle connections without a word, and
// what is then sent over them may have run.
const onceIdle = time.Second

// send sends the request to an upstream and waits for the head of its answer; for
// longer than silent only while no other upstream could take the request.
func (r *Relay) send(ctx context.Context, j *job, e upstream.Entry, lastEvent *int64, silent time.Duration) (*attempt, error) {
	now := r.opts.Now()
	pool := r.pool(e)
	ctx, cancel := context.WithCancelCause(ctx)
	silence := r.watch(j, now.Add(silent), func() { cancel(errSilent) })
	s := Send{Upstream: e, Model: j.model, Left: j.Deadline.Sub(now), LastEvent: lastEvent}
	if lastEvent != nil {
		s.Weights = j.weights
	}
	req := r.opts.Dialect.Encode(j.Request, s)
	if !j.Route.Repeatable() {
		req.MaxIdle = onceIdle
	}
	req.Barred = func() error { return r.barredMeanwhile(j, e) }
	x, err := pool.Do(ctx, req, func(h http.Header) bool { return r.opts.Dialect.Belongs(j.Request, h) })
	late := silence.stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	head := r.opts.Dialect.Decode(x.Status, x.Header)
	r.hear(j, head, e)
	if late {
		x.Close()
		cancel(nil)
		return nil, &exchange.Error{Sent: true, Err: errSilent}
	}
	a := &attempt{entry: e, answer: x, head: head, began: now, cancel: func() { cancel(nil) }}
	j.there = true
	r.locked(func() { r.answered(j, head, e) })
	r.ran(j, head)
	return a, nil
}

// answered takes in the head of an answer. The caller holds mu.
func (r *Relay) answered(j *job, h *Head, e upstream.Entry) {
	alive := r.lives(e.ID, e.Born) // else it tells of an earlier life
	if alive && !h.NotRun {
		r.table.Accepted(e.ID)
	}
	if alive && h.Load != nil {
		r.table.Loaded(e.ID, h.Load.Running, h.Load.Waiting, r.opts.Now())
	}
	if h.Status == http.StatusOK && !h.NotRun && j.waits.upstream != "" {
		r.logAttempt(j, h)
		r.begun(j)
	}
}

// ran tells, once, of a workspace's request that an upstream has begun to run: with its first
// token, or where it is answered whole, when it was sent.
func (r *Relay) ran(j *job, h *Head) {
	if h.NotRun || j.counted || j.Workspace == "" || r.opts.Began == nil {
		return
	}
	j.counted = true
	at := j.sentAt
	if isStream(j.Request) {
		at = r.opts.Now()
	}
	r.opts.Began(j.Workspace, at)
}

// close ends an attempt; its connection is kept only when the answer was read
// whole.
func (a *attempt) close() {
	a.answer.Close()
	a.cancel()
}
