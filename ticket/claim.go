package ticket

import "woaddoor/contract"

// ClaimState is the state of a claim (an attempt to win the right to run a ticket's request).
type ClaimState uint8

// States of a claim.
const (
	// Pending means that some arbiters have not voted on the claim yet.
	Pending ClaimState = iota
	// Won means that the claimant may run the request, once.
	Won
	// Lost means that the claimant may not run the request.
	// Claim.Outcome returns what is known about that request.
	Lost
)

// Claim counts the votes for one claimant. A Claim is a pure state machine:
// the caller sends the vote requests and passes in the replies.
type Claim struct {
	ticket      Ticket
	claimant    Claimant
	answered    map[contract.VMID]bool
	votes       map[Claimant]int
	outstanding int
	result      *Result
}

// NewClaim returns a claim of claimant c on ticket t.
// With Nobody as the claimant, the claim tries to prove that the request of t did not run.
func NewClaim(t Ticket, c Claimant) *Claim {
	return &Claim{
		ticket: t, claimant: c, outstanding: len(t.Arbiters),
		answered: make(map[contract.VMID]bool), votes: make(map[Claimant]int),
	}
}

// AddVote records the vote of an arbiter. A second vote of the same arbiter is a
// duplicate and is not counted.
func (c *Claim) AddVote(arbiter contract.VMID, v Vote) {
	if c.answered[arbiter] {
		return
	}
	c.answered[arbiter] = true
	c.outstanding--
	c.votes[v.For]++
	if v.Result != nil {
		c.result = v.Result
	}
}

// NoReply records that an arbiter will not reply. The arbiter may have voted nevertheless,
// so NoReply counts neither for nor against the claim.
func (c *Claim) NoReply(arbiter contract.VMID) {
	if c.answered[arbiter] {
		return
	}
	c.answered[arbiter] = true
	c.outstanding--
}

// State returns the state of the claim.
func (c *Claim) State() ClaimState {
	if c.claimant != Nobody && c.votes[c.claimant] >= c.ticket.Quorum() {
		return Won
	}
	if c.outstanding == 0 {
		return Lost
	}
	if c.claimant != Nobody && c.votes[c.claimant]+c.outstanding < c.ticket.Quorum() {
		return Lost
	}
	return Pending
}

// Result returns the result of the request if an arbiter knows it, or nil.
func (c *Claim) Result() *Result { return c.result }

// Outcome returns what a lost claim knows about whether the request ran.
//
// NotRun requires proof: so many votes for Nobody that no claimant can ever have a majority.
// Without a result and without this proof, the outcome is Unknown, even if only one arbiter did not
// reply.
func (c *Claim) Outcome() contract.Outcome {
	if c.result != nil {
		return c.result.Outcome
	}
	if c.votes[Nobody] >= c.ticket.BlockingQuorum() {
		return contract.OutcomeNotRun
	}
	return contract.OutcomeUnknown
}
