package ticket

import (
	"errors"
	"time"

	"woaddoor/contract"
)

// Claimant identifies who wants to run the request of a ticket: one attempt of one process.
// The zero Claimant is Nobody. A vote for Nobody is a vote against running the request.
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
	// Body is the whole response body. Body is empty if the response body was too large to store.
	Body []byte `cbor:"4,keyasint"`
	// BodyComplete is true if Body is the whole response body.
	BodyComplete bool `cbor:"5,keyasint"`
}

// MaxStoredBody is the largest response body that arbiters store for a retry of the caller.
const MaxStoredBody = 16 * contract.KiB

// Vote is the reply of an arbiter: the claimant that has the arbiter's vote,
// and the result of the request if the arbiter knows the result.
type Vote struct {
	For    Claimant `cbor:"1,keyasint"`
	Result *Result  `cbor:"2,keyasint"`
}

// ErrVoteStoreFull means that an arbiter already stores the maximum number of
// tickets. The arbiter has not voted.
var ErrVoteStoreFull = errors.New("arbiter remembers as many tickets as it may")

// ErrNotArbiter means that the ticket names another process as the arbiter,
// or an earlier incarnation of this process. This process has not voted.
var ErrNotArbiter = errors.New("ticket names another arbiter")

// VoteStore holds the votes of one arbiter (a process that votes on tickets).
// VoteStore is a pure state machine and not safe for concurrent use.
//
// VoteStore drops a ticket only after the ticket has expired, and uses the same clock to refuse
// votes on expired tickets. If this clock deviates from other clocks, a ticket only ends earlier or
// later at this arbiter. This arbiter never votes on a ticket twice.
type VoteStore struct {
	self           Arbiter
	maxTickets     int
	votes          map[string]*voteRecord
	expiry         []expiryEntry // in order of insertion
	storedBytes    contract.Bytes
	maxStoredBytes contract.Bytes
}

// voteRecord is the vote on one ticket,
// with the result of the ticket's request if the result is known.
type voteRecord struct {
	vote   Claimant
	result *Result
}

// expiryEntry is a stored ticket and when it expires, in Unix seconds.
type expiryEntry struct {
	id      string
	expires int64
}

// defaultMaxStoredBytes limits the total size of the response bodies stored for retries.
const defaultMaxStoredBytes = 16 * contract.MiB

// NewVoteStore returns an empty vote store for the arbiter self.
// The store holds at most maxTickets tickets.
func NewVoteStore(self Arbiter, maxTickets int) *VoteStore {
	return &VoteStore{self: self, maxTickets: maxTickets, votes: make(map[string]*voteRecord), maxStoredBytes: defaultMaxStoredBytes}
}

// Len returns the number of stored tickets.
func (s *VoteStore) Len() int { return len(s.votes) }

// Vote returns the vote on ticket t. The first claimant that asks gets the vote.
//
// A lost reply is harmless: another request returns the same vote.
// A request that arrives late gets the vote that was given first, or ErrExpired.
func (s *VoteStore) Vote(t Ticket, c Claimant, now time.Time) (Vote, error) {
	s.dropExpired(now)
	if !s.isArbiterOf(t) {
		return Vote{}, ErrNotArbiter
	}
	if e, ok := s.votes[t.ID]; ok {
		return Vote{For: e.vote, Result: e.result}, nil
	}
	if now.Unix() >= t.Expires {
		return Vote{}, ErrExpired
	}
	if len(s.votes) >= s.maxTickets {
		return Vote{}, ErrVoteStoreFull
	}
	s.votes[t.ID] = &voteRecord{vote: c}
	s.expiry = append(s.expiry, expiryEntry{t.ID, t.Expires})
	return Vote{For: c}, nil
}

// isArbiterOf reports whether t names this process, in its present incarnation, as an arbiter.
func (s *VoteStore) isArbiterOf(t Ticket) bool {
	for _, a := range t.Arbiters {
		if a.VM == s.self.VM && a.Incarnation == s.self.Incarnation {
			return true
		}
	}
	return false
}

// StoreResult stores the result of a ticket's request.
// StoreResult accepts only the first result, and only from the claimant that has the vote.
func (s *VoteStore) StoreResult(id string, c Claimant, result Result) {
	e, ok := s.votes[id]
	if !ok || e.vote != c || e.result != nil {
		return
	}
	size := contract.Bytes(len(result.Body))
	if size > MaxStoredBody || s.storedBytes+size > s.maxStoredBytes {
		result.Body, result.BodyComplete, size = nil, false, 0
	}
	s.storedBytes += size
	e.result = &result
}

// dropExpired removes expired tickets. Tickets are stored in about the order in which they expire.
// A ticket that is out of order only stays a little longer.
func (s *VoteStore) dropExpired(now time.Time) {
	n := 0
	for n < len(s.expiry) && now.Unix() >= s.expiry[n].expires+int64(resultRetentionSeconds) {
		id := s.expiry[n].id
		if e := s.votes[id]; e != nil && e.result != nil {
			s.storedBytes -= contract.Bytes(len(e.result.Body))
		}
		delete(s.votes, id)
		n++
	}
	s.expiry = s.expiry[n:]
}

// resultRetentionSeconds is how long the result of a ticket's request can be retrieved after the
// ticket has expired.
const resultRetentionSeconds = 120
