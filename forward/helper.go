package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/memory"
	"woaddoor/relay"
)

// maxRunning is the largest number of requests that a helper takes on for other VMs. What they make it hold is taken
// from the account of the callers' memory.
const maxRunning = 128

// Helper serves the requests that other VMs pass to this one.
type Helper struct {
	relay    *relay.Relay
	stopping func() bool
	log      *zap.Logger
	// candidates returns the other VMs whose addresses this VM knows.
	candidates func() []Candidate
	// Short, if it is not nil, reports whether this VM is short of what its machine gives it. It then accepts
	// no request of other VMs. Short must be set before the endpoint serves.
	Short func() bool

	// mu guards the fields below.
	mu      sync.Mutex
	running int
	served  int64
}

// NewHelper returns a Helper and registers its handlers with an endpoint.
// The function stopping reports whether this VM accepts no more requests, and candidates returns the
// other VMs whose addresses this VM knows.
func NewHelper(e *link.Endpoint, r *relay.Relay, candidates func() []Candidate, stopping func() bool, log *zap.Logger) *Helper {
	h := &Helper{relay: r, candidates: candidates, stopping: stopping, log: log}
	link.Handle(e, link.KindReach, h.answerReach)
	link.HandleStream(e, link.KindForward, h.serve)
	return h
}

// Counts returns the number of requests that run for other VMs, and that have run so far.
func (h *Helper) Counts() (running int, total int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running, h.served
}

// drainPollInterval is how often Drain checks whether requests still run.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request of another VM runs or ctx ends.
// The caller has made stopping return true before.
func (h *Helper) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		if running, _ := h.Counts(); running == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}

func (h *Helper) answerReach(ctx context.Context, _ string, q ReachQuery) (ReachAnswer, error) {
	running, _ := h.Counts()
	return ReachAnswer{
		Reaches: !h.stopping() && h.relay.Reaches(ctx, q.Service), Running: running, Room: h.relay.HasRoom(q.Service), Holders: h.holders(q.Service),
	}, nil
}

// holders returns the other VMs that hold room of a service, if only a few do.
func (h *Helper) holders(s contract.ServiceID) []Holder {
	ids := h.relay.RoomHolders(s)
	if len(ids) == 0 {
		return nil
	}
	var holders []Holder
	for _, c := range h.candidates() {
		if slices.Contains(ids, c.VM) {
			holders = append(holders, Holder{c.VM, c.Address})
		}
	}
	return holders
}

// admit reserves room for a request, which the holder holds, or returns why it is not accepted.
func (h *Helper) admit(ctx context.Context, o Offer, held *memory.Holder) Reason {
	switch {
	case h.stopping():
		return Stopping
	case !h.relay.Reaches(ctx, o.Service):
		return NoPath
	case h.Short != nil && h.Short(), o.Overflow && !h.relay.HasRoom(o.Service):
		return Full
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running >= maxRunning || !held.Take(messageCopies*max(o.Bytes, 0), time.Now()) {
		return Full
	}
	h.running++
	return ""
}

// messageCopies is how often the body of a request is held while its message is decoded.
const messageCopies = 2

func (h *Helper) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// serve serves one request of another VM.
func (h *Helper) serve(ctx context.Context, peer string, s *link.Stream) {
	var o Offer
	if err := s.Receive(&o, requestTimeout); err != nil {
		return
	}
	held := h.relay.OpenHolder()
	defer held.Close()
	if why := h.admit(ctx, o, held); why != "" {
		_ = s.Send(Admission{Why: why}) // a lost admission is an unanswered offer
		return
	}
	defer h.release()
	if s.Send(Admission{Accepted: true}) != nil {
		return
	}
	var f relay.ForwardedRequest
	if err := s.Receive(&f, requestTimeout); err != nil {
		h.log.Info("forward-not-received", append(logs.ErrorFields(err), zap.String("from", peer))...)
		return
	}
	held.Give((messageCopies - 1) * max(o.Bytes, 0))
	f.Memory = held
	h.mu.Lock()
	h.served++
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := &answerWriter{stream: s, held: held}
	go answer.keepAlive(ctx)
	end, refusal, outcome, sends := h.relay.ServeForwarded(ctx, &f, answer)
	_ = s.Send(Part{End: &End{RequestEnd: end, Refusal: refusal, Outcome: outcome, Sends: sends}}) // without it, the helper counts as lost
}

// answerWriter sends the answer to a request to the VM that passed it on. It implements relay.Caller.
type answerWriter struct {
	stream *link.Stream
	held   *memory.Holder
}

// errNoMemory means that there is no room for the message with an answer.
var errNoMemory = errors.New("no memory for the message with the answer")

// SendResponse sends a complete answer.
func (a *answerWriter) SendResponse(h *relay.ResponseHead, body []byte) error {
	if !a.held.Take(contract.Bytes(len(body)), time.Now()) {
		return errNoMemory
	}
	return a.stream.Send(Part{Head: newHead(h), Whole: true, Body: body})
}

// BeginStream sends the head of a stream.
func (a *answerWriter) BeginStream(h *relay.ResponseHead) error {
	return a.stream.Send(Part{Head: newHead(h)})
}

// SendEvents sends complete events.
func (a *answerWriter) SendEvents(events []byte) error { return a.stream.Send(Part{Events: events}) }

// EndStream does nothing: the last part ends the stream.
func (a *answerWriter) EndStream() error { return nil }

// keepAlive sends empty parts until ctx ends.
func (a *answerWriter) keepAlive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(keepAliveInterval):
		}
		if a.stream.Send(Part{}) != nil {
			return
		}
	}
}

func newHead(h *relay.ResponseHead) *Head {
	return &Head{Status: h.Status, Header: h.Header, Confidence: h.Confidence, WeightsVersion: h.WeightsVersion}
}
