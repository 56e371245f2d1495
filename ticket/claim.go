package ticket

import "woaddoor/contract"

// State is where a claim stands.
type State uint8

// The states of a claim.
const (
	// Asking means that votes are missing.
	Asking State = iota
	// Won means that the claimant may run the request, once.
	Won
	// Lost means that it may not; see Claim.Refusal for what is known.
	Lost
)

// Claim counts the votes for one claimant. It is a pure state machine: the
// owner sends the questions and feeds in what comes back.
type Claim struct {
	ticket   Ticket
	claimant Claimant
	answered map[contract.VMID]bool
	votes    map[Claimant]int
	missing  int
	result   *Result
}

// NewClaim returns the claim of c on t. With Nobody as claimant it asks for a
// proof that t did not run.
func NewClaim(t Ticket, c Claimant) *Claim {
	return &Claim{
		ticket: t, claimant: c, missing: len(t.Arbiters),
		answered: make(map[contract.VMID]bool), votes: make(map[Claimant]int),
	}
}

// Voted takes in an arbiter's vote. A second one of the same arbiter is the
// same vote, come twice, and is not counted.
func (c *Claim) Voted(arbiter contract.VMID, v Vote) {
	if c.answered[arbiter] {
		return
	}
	c.answered[arbiter] = true
	c.missing--
	c.votes[v.For]++
	if v.Result != nil {
		c.result = v.Result
	}
}

// Silent takes in that an arbiter will not answer. It may still have voted, so
// it counts neither for nor against.
func (c *Claim) Silent(arbiter contract.VMID) {
	if c.answered[arbiter] {
		return
	}
	c.answered[arbiter] = true
	c.missing--
}

// State returns where the claim stands.
func (c *Claim) State() State {
	if c.claimant != Nobody && c.votes[c.claimant] >= c.ticket.Quorum() {
		return Won
	}
	if c.missing == 0 {
		return Lost
	}
	if c.claimant != Nobody && c.votes[c.claimant]+c.missing < c.ticket.Quorum() {
		return Lost
	}
	return Asking
}

// Result returns what the arbiters know of the request's end, or nil.
func (c *Claim) Result() *Result { return c.result }

// Outcome returns what a lost claim knows about whether the request ran.
//
// NotRun needs its proof: so many votes for nobody that no claimant can ever
// have a majority. Everything else that is not settled is Unknown, be it only
// that an arbiter is silent.
func (c *Claim) Outcome() contract.Outcome {
	if c.result != nil {
		return c.result.Outcome
	}
	if c.votes[Nobody] >= c.ticket.Blocking() {
		return contract.NotRun
	}
	return contract.Unknown
}
