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

// voteTimeout bounds a call to an arbiter. Within a data centre, an answer takes about a millisecond.
const voteTimeout = time.Second

// claim is a ticket (permission to run a request at most once) that this process has won.
// The claim has to be settled with the result of the request.
type claim struct {
	ticket   ticket.Ticket
	claimant ticket.Claimant
	settled  bool
}

// ticketResponse is the response body of POST /v1/tickets.
type ticketResponse struct {
	Ticket  string `json:"ticket"`
	Expires int64  `json:"expires"` // Unix seconds
}

// handleNewTicket serves POST /v1/tickets: it issues a ticket for a non-repeatable request.
func (s *Server) handleNewTicket(_ context.Context, w http.ResponseWriter, _ *http.Request, req *request) *contract.Refusal {
	text, err := s.newTicket(req)
	if err != nil {
		return newRefusal(contract.RefusedInvalidTicket, contract.OutcomeNotRun, contract.StepClaim, "the ticket could not be made")
	}
	w.Header().Set(HeaderTicket, text)
	return s.writeJSON(w, ticketResponse{Ticket: text, Expires: s.clock.Now().Add(ticket.Lifetime).Unix()})
}

// newTicket issues a signed ticket for the request's workspace.
func (s *Server) newTicket(req *request) (string, error) {
	return s.ticketTokens.Issue(ticket.Ticket{
		ID: ulid.Make().String(), Workspace: req.workspace.ID,
		HomeDataCentre: s.opts.Settings.DataCentre, Arbiters: s.arbiters(),
	}, s.clock.Now())
}

// arbiters returns the entry processes that vote on a new ticket:
// this process and up to two others.
// All arbiters are in this VM's data centre, so that tickets can still be claimed while other
// data centres cannot be reached.
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
		chosen = append(chosen, ticket.Arbiter{VM: m.VM, Incarnation: m.EntryIncarnation, Address: m.EntryAddress})
	}
	return chosen
}

// claimTicket claims the ticket of a request that must not run twice.
// If the request has already run and its stored answer was sent to the caller again,
// claimTicket returns a nil claim and no refusal.
func (s *Server) claimTicket(ctx context.Context, w http.ResponseWriter, req *request) (*claim, *contract.Refusal) {
	t, refused := s.readTicket(w, req)
	if refused != nil {
		return nil, refused
	}
	claimant := ticket.Claimant{VM: s.origin.VM, Incarnation: s.incarnation, Attempt: req.id}
	c := s.collectVotes(ctx, t, claimant)
	if c.State() == ticket.Won {
		return &claim{ticket: t, claimant: claimant}, nil
	}
	if result := c.Result(); result != nil {
		return nil, s.replayResult(w, req, result)
	}
	// The ticket was not won and no arbiter (voter on the ticket) knows a result.
	// Try to prove that the request never ran: ask the arbiters that have not voted yet to vote for
	// no claimant, so that nobody can win the ticket later.
	proof := s.collectVotes(ctx, t, ticket.Nobody)
	if proof.Outcome() == contract.OutcomeNotRun {
		return nil, newRefusal(contract.RefusedArbitersUnreachable, contract.OutcomeNotRun, contract.StepClaim, "too few arbiters of the ticket answer; it did not run and never will: take a new ticket")
	}
	r := newRefusal(contract.RefusedTicketClaimed, contract.OutcomeUnknown, contract.StepClaim, "another attempt holds the ticket, or its arbiters are gone; what became of it is not known here")
	return nil, r.WithRetryAfter(claimRetryAfter)
}

// claimRetryAfter is the Retry-After sent when the outcome of a claimed request is not known yet.
const claimRetryAfter = 2 * time.Second

// readTicket verifies the ticket of a request. If the request has no ticket, readTicket refuses the
// request and offers a ticket.
func (s *Server) readTicket(w http.ResponseWriter, req *request) (ticket.Ticket, *contract.Refusal) {
	if req.ticket == "" {
		if text, err := s.newTicket(req); err == nil {
			w.Header().Set(HeaderTicket, text)
		}
		return ticket.Ticket{}, newRefusal(contract.RefusedTicketNeeded, contract.OutcomeNotRun, contract.StepClaim,
			"a request that may not be repeated needs a ticket: send it again with the "+HeaderTicket+" header of this answer, the same one at each try")
	}
	t, err := s.ticketTokens.Open(req.ticket, req.workspace.ID)
	if err != nil {
		return t, newRefusal(contract.RefusedInvalidTicket, contract.OutcomeNotRun, contract.StepClaim, "the ticket was not made for this workspace")
	}
	return t, nil
}

// voteResult is the answer of one arbiter (a voter on a ticket),
// or the error of the call to the arbiter.
type voteResult struct {
	arbiter contract.VMID
	vote    ticket.Vote
	err     error
}

// collectVotes asks all arbiters for their vote on a ticket and returns the claim with the votes.
// collectVotes returns as soon as the claim is won, and otherwise when all arbiters
// have answered or failed.
func (s *Server) collectVotes(ctx context.Context, t ticket.Ticket, claimant ticket.Claimant) *ticket.Claim {
	c := ticket.NewClaim(t, claimant)
	answers := make(chan voteResult, len(t.Arbiters))
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	for _, a := range t.Arbiters {
		go func() {
			v, err := s.requestVote(ctx, a, t, claimant)
			answers <- voteResult{a.VM, v, err}
		}()
	}
	for range t.Arbiters {
		result := <-answers
		if result.err != nil {
			s.log.Warn("vote-failed", logs.ErrorFields(result.err)...)
			c.NoReply(result.arbiter)
		} else {
			c.AddVote(result.arbiter, result.vote)
		}
		// A won claim need not wait for the other votes. Without a win, wait for all arbiters, because a
		// later answer may contain the result of the request.
		if c.State() == ticket.Won {
			return c
		}
	}
	return c
}

// requestVote asks one arbiter for its vote on a ticket. If the arbiter is this process,
// requestVote votes without a call.
func (s *Server) requestVote(ctx context.Context, a ticket.Arbiter, t ticket.Ticket, claimant ticket.Claimant) (ticket.Vote, error) {
	if a.VM == s.arbiter.VM && a.Incarnation == s.incarnation {
		return s.voteLocally(t, claimant)
	}
	return link.Call[protocol.VoteRequest, ticket.Vote](ctx, s.endpoint, a.Address, link.KindTicketVote, protocol.VoteRequest{Ticket: t, Claimant: claimant})
}

// voteLocally returns this process's own vote on a ticket.
func (s *Server) voteLocally(t ticket.Ticket, claimant ticket.Claimant) (v ticket.Vote, err error) {
	s.locked(func() { v, err = s.voteStore.Vote(t, claimant, s.clock.Now()) })
	return v, err
}

// replayResult answers a request with the stored result of an earlier attempt.
func (s *Server) replayResult(w http.ResponseWriter, req *request, result *ticket.Result) *contract.Refusal {
	if result.Outcome == contract.OutcomeNotRun {
		return newRefusal(contract.RefusedTicketClaimed, contract.OutcomeNotRun, contract.StepClaim, "the attempt that held the ticket did not run: take a new ticket")
	}
	if !result.BodyComplete {
		return newRefusal(contract.RefusedTicketClaimed, result.Outcome, contract.StepClaim, "the request was answered before; its answer is not kept")
	}
	w.Header().Set(HeaderReplayed, "yes")
	w.Header().Set("Content-Type", result.ContentType)
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
	return nil
}

// saveResult stores the complete answer of a claimed request at the arbiters before it is sent to the caller.
// A caller that loses the answer gets it again when it repeats the request.
func (s *Server) saveResult(ctx context.Context, c *claim, status int, contentType string, body []byte) {
	if c == nil {
		return
	}
	s.settleAtArbiters(ctx, c, ticket.Result{Outcome: contract.OutcomeRan, Status: status, ContentType: contentType, Body: body, BodyComplete: body != nil})
}

// settleRefused reports the outcome of a refused request to the arbiters of its ticket,
// unless the request's claim is settled.
func (s *Server) settleRefused(c *claim, refused *contract.Refusal) {
	if refused == nil || c.settled {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	s.settleAtArbiters(ctx, c, ticket.Result{Outcome: refused.Outcome})
}

// settleAtArbiters sends the result of a claimed request to all arbiters of its ticket. A body larger than
// ticket.MaxStoredBody is left out.
func (s *Server) settleAtArbiters(ctx context.Context, c *claim, result ticket.Result) {
	c.settled = true
	if contract.Bytes(len(result.Body)) > ticket.MaxStoredBody {
		result.Body, result.BodyComplete = nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	results := make(chan error, len(c.ticket.Arbiters))
	for _, a := range c.ticket.Arbiters {
		go func() { results <- s.settleAtArbiter(ctx, a, c, result) }()
	}
	for range c.ticket.Arbiters {
		if err := <-results; err != nil {
			s.log.Warn("settle-failed", logs.ErrorFields(err)...)
		}
	}
}

// settleAtArbiter sends the result of a claimed request to one arbiter, which may be this process.
func (s *Server) settleAtArbiter(ctx context.Context, a ticket.Arbiter, c *claim, result ticket.Result) error {
	if a.VM == s.arbiter.VM && a.Incarnation == s.incarnation {
		s.locked(func() { s.voteStore.StoreResult(c.ticket.ID, c.claimant, result) })
		return nil
	}
	req := protocol.SettleRequest{TicketID: c.ticket.ID, Claimant: c.claimant, Result: result}
	_, err := link.Call[protocol.SettleRequest, protocol.Ack](ctx, s.endpoint, a.Address, link.KindTicketSettled, req)
	return err
}

// writeJSON sends v as a JSON response.
// writeJSON always returns nil, so that handlers can return its result.
func (s *Server) writeJSON(w http.ResponseWriter, v any) *contract.Refusal {
	w.Header().Set("Content-Type", contentTypeJSON)
	if err := json.NewEncoder(w).Encode(v); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Info("caller-gone", logs.ErrorFields(err)...)
	}
	return nil
}
