package forward

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/relay"
)

// Client passes requests of this VM to helpers. It implements relay.Forwarder.
type Client struct {
	endpoint *link.Endpoint
	log      *zap.Logger
	helpers  *directory
}

// ClientOptions configure a Client.
type ClientOptions struct {
	Endpoint *link.Endpoint
	// Candidates returns the other VMs that may be asked, nearest first.
	Candidates func() []Candidate
	Log        *zap.Logger
	Now        func() time.Time
}

// NewClient returns a Client that knows no helper yet.
func NewClient(opts *ClientOptions) *Client {
	c := &Client{endpoint: opts.Endpoint, log: opts.Log}
	c.helpers = newDirectory(opts, c.ask)
	return c
}

// Elsewhere returns whether other VMs reach a service, as far as they have answered.
func (c *Client) Elsewhere(s contract.ServiceID) relay.Reach { return c.helpers.reach(s) }

// Ask asks other VMs whether they reach a service, unless they were asked a moment ago.
func (c *Client) Ask(ctx context.Context, s contract.ServiceID) { c.helpers.refresh(ctx, s) }

// ask asks one VM whether it reaches a service.
func (c *Client) ask(ctx context.Context, address string, s contract.ServiceID) (ReachAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return link.Call[ReachQuery, ReachAnswer](ctx, c.endpoint, address, link.KindReach, ReachQuery{Service: s})
}

// maxOffers limits how many VMs are offered a request.
const maxOffers = 4

// maxFullOffers is how many VMs are offered a request even if all had no room a moment ago.
const maxFullOffers = 2

// Forward passes a request to the nearest helper that accepts it.
func (c *Client) Forward(ctx context.Context, f *relay.ForwardedRequest, allowed func(contract.DataCentreID) bool, to relay.AnswerReceiver) relay.ForwardResult {
	c.helpers.suggest(f.Service, f.Holders)
	if !f.Overflow {
		c.helpers.refresh(ctx, f.Service)
	}
	for offers := range maxOffers {
		h, ok := c.helpers.pick(f.Service, f.Overflow, allowed)
		if !ok && f.Overflow { // the answers to a question may need connections to upstreams that have no room
			c.helpers.refresh(ctx, f.Service)
			h, ok = c.helpers.pick(f.Service, f.Overflow, allowed)
		}
		if !ok && f.Overflow && offers < maxFullOffers {
			h, ok = c.helpers.pickFull(f.Service, allowed)
		}
		if !ok || ctx.Err() != nil {
			break
		}
		s, why := c.offer(ctx, h, f)
		if s == nil {
			c.helpers.drop(f.Service, h.VM, why)
			c.log.Info("offer-declined", zap.String("request", string(f.ID)), zap.String("by", string(h.VM)), zap.String("why", string(why)))
			continue
		}
		result, helperFailed := c.exchange(s, f, to)
		s.Cancel()
		if f.Overflow && foundNoRoom(result) {
			c.helpers.drop(f.Service, h.VM, Full)
			continue
		}
		c.helpers.done(f.Service, h.VM, !helperFailed || ctx.Err() != nil)
		result.VM = h.VM
		return result
	}
	return relay.ForwardResult{End: relay.ForwardNotTaken}
}

// foundNoRoom reports whether a helper that had room when it accepted a request had none left when the
// request arrived. The request has not run.
func foundNoRoom(result relay.ForwardResult) bool {
	return result.End == relay.ForwardEnded && result.RequestEnd == relay.Refused && result.Sends == 0 &&
		result.Outcome == contract.OutcomeNotRun && result.Refusal != nil && result.Refusal.Kind == contract.RefusedNoUpstream
}

// offer offers a request to a helper. It returns the stream on which the request is sent
// if the helper has accepted, or else the reason.
func (c *Client) offer(ctx context.Context, h Candidate, f *relay.ForwardedRequest) (*link.Stream, Reason) {
	began := time.Now()
	s, err := link.OpenStream(ctx, c.endpoint, h.Address, link.KindForward, admissionTimeout)
	if err != nil {
		return nil, Reason(err.Error())
	}
	var a Admission
	if err = s.Send(Offer{Service: f.Service, Bytes: contract.Bytes(len(f.Body)), Overflow: f.Overflow}); err == nil {
		err = s.Receive(&a, admissionTimeout)
	}
	if err != nil {
		s.Cancel()
		s.DropIfSilent(began)
		return nil, Reason(err.Error())
	}
	if !a.Accepted {
		s.Cancel()
		return nil, a.Why
	}
	return s, ""
}

// errAbandoned means that a helper has abandoned a request although its caller waits.
var errAbandoned = errors.New("the other VM has abandoned the request")

// exchange sends an accepted request to its helper and delivers the answer.
// It reports whether the helper has failed.
func (c *Client) exchange(s *link.Stream, f *relay.ForwardedRequest, to relay.AnswerReceiver) (result relay.ForwardResult, helperFailed bool) {
	copied := contract.Bytes(len(f.Body)) // encoded for the message
	if !f.Memory.Take(copied, time.Now()) {
		return relay.ForwardResult{End: relay.ForwardNotTaken}, false
	}
	err := s.Send(f)
	f.Memory.Give(copied)
	if err != nil {
		return relay.ForwardResult{End: relay.ForwardLost, Err: err}, true
	}
	for {
		var p Part
		began := time.Now()
		if err := s.Receive(&p, helperTimeout); err != nil {
			s.DropIfSilent(began)
			return relay.ForwardResult{End: relay.ForwardLost, Err: err}, true
		}
		if p.End != nil && p.End.RequestEnd == relay.CallerGone { // the helper stops, or has lost this stream
			return relay.ForwardResult{End: relay.ForwardLost, Err: errAbandoned}, true
		}
		if p.End != nil {
			return relay.ForwardResult{End: relay.ForwardEnded, RequestEnd: p.End.RequestEnd, Refusal: p.End.Refusal, Outcome: p.End.Outcome, Sends: p.End.Sends}, false
		}
		if err := deliver(&p, to); err != nil {
			return relay.ForwardResult{End: relay.ForwardLost, Err: err}, false
		}
	}
}

// deliver passes a part of an answer to its receiver.
func deliver(p *Part, to relay.AnswerReceiver) error {
	switch {
	case p.Head != nil && p.Whole:
		return to.ReceiveAnswer(p.Head.responseHead(), p.Body)
	case p.Head != nil:
		return to.ReceiveHead(p.Head.responseHead())
	case len(p.Events) > 0:
		return to.ReceiveEvents(p.Events)
	}
	return nil
}

func (h *Head) responseHead() *relay.ResponseHead {
	return &relay.ResponseHead{Status: h.Status, Header: h.Header, Signed: true, Confidence: h.Confidence, WeightsVersion: h.WeightsVersion}
}
