package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/protocol"
	"woaddoor/ticket"
	"woaddoor/vm"
)

// voteTimeout bounds a question to an arbiter: within a data centre an answer
// takes a millisecond.
const voteTimeout = time.Second

// claim is a ticket that this process won, to be settled with its result.
type claim struct {
	ticket   ticket.Ticket
	claimant ticket.Claimant
	settled  bool
}

// ticketAnswer is the answer to a request for a ticket.
type ticketAnswer struct {
	Ticket  string `json:"ticket"`
	Expires int64  `json:"expires"` // Unix seconds
}

// issueTicket gives the caller a ticket.
func (s *Server) issueTicket(_ context.Context, w http.ResponseWriter, _ *http.Request, req *request) *contract.Refusal {
	text, err := s.newTicket(req)
	if err != nil {
		return refusal(contract.RefusedTicket, contract.NotRun, contract.StepClaim, "the ticket could not be made")
	}
	w.Header().Set(HeaderTicket, text)
	return s.writeJSON(w, ticketAnswer{Ticket: text, Expires: s.clock.Now().Add(ticket.Lifetime).Unix()})
}

func (s *Server) newTicket(req *request) (string, error) {
	return s.tickets.Issue(ticket.Ticket{
		ID: ulid.Make().String(), Workspace: req.workspace.ID,
		Home: s.opts.Settings.DataCentre, Arbiters: s.arbiters(),
	}, s.clock.Now())
}

// arbiters returns this process and up to two others of its data centre. They
// are all near, so that a data centre that is cut off still claims its own.
func (s *Server) arbiters() []ticket.Arbiter {
	chosen := []ticket.Arbiter{s.arbiter}
	ranked := vm.Rank(s.view.Load().members, s.opts.Settings.DataCentre, ulid.Make().String())
	for _, m := range ranked {
		if len(chosen) == ticket.MaxArbiters {
			break
		}
		if m.VM == s.arbiter.VM || m.EntryIncarnation == 0 || m.Leaving {
			continue
		}
		chosen = append(chosen, ticket.Arbiter{VM: m.VM, Incarnation: m.EntryIncarnation, Link: m.EntryLink})
	}
	return chosen
}

// claimTicket claims the ticket of a request that may not be repeated. It
// returns nil and no refusal when the request ran before and its kept answer
// was given to the caller again.
func (s *Server) claimTicket(ctx context.Context, w http.ResponseWriter, req *request) (*claim, *contract.Refusal) {
	t, refused := s.readTicket(w, req)
	if refused != nil {
		return nil, refused
	}
	me := ticket.Claimant{VM: s.origin.VM, Incarnation: s.incarnation, Attempt: req.id}
	c := s.vote(ctx, t, me)
	if c.State() == ticket.Won {
		return &claim{ticket: t, claimant: me}, nil
	}
	if result := c.Result(); result != nil {
		return nil, s.replay(w, req, result)
	}
	// Not won, and nobody says how it ended: try to prove that it never ran.
	// The proof asks the arbiters that have not voted to vote for nobody.
	proof := s.vote(ctx, t, ticket.Nobody)
	if proof.Outcome() == contract.NotRun {
		return nil, refusal(contract.RefusedArbiters, contract.NotRun, contract.StepClaim, "too few arbiters of the ticket answer; it did not run and never will: take a new ticket")
	}
	f := refusal(contract.RefusedClaimed, contract.Unknown, contract.StepClaim, "another attempt holds the ticket, or its arbiters are gone; what became of it is not known here")
	return nil, f.WithRetryAfter(claimRetry)
}

// claimRetry is when a caller may ask again what became of its request.
const claimRetry = 2 * time.Second

func (s *Server) readTicket(w http.ResponseWriter, req *request) (ticket.Ticket, *contract.Refusal) {
	if req.ticket == "" {
		if text, err := s.newTicket(req); err == nil {
			w.Header().Set(HeaderTicket, text)
		}
		return ticket.Ticket{}, refusal(contract.RefusedTicketNeeded, contract.NotRun, contract.StepClaim,
			"a request that may not be repeated needs a ticket: send it again with the "+HeaderTicket+" header of this answer, the same one at each try")
	}
	t, err := s.tickets.Open(req.ticket, req.workspace.ID)
	if err != nil {
		return t, refusal(contract.RefusedTicket, contract.NotRun, contract.StepClaim, "the ticket was not made for this workspace")
	}
	return t, nil
}

// voted is what one arbiter answered.
type voted struct {
	arbiter contract.VMID
	vote    ticket.Vote
	err     error
}

// vote asks all arbiters and returns the claim once it is decided.
func (s *Server) vote(ctx context.Context, t ticket.Ticket, me ticket.Claimant) *ticket.Claim {
	c := ticket.NewClaim(t, me)
	answers := make(chan voted, len(t.Arbiters))
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	for _, a := range t.Arbiters {
		go func() {
			v, err := s.ask(ctx, a, t, me)
			answers <- voted{a.VM, v, err}
		}()
	}
	for range t.Arbiters {
		got := <-answers
		if got.err != nil {
			s.log.Warn("vote-failed", logs.Failure(got.err)...)
			c.Silent(got.arbiter)
		} else {
			c.Voted(got.arbiter, got.vote)
		}
		// A won claim runs at once. A lost one waits for all: a late answer
		// may know the result.
		if c.State() == ticket.Won {
			return c
		}
	}
	return c
}

func (s *Server) ask(ctx context.Context, a ticket.Arbiter, t ticket.Ticket, me ticket.Claimant) (ticket.Vote, error) {
	if a.VM == s.arbiter.VM && a.Incarnation == s.incarnation {
		return s.voteHere(t, me)
	}
	return link.Call[protocol.VoteRequest, ticket.Vote](ctx, s.endpoint, a.Link, link.KindVote, protocol.VoteRequest{Ticket: t, Claimant: me})
}

func (s *Server) voteHere(t ticket.Ticket, me ticket.Claimant) (v ticket.Vote, err error) {
	s.locked(func() { v, err = s.register.Vote(t, me, s.clock.Now()) })
	return v, err
}

// replay answers with what a former attempt has left.
func (s *Server) replay(w http.ResponseWriter, req *request, result *ticket.Result) *contract.Refusal {
	if result.Outcome == contract.NotRun {
		return refusal(contract.RefusedClaimed, contract.NotRun, contract.StepClaim, "the attempt that held the ticket did not run: take a new ticket")
	}
	if !result.Whole {
		return refusal(contract.RefusedClaimed, result.Outcome, contract.StepClaim, "the request was answered before; its answer is not kept")
	}
	w.Header().Set(HeaderReplayed, "yes")
	w.Header().Set("Content-Type", result.Type)
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
	return nil
}

// keepResult tells the arbiters that a claimed request was answered whole,
// before the answer goes to the caller: a caller that loses it finds it again.
func (s *Server) keepResult(ctx context.Context, c *claim, status int, kind string, body []byte) {
	if c == nil {
		return
	}
	s.tellArbiters(ctx, c, ticket.Result{Outcome: contract.Ran, Status: status, Type: kind, Body: body, Whole: body != nil})
}

// settle tells the arbiters how a claimed request ended that was refused.
func (s *Server) settle(c *claim, refused *contract.Refusal) {
	if refused == nil || c.settled {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	s.tellArbiters(ctx, c, ticket.Result{Outcome: refused.Outcome})
}

func (s *Server) tellArbiters(ctx context.Context, c *claim, result ticket.Result) {
	c.settled = true
	if contract.Bytes(len(result.Body)) > ticket.MaxKept {
		result.Body, result.Whole = nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	told := make(chan error, len(c.ticket.Arbiters))
	for _, a := range c.ticket.Arbiters {
		go func() { told <- s.tellArbiter(ctx, a, c, result) }()
	}
	for range c.ticket.Arbiters {
		if err := <-told; err != nil {
			s.log.Warn("settle-failed", logs.Failure(err)...)
		}
	}
}

func (s *Server) tellArbiter(ctx context.Context, a ticket.Arbiter, c *claim, result ticket.Result) error {
	if a.VM == s.arbiter.VM && a.Incarnation == s.incarnation {
		s.locked(func() { s.register.Settle(c.ticket.ID, c.claimant, result) })
		return nil
	}
	req := protocol.SettleRequest{TicketID: c.ticket.ID, Claimant: c.claimant, Result: result}
	_, err := link.Call[protocol.SettleRequest, protocol.Done](ctx, s.endpoint, a.Link, link.KindSettled, req)
	return err
}

func (s *Server) writeJSON(w http.ResponseWriter, v any) *contract.Refusal {
	w.Header().Set("Content-Type", jsonType)
	if err := json.NewEncoder(w).Encode(v); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Info("caller-gone", logs.Failure(err)...)
	}
	return nil
}
