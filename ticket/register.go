package ticket

import (
	"errors"
	"time"

	"woaddoor/contract"
)

// Claimant identifies who wants to run the request of a ticket: one attempt of one
// process. The zero Claimant is Nobody; a vote for it is a vote against running the
// request.
type Claimant struct {
	VM          contract.VMID        `cbor:"1,keyasint"`
	Incarnation contract.Incarnation `cbor:"2,keyasint"`
	Attempt     contract.RequestID   `cbor:"3,keyasint"`
}

// Nobody is the claimant that never runs a request.
var Nobody = Claimant{}

// Result is the result of a request, as its claimant reported it to the arbiters.
type Result struct {
	Outcome     contract.Outcome `cbor:"1,keyasint"`
	Status      int              `cbor:"2,keyasint"`
	ContentType string           `cbor:"3,keyasint"`
	// Body is the whole response body, or empty if it was too large to store.
	Body []byte `cbor:"4,keyasint"`
	// BodyComplete is true if Body is the whole response body.
	BodyComplete bool `cbor:"5,keyasint"`
}

// MaxStoredBody is the largest response body that arbiters store for a retry of the
// caller.
const MaxStoredBody = 16 * contract.KiB

// Vote is the reply of an arbiter: the claimant that has its vote, and the result
// of the request if it is known.
type Vote struct {
	For    Claimant `cbor:"1,keyasint"`
	Result *Result  `cbor:"2,keyasint"`
}

// ErrRegisterFull means that an arbiter already stores the maximum number of
// tickets. It has not voted.
var ErrRegisterFull = errors.New("arbiter already stores the maximum number of tickets")

// ErrNotArbiter means that the ticket names another process, or an earlier
// incarnation of this one. This process has not voted.
var ErrNotArbiter = errors.New("ticket does not name this process as an arbiter")

// VoteStore holds the votes of one arbiter. It is a pure state machine and not safe
// for concurrent use.
//
// It drops a ticket only after the ticket has expired, and it uses the same clock
// to refuse votes on expired tickets. If the clock deviates from others, a ticket
// only ends earlier or later here; this arbiter never votes on it twice.
type VoteStore struct {
	self           Arbiter
	maxTickets     int
	votes          map[string]*voteRecord
	expiry         []expiryEntry // in order of insertion
	storedBytes    contract.Bytes
	maxStoredBytes contract.Bytes
}

// voteRecord is the vote on one ticket, with the result of its request if that is
// known.
type voteRecord struct {
	vote   Claimant
	result *Result
}

// expiryEntry is a stored ticket and when it expires, in Unix seconds.
type expiryEntry struct {
	id      string
	expires int64
}

// defaultMaxStoredBytes limits the total size of the response bodies stored for
// retries.
const defaultMaxStoredBytes = 16 * contract.MiB

// NewVoteStore returns an empty register for the arbiter self, which stores at most
// maxTickets tickets.
func NewVoteStore(self Arbiter, maxTickets int) *VoteStore {
	return &VoteStore{self: self, maxTickets: maxTickets, votes: make(map[string]*voteRecord), maxStoredBytes: defaultMaxStoredBytes}
}

// Len returns the number of stored tickets.
func (r *VoteStore) Len() int { return len(r.votes) }

// Vote returns the vote on t. The first claimant that asks gets the vote.
//
// A lost reply is harmless: another request returns the same vote. A request that
// arrives late gets the first vote, or ErrExpired.
func (r *VoteStore) Vote(t Ticket, c Claimant, now time.Time) (Vote, error) {
	r.dropExpired(now)
	if !r.isArbiterOf(t) {
		return Vote{}, ErrNotArbiter
	}
	if e, ok := r.votes[t.ID]; ok {
		return Vote{For: e.vote, Result: e.result}, nil
	}
	if now.Unix() >= t.Expires {
		return Vote{}, ErrExpired
	}
	if len(r.votes) >= r.maxTickets {
		return Vote{}, ErrRegisterFull
	}
	r.votes[t.ID] = &voteRecord{vote: c}
	r.expiry = append(r.expiry, expiryEntry{t.ID, t.Expires})
	return Vote{For: c}, nil
}

// isArbiterOf reports whether t names this process, in its present incarnation, as
// an arbiter.
func (r *VoteStore) isArbiterOf(t Ticket) bool {
	for _, a := range t.Arbiters {
		if a.VM == r.self.VM && a.Incarnation == r.self.Incarnation {
			return true
		}
	}
	return false
}

// StoreResult stores the result of a ticket's request. It accepts only the first result,
// and only from the claimant that has the vote.
func (r *VoteStore) StoreResult(id string, c Claimant, result Result) {
	e, ok := r.votes[id]
	if !ok || e.vote != c || e.result != nil {
		return
	}
	size := contract.Bytes(len(result.Body))
	if size > MaxStoredBody || r.storedBytes+size > r.maxStoredBytes {
		result.Body, result.BodyComplete, size = nil, false, 0
	}
	r.storedBytes += size
	e.result = &result
}

// dropExpired removes expired tickets. Tickets are stored in about the order in
// which they expire; one that is out of order only stays a little longer.
func (r *VoteStore) dropExpired(now time.Time) {
	n := 0
	for n < len(r.expiry) && now.Unix() >= r.expiry[n].expires+int64(resultRetentionSeconds) {
		id := r.expiry[n].id
		if e := r.votes[id]; e != nil && e.result != nil {
			r.storedBytes -= contract.Bytes(len(e.result.Body))
		}
		delete(r.votes, id)
		n++
	}
	r.expiry = r.expiry[n:]
}

// resultRetentionSeconds is how long after its expiry the result of a ticket can be
// requested.
const resultRetentionSeconds = 120
