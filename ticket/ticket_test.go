package ticket

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/sign"
)

var start = time.Unix(1_000_000, 0)

// arbiters returns n arbiters in their first incarnation.
func arbiters(n int) []Arbiter {
	out := make([]Arbiter, n)
	for i := range out {
		out[i] = Arbiter{VM: contract.VMID(fmt.Sprintf("vm%d", i)), Incarnation: 1}
	}
	return out
}

// simulation runs claims against arbiters that stop or are replaced, with vote
// requests and replies that are lost, late or duplicated.
type simulation struct {
	t      *rapid.T
	ticket Ticket
	stores []*VoteStore // nil: stopped or replaced, has no vote
	claims []*Claim
	now    time.Time
	ran    map[Claimant]bool
	proofs int
}

// newSimulation returns a simulation of one ticket with up to MaxArbiters arbiters.
func newSimulation(t *rapid.T) *simulation {
	n := rapid.IntRange(1, MaxArbiters).Draw(t, "arbiters")
	s := &simulation{t: t, now: start, ran: make(map[Claimant]bool)}
	s.ticket = Ticket{ID: "t", Arbiters: arbiters(n), Expires: start.Add(Lifetime).Unix()}
	for _, a := range s.ticket.Arbiters {
		s.stores = append(s.stores, NewVoteStore(a, 10))
	}
	return s
}

// addClaim adds a claim of a new claimant or of Nobody.
func (s *simulation) addClaim() {
	c := Claimant{VM: "x", Incarnation: 1, Attempt: contract.RequestID(fmt.Sprint(len(s.claims)))}
	if rapid.IntRange(0, 3).Draw(s.t, "nobody") == 0 {
		c = Nobody
	}
	s.claims = append(s.claims, NewClaim(s.ticket, c))
}

// requestVote asks an arbiter for its vote for a claim; the reply may be lost or duplicated.
func (s *simulation) requestVote() {
	if len(s.claims) == 0 {
		return
	}
	c := s.claims[rapid.IntRange(0, len(s.claims)-1).Draw(s.t, "claim")]
	i := rapid.IntRange(0, len(s.stores)-1).Draw(s.t, "arbiter")
	vm := s.ticket.Arbiters[i].VM
	if s.stores[i] == nil {
		c.NoReply(vm)
		return
	}
	vote, err := s.stores[i].Vote(s.ticket, c.claimant, s.now)
	if err != nil {
		c.NoReply(vm)
		return
	}
	switch rapid.SampledFrom([]string{"reply", "lost", "twice"}).Draw(s.t, "reply") {
	case "reply":
		c.AddVote(vm, vote)
	case "twice":
		c.AddVote(vm, vote)
		c.AddVote(vm, vote)
	case "lost":
		c.NoReply(vm) // the vote counts, but the claim never receives it
	}
}

// check verifies that at most one claimant ran, and none if a claim has proved NotRun.
func (s *simulation) check() {
	proved := false
	for _, c := range s.claims {
		if c.State() == Won {
			s.ran[c.claimant] = true
		}
		if c.State() == Lost && c.Outcome() == contract.OutcomeNotRun {
			proved = true
		}
	}
	if len(s.ran) > 1 {
		s.t.Fatalf("request ran %d times", len(s.ran))
	}
	if proved && len(s.ran) > 0 {
		s.t.Fatalf("NotRun reported for a request that ran")
	}
	if proved {
		s.proofs++
	}
}

// TestAtMostOnce draws schedules of competing claims, stopped arbiters and lost
// replies. At most one claim may win, and NotRun must never be reported for a
// request that runs, then or later.
func TestAtMostOnce(t *testing.T) {
	ran, proofs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"claim", "ask", "ask", "ask", "ask", "kill", "wait"}).Draw(t, "event") {
			case "claim":
				s.addClaim()
			case "ask":
				s.requestVote()
			case "kill":
				s.stores[rapid.IntRange(0, len(s.stores)-1).Draw(t, "which")] = nil
			case "wait":
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			}
			s.check()
		}
		ran += len(s.ran)
		proofs += s.proofs
	})
	if ran == 0 || proofs == 0 {
		t.Errorf("schedules do not cover both outcomes: %d runs, %d proofs of NotRun", ran, proofs)
	}
}

// singleOwner grants each key once, but only in the memory of the VM
// that owns the keys at the time.
type singleOwner struct{ granted map[string]bool }

// claim grants a key unless this owner has granted it before.
func (o *singleOwner) claim(id string) bool {
	if o.granted[id] {
		return false
	}
	o.granted[id] = true
	return true
}

// TestReplacedArbiterCannotVote replaces a VM between two attempts. With a single
// owner that keeps its grants in memory, the request runs twice. The vote store
// refuses, because the replacement process has another incarnation and no vote.
func TestReplacedArbiterCannotVote(t *testing.T) {
	is := is.New(t)
	runs := 0
	for range 2 { // the second owner has no memory of the first
		if (&singleOwner{granted: make(map[string]bool)}).claim("key") {
			runs++
		}
	}
	is.Equal(runs, 2) // a single owner runs it twice

	tk := Ticket{ID: "t", Arbiters: arbiters(1), Expires: start.Add(Lifetime).Unix()}
	first := NewVoteStore(tk.Arbiters[0], 10)
	vote, err := first.Vote(tk, Claimant{VM: "a"}, start)
	is.NoErr(err)
	is.Equal(vote.For, Claimant{VM: "a"})
	replacement := NewVoteStore(Arbiter{VM: tk.Arbiters[0].VM, Incarnation: 2}, 10)
	_, err = replacement.Vote(tk, Claimant{VM: "b"}, start)
	is.Equal(err, ErrNotArbiter)
	c := NewClaim(tk, Claimant{VM: "b"})
	c.NoReply(tk.Arbiters[0].VM)
	is.Equal(c.State(), Lost)
	is.Equal(c.Outcome(), contract.OutcomeUnknown) // the request may have run
}

// TestSurvivorProvesNotRun checks that the survivor of two arbiters can prove that
// a request never ran after the other has stopped.
func TestSurvivorProvesNotRun(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(2), Expires: start.Add(Lifetime).Unix()}
	survivor := NewVoteStore(tk.Arbiters[1], 10)
	c := NewClaim(tk, Nobody)
	c.NoReply(tk.Arbiters[0].VM)
	vote, err := survivor.Vote(tk, Nobody, start)
	is.NoErr(err)
	c.AddVote(tk.Arbiters[1].VM, vote)
	is.Equal(c.Outcome(), contract.OutcomeNotRun)
	late, err := survivor.Vote(tk, Claimant{VM: "late"}, start)
	is.NoErr(err)
	is.Equal(late.For, Nobody) // a later claim never gets this vote
}

// TestSplitVoteFailsBothClaims checks that neither of two claims with one vote each
// wins, and that an arbiter always repeats its first vote.
func TestSplitVoteFailsBothClaims(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(2), Expires: start.Add(Lifetime).Unix()}
	x, y := Claimant{VM: "x"}, Claimant{VM: "y"}
	cx, cy := NewClaim(tk, x), NewClaim(tk, y)
	stores := []*VoteStore{NewVoteStore(tk.Arbiters[0], 10), NewVoteStore(tk.Arbiters[1], 10)}
	requestVote := func(c *Claim, claimant Claimant, i int) Vote {
		vote, err := stores[i].Vote(tk, claimant, start)
		is.NoErr(err)
		c.AddVote(tk.Arbiters[i].VM, vote)
		return vote
	}
	is.Equal(requestVote(cx, x, 0).For, x)
	is.Equal(requestVote(cy, y, 1).For, y)
	is.Equal(requestVote(cx, x, 1).For, y)
	is.Equal(requestVote(cy, y, 0).For, x)
	is.Equal(cx.State(), Lost)
	is.Equal(cy.State(), Lost)
	is.Equal(cx.Outcome(), contract.OutcomeUnknown)
}

// TestTicketIsBoundToWorkspace checks that a ticket opens only for its workspace,
// and that an altered ticket or one with another signing key is rejected.
func TestTicketIsBoundToWorkspace(t *testing.T) {
	is := is.New(t)
	signer := NewSigner([]byte("0123456789abcdef0123456789abcdef"))
	text, err := signer.Issue(Ticket{ID: "t", Workspace: "w", Arbiters: arbiters(2)}, start)
	is.NoErr(err)
	got, err := signer.Open(text, "w")
	is.NoErr(err)
	is.Equal(got.Expires, start.Add(Lifetime).Unix())
	_, err = signer.Open(text, "other")
	is.Equal(err, ErrOtherWorkspace)
	_, err = signer.Open("x"+text, "w")
	is.Equal(err, sign.ErrInvalidSignature)
	_, err = NewSigner([]byte("another key of another fleet....")).Open(text, "w")
	is.Equal(err, sign.ErrInvalidSignature)
}

// TestNotRunRequiresBlockingQuorum checks that one of three votes for Nobody proves
// nothing: another attempt has the other two votes and runs.
func TestNotRunRequiresBlockingQuorum(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(3), Expires: start.Add(Lifetime).Unix()}
	x := Claimant{VM: "x"}
	majority, notRun := NewClaim(tk, x), NewClaim(tk, Nobody)
	for i, a := range tk.Arbiters {
		r := NewVoteStore(a, 10)
		c, claimant := majority, x
		if i == 2 {
			c, claimant = notRun, Nobody
		}
		vote, err := r.Vote(tk, claimant, start)
		is.NoErr(err)
		c.AddVote(a.VM, vote)
	}
	notRun.NoReply(tk.Arbiters[0].VM)
	notRun.NoReply(tk.Arbiters[1].VM)
	is.Equal(majority.State(), Won)
	is.Equal(notRun.State(), Lost)
	is.Equal(notRun.Outcome(), contract.OutcomeUnknown)
}

// TestFullVoteStoreRefusesVotes checks that a full vote store returns ErrVoteStoreFull,
// and that it drops no ticket that can still be claimed.
func TestFullVoteStoreRefusesVotes(t *testing.T) {
	is := is.New(t)
	self := arbiters(1)
	r := NewVoteStore(self[0], 2)
	now := start
	for i := range 2 {
		tk := Ticket{ID: fmt.Sprint(i), Arbiters: self, Expires: start.Add(Lifetime).Unix()}
		_, err := r.Vote(tk, Claimant{VM: "a"}, now)
		is.NoErr(err)
	}
	third := Ticket{ID: "third", Arbiters: self, Expires: start.Add(2 * Lifetime).Unix()}
	_, err := r.Vote(third, Claimant{VM: "a"}, now)
	is.Equal(err, ErrVoteStoreFull)
	now = start.Add(Lifetime + resultRetentionSeconds*time.Second)
	_, err = r.Vote(third, Claimant{VM: "a"}, now)
	is.NoErr(err)
	_, err = r.Vote(Ticket{ID: "0", Arbiters: self, Expires: start.Add(Lifetime).Unix()}, Claimant{VM: "b"}, now)
	is.Equal(err, ErrExpired) // dropped, but too old to be claimed
}

// TestResultStoredForRetry checks that a retry gets the whole response of the first attempt.
func TestResultStoredForRetry(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(1), Expires: start.Add(Lifetime).Unix()}
	r := NewVoteStore(tk.Arbiters[0], 10)
	a := Claimant{VM: "a"}
	_, err := r.Vote(tk, a, start)
	is.NoErr(err)
	r.StoreResult("t", Claimant{VM: "b"}, Result{Outcome: contract.OutcomeNotRun}) // not the claimant with the vote
	r.StoreResult("t", a, Result{Outcome: contract.OutcomeRan, Body: []byte("done"), BodyComplete: true})
	r.StoreResult("t", a, Result{Outcome: contract.OutcomeNotRun}) // ignored: the first result counts
	vote, err := r.Vote(tk, Claimant{VM: "b"}, start)
	is.NoErr(err)
	c := NewClaim(tk, Claimant{VM: "b"})
	c.AddVote(tk.Arbiters[0].VM, vote)
	is.Equal(c.State(), Lost)
	is.Equal(c.Outcome(), contract.OutcomeRan)
	is.Equal(string(c.Result().Body), "done")
}
