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

func arbiters(n int) []Arbiter {
	out := make([]Arbiter, n)
	for i := range out {
		out[i] = Arbiter{VM: contract.VMID(fmt.Sprintf("vm%d", i)), Incarnation: 1}
	}
	return out
}

// world runs claims against arbiters that are killed, cut off and replaced,
// with questions and answers that are lost or come late and twice.
type world struct {
	t         *rapid.T
	ticket    Ticket
	registers []*Register // nil: dead or replaced, so it has no vote
	claims    []*Claim
	now       time.Time
	ran       map[Claimant]bool
	proofs    int
}

func newWorld(t *rapid.T) *world {
	n := rapid.IntRange(1, MaxArbiters).Draw(t, "arbiters")
	w := &world{t: t, now: start, ran: make(map[Claimant]bool)}
	w.ticket = Ticket{ID: "t", Arbiters: arbiters(n), Expires: start.Add(Lifetime).Unix()}
	for _, a := range w.ticket.Arbiters {
		w.registers = append(w.registers, NewRegister(a, 10))
	}
	return w
}

func (w *world) newClaim() {
	c := Claimant{VM: "x", Incarnation: 1, Attempt: contract.RequestID(fmt.Sprint(len(w.claims)))}
	if rapid.IntRange(0, 3).Draw(w.t, "nobody") == 0 {
		c = Nobody
	}
	w.claims = append(w.claims, NewClaim(w.ticket, c))
}

func (w *world) ask() {
	if len(w.claims) == 0 {
		return
	}
	c := w.claims[rapid.IntRange(0, len(w.claims)-1).Draw(w.t, "claim")]
	i := rapid.IntRange(0, len(w.registers)-1).Draw(w.t, "arbiter")
	vm := w.ticket.Arbiters[i].VM
	if w.registers[i] == nil {
		c.Silent(vm)
		return
	}
	vote, err := w.registers[i].Vote(w.ticket, c.claimant, w.now)
	if err != nil {
		c.Silent(vm)
		return
	}
	switch rapid.SampledFrom([]string{"answer", "lost", "twice"}).Draw(w.t, "reply") {
	case "answer":
		c.Voted(vm, vote)
	case "twice":
		c.Voted(vm, vote)
		c.Voted(vm, vote)
	case "lost":
		c.Silent(vm) // the vote stands, though the claim never hears of it
	}
}

func (w *world) check() {
	proved := false
	for _, c := range w.claims {
		if c.State() == Won {
			w.ran[c.claimant] = true
		}
		if c.State() == Lost && c.Outcome() == contract.NotRun {
			proved = true
		}
	}
	if len(w.ran) > 1 {
		w.t.Fatalf("ran %d times", len(w.ran))
	}
	if proved && len(w.ran) > 0 {
		w.t.Fatalf("said not run of a request that ran")
	}
	if proved {
		w.proofs++
	}
}

// TestAtMostOnce draws schedules of racing claims, kills and lost replies. At
// most one claim wins, and "not run" is never said of a request that runs,
// then or later.
func TestAtMostOnce(t *testing.T) {
	ran, proofs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"claim", "ask", "ask", "ask", "ask", "kill", "wait"}).Draw(t, "event") {
			case "claim":
				w.newClaim()
			case "ask":
				w.ask()
			case "kill":
				w.registers[rapid.IntRange(0, len(w.registers)-1).Draw(t, "which")] = nil
			case "wait":
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			}
			w.check()
		}
		ran += len(w.ran)
		proofs += w.proofs
	})
	if ran == 0 || proofs == 0 {
		t.Errorf("schedules too tame: %d ran, %d proofs", ran, proofs)
	}
}

// naiveOwner grants a key once, in the memory of whichever VM is its owner now.
type naiveOwner struct{ granted map[string]bool }

func (o *naiveOwner) claim(id string) bool {
	if o.granted[id] {
		return false
	}
	o.granted[id] = true
	return true
}

// TestOwnerReplaced shows the naive way running a request twice when its owner
// is replaced between two tries, and the register refusing: the replaced
// process has another incarnation and no vote.
func TestOwnerReplaced(t *testing.T) {
	is := is.New(t)
	runs := 0
	for range 2 { // the second owner knows nothing of the first
		if (&naiveOwner{granted: make(map[string]bool)}).claim("key") {
			runs++
		}
	}
	is.Equal(runs, 2) // the naive way runs it twice

	tk := Ticket{ID: "t", Arbiters: arbiters(1), Expires: start.Add(Lifetime).Unix()}
	first := NewRegister(tk.Arbiters[0], 10)
	vote, err := first.Vote(tk, Claimant{VM: "a"}, start)
	is.NoErr(err)
	is.Equal(vote.For, Claimant{VM: "a"})
	replaced := NewRegister(Arbiter{VM: tk.Arbiters[0].VM, Incarnation: 2}, 10)
	_, err = replaced.Vote(tk, Claimant{VM: "b"}, start)
	is.Equal(err, ErrNotArbiter)
	c := NewClaim(tk, Claimant{VM: "b"})
	c.Silent(tk.Arbiters[0].VM)
	is.Equal(c.State(), Lost)
	is.Equal(c.Outcome(), contract.Unknown) // and it does not claim to know
}

// TestSurvivorProvesNotRun shows that with two arbiters one survivor can prove
// that a request never ran, once the other is dead.
func TestSurvivorProvesNotRun(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(2), Expires: start.Add(Lifetime).Unix()}
	survivor := NewRegister(tk.Arbiters[1], 10)
	c := NewClaim(tk, Nobody)
	c.Silent(tk.Arbiters[0].VM)
	vote, err := survivor.Vote(tk, Nobody, start)
	is.NoErr(err)
	c.Voted(tk.Arbiters[1].VM, vote)
	is.Equal(c.Outcome(), contract.NotRun)
	late, err := survivor.Vote(tk, Claimant{VM: "late"}, start)
	is.NoErr(err)
	is.Equal(late.For, Nobody) // a late claim is refused for ever
}

// TestSplitVotesRunNothing shows that of two claims with a vote each neither
// runs, and that an arbiter's second answer is its first vote.
func TestSplitVotesRunNothing(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(2), Expires: start.Add(Lifetime).Unix()}
	x, y := Claimant{VM: "x"}, Claimant{VM: "y"}
	cx, cy := NewClaim(tk, x), NewClaim(tk, y)
	registers := []*Register{NewRegister(tk.Arbiters[0], 10), NewRegister(tk.Arbiters[1], 10)}
	ask := func(c *Claim, who Claimant, i int) Vote {
		vote, err := registers[i].Vote(tk, who, start)
		is.NoErr(err)
		c.Voted(tk.Arbiters[i].VM, vote)
		return vote
	}
	is.Equal(ask(cx, x, 0).For, x)
	is.Equal(ask(cy, y, 1).For, y)
	is.Equal(ask(cx, x, 1).For, y)
	is.Equal(ask(cy, y, 0).For, x)
	is.Equal(cx.State(), Lost)
	is.Equal(cy.State(), Lost)
	is.Equal(cx.Outcome(), contract.Unknown)
}

// TestTicketOfOtherWorkspace shows that a ticket opens for its workspace alone,
// and that no altered one opens.
func TestTicketOfOtherWorkspace(t *testing.T) {
	is := is.New(t)
	office := NewOffice([]byte("0123456789abcdef0123456789abcdef"))
	text, err := office.Issue(Ticket{ID: "t", Workspace: "w", Arbiters: arbiters(2)}, start)
	is.NoErr(err)
	got, err := office.Open(text, "w")
	is.NoErr(err)
	is.Equal(got.Expires, start.Add(Lifetime).Unix())
	_, err = office.Open(text, "other")
	is.Equal(err, ErrOtherWorkspace)
	_, err = office.Open("x"+text, "w")
	is.Equal(err, sign.ErrForged)
	_, err = NewOffice([]byte("another key of another fleet....")).Open(text, "w")
	is.Equal(err, sign.ErrForged)
}

// TestNotRunNeedsItsProof shows that one vote for nobody of three proves
// nothing: another attempt has the other two, and runs.
func TestNotRunNeedsItsProof(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(3), Expires: start.Add(Lifetime).Unix()}
	x := Claimant{VM: "x"}
	runs, proof := NewClaim(tk, x), NewClaim(tk, Nobody)
	for i, a := range tk.Arbiters {
		r := NewRegister(a, 10)
		c, who := runs, x
		if i == 2 {
			c, who = proof, Nobody
		}
		vote, err := r.Vote(tk, who, start)
		is.NoErr(err)
		c.Voted(a.VM, vote)
	}
	proof.Silent(tk.Arbiters[0].VM)
	proof.Silent(tk.Arbiters[1].VM)
	is.Equal(runs.State(), Won)
	is.Equal(proof.State(), Lost)
	is.Equal(proof.Outcome(), contract.Unknown)
}

// TestBoundIsARefusal shows that a full register refuses and says so, and that
// it forgets no ticket that could still be claimed.
func TestBoundIsARefusal(t *testing.T) {
	is := is.New(t)
	self := arbiters(1)
	r := NewRegister(self[0], 2)
	now := start
	for i := range 2 {
		tk := Ticket{ID: fmt.Sprint(i), Arbiters: self, Expires: start.Add(Lifetime).Unix()}
		_, err := r.Vote(tk, Claimant{VM: "a"}, now)
		is.NoErr(err)
	}
	third := Ticket{ID: "third", Arbiters: self, Expires: start.Add(2 * Lifetime).Unix()}
	_, err := r.Vote(third, Claimant{VM: "a"}, now)
	is.Equal(err, ErrFull)
	now = start.Add(Lifetime + graceSeconds*time.Second)
	_, err = r.Vote(third, Claimant{VM: "a"}, now)
	is.NoErr(err)
	_, err = r.Vote(Ticket{ID: "0", Arbiters: self, Expires: start.Add(Lifetime).Unix()}, Claimant{VM: "b"}, now)
	is.Equal(err, ErrExpired) // forgotten, and no longer to be claimed
}

// TestResultKept shows that a retry finds the whole answer of the first try.
func TestResultKept(t *testing.T) {
	is := is.New(t)
	tk := Ticket{ID: "t", Arbiters: arbiters(1), Expires: start.Add(Lifetime).Unix()}
	r := NewRegister(tk.Arbiters[0], 10)
	a := Claimant{VM: "a"}
	_, err := r.Vote(tk, a, start)
	is.NoErr(err)
	r.Settle("t", Claimant{VM: "b"}, Result{Outcome: contract.NotRun}) // not its claimant
	r.Settle("t", a, Result{Outcome: contract.Ran, Body: []byte("done"), Whole: true})
	r.Settle("t", a, Result{Outcome: contract.NotRun}) // late: the first counts
	vote, err := r.Vote(tk, Claimant{VM: "b"}, start)
	is.NoErr(err)
	c := NewClaim(tk, Claimant{VM: "b"})
	c.Voted(tk.Arbiters[0].VM, vote)
	is.Equal(c.State(), Lost)
	is.Equal(c.Outcome(), contract.Ran)
	is.Equal(string(c.Result().Body), "done")
}
