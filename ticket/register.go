package ticket

import (
	"errors"
	"time"

	"woaddoor/contract"
)

// Claimant is who wants to run a ticket's request: one attempt of one process.
// The zero Claimant is nobody; a vote for it is a vote that it shall not run.
type Claimant struct {
	VM          contract.VMID        `cbor:"1,keyasint"`
	Incarnation contract.Incarnation `cbor:"2,keyasint"`
	Attempt     contract.RequestID   `cbor:"3,keyasint"`
}

// Nobody is the claimant that never runs anything.
var Nobody = Claimant{}

// Result is what became of a request, as its claimant told the arbiters.
type Result struct {
	Outcome contract.Outcome `cbor:"1,keyasint"`
	Status  int              `cbor:"2,keyasint"`
	Type    string           `cbor:"3,keyasint"`
	// Body is the whole answer, or empty when it was too large to keep.
	Body []byte `cbor:"4,keyasint"`
	// Whole is true when Body is the whole answer.
	Whole bool `cbor:"5,keyasint"`
}

// MaxKept is the largest answer that arbiters keep for a caller's retry.
const MaxKept = 16 * contract.KiB

// Vote is an arbiter's answer: whom it has voted for, and what it knows.
type Vote struct {
	For    Claimant `cbor:"1,keyasint"`
	Result *Result  `cbor:"2,keyasint"`
}

// ErrFull means that an arbiter remembers as many tickets as it may. It has
// not voted.
var ErrFull = errors.New("arbiter remembers as many tickets as it may")

// ErrNotArbiter means that the ticket names another process, or an earlier
// life of this one. It has not voted.
var ErrNotArbiter = errors.New("ticket names another arbiter")

// Register is what one arbiter has voted. It is a pure state machine; its
// owner locks it.
//
// It forgets a ticket only after it has expired by the same clock by which it
// refuses to vote on expired ones. A clock that differs from others' only ends
// a ticket's life earlier or later here; it never lets it be voted on twice.
type Register struct {
	self    Arbiter
	max     int
	votes   map[string]*entry
	expiry  []expiring // in order of insertion
	kept    contract.Bytes
	maxKept contract.Bytes
}

type entry struct {
	vote   Claimant
	result *Result
}

type expiring struct {
	id string
	at int64
}

// defaultMaxKept bounds all answers kept for retries.
const defaultMaxKept = 16 * contract.MiB

// NewRegister returns the register of the arbiter self, which remembers at
// most max tickets.
func NewRegister(self Arbiter, max int) *Register {
	return &Register{self: self, max: max, votes: make(map[string]*entry), maxKept: defaultMaxKept}
}

// Len returns the number of tickets remembered.
func (r *Register) Len() int { return len(r.votes) }

// Vote returns the vote on t, which is for c when it is the first.
//
// A lost answer is harmless: asking again gives the same vote. A question that
// arrives late finds the first vote, or an expired ticket.
func (r *Register) Vote(t Ticket, c Claimant, now time.Time) (Vote, error) {
	r.forget(now)
	if !r.named(t) {
		return Vote{}, ErrNotArbiter
	}
	if e, ok := r.votes[t.ID]; ok {
		return Vote{For: e.vote, Result: e.result}, nil
	}
	if now.Unix() >= t.Expires {
		return Vote{}, ErrExpired
	}
	if len(r.votes) >= r.max {
		return Vote{}, ErrFull
	}
	r.votes[t.ID] = &entry{vote: c}
	r.expiry = append(r.expiry, expiring{t.ID, t.Expires})
	return Vote{For: c}, nil
}

func (r *Register) named(t Ticket) bool {
	for _, a := range t.Arbiters {
		if a.VM == r.self.VM && a.Incarnation == r.self.Incarnation {
			return true
		}
	}
	return false
}

// Settle notes what became of a ticket. Only the claimant that holds the vote
// is heard, and only the first result counts.
func (r *Register) Settle(id string, c Claimant, result Result) {
	e, ok := r.votes[id]
	if !ok || e.vote != c || e.result != nil {
		return
	}
	size := contract.Bytes(len(result.Body))
	if size > MaxKept || r.kept+size > r.maxKept {
		result.Body, result.Whole, size = nil, false, 0
	}
	r.kept += size
	e.result = &result
}

// forget drops expired tickets. Tickets are inserted in about the order of
// their expiry; one out of order is only remembered a little longer.
func (r *Register) forget(now time.Time) {
	n := 0
	for n < len(r.expiry) && now.Unix() >= r.expiry[n].at+int64(graceSeconds) {
		id := r.expiry[n].id
		if e := r.votes[id]; e != nil && e.result != nil {
			r.kept -= contract.Bytes(len(e.result.Body))
		}
		delete(r.votes, id)
		n++
	}
	r.expiry = r.expiry[n:]
}

// graceSeconds is how long after a ticket's end its result can be asked for.
const graceSeconds = 120
