package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func testOrder() Order {
	return Order{Service: "s", Release: "v2", Issued: time.Unix(1000, 0), Length: 24 * time.Second}
}

// TestSessionsMoveOneWay checks that VMs that see an order at different times,
// each by its own clock, put a session on the release only in the second half,
// never move it back, and agree but for the difference of their clocks. The
// naive way, a draw a request, moves sessions back and forth.
func TestSessionsMoveOneWay(t *testing.T) {
	naiveBack := 0
	rapid.Check(t, func(t *rapid.T) {
		o := testOrder()
		skew := time.Duration(rapid.IntRange(0, 200).Draw(t, "skew ms")) * time.Millisecond
		late := o
		late.Issued = o.Issued.Add(skew)
		vms := []*Canary{NewCanary(o, 0.15, testOrder().Issued), NewCanary(late, 0.15, testOrder().Issued)}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		session := rapid.Uint64().Draw(t, "session")
		moved := time.Time{}
		naive := false
		for now := o.Issued; now.Before(o.Issued.Add(o.Length)); now = now.Add(time.Duration(1+r.IntN(800)) * time.Millisecond) {
			vm := vms[r.IntN(2)]
			on := vm.Choose(session, now)
			if on && now.Sub(o.Issued) < o.Length/2 {
				t.Fatalf("on trial in the first half, at %v", now.Sub(o.Issued))
			}
			if on && moved.IsZero() {
				moved = now
			}
			if !on && !moved.IsZero() && now.Sub(moved) > skew {
				t.Fatalf("moved back at %v", now.Sub(o.Issued))
			}
			drawn := r.Float64() < vm.Share(now)
			if naive && !drawn {
				naiveBack++
			}
			naive = drawn
		}
	})
	is.New(t).True(naiveBack > 0)
}

// TestExposure plays a release that is bad from the start, late, or only under
// load, at one of several VMs that do not hear one another, and checks that the
// part of requests it gets over its order, and the bad answers until it is
// halted, stay far below what deployments allow.
func TestExposure(t *testing.T) {
	const perSecond, vms, runs = 100, 6, 40
	for name, failing := range map[string]func(part, share float64) float64{
		"from the start": func(_, _ float64) float64 { return 0.41 },
		"late":           func(part, _ float64) float64 { return 0.41 * math.Floor(min(part/0.6, 1)) },
		"under load":     func(_, share float64) float64 { return 0.41 * math.Floor(min(share/0.4, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 7))
			worstBad, worstShare := 0, 0.0
			for range runs {
				exposed, bad := play(r, perSecond, vms, failing)
				worstBad = max(worstBad, bad)
				worstShare = max(worstShare, exposed)
			}
			if worstBad > 60 || worstShare > 0.1 {
				t.Fatalf("%d bad answers, a share of %.3f", worstBad, worstShare)
			}
		})
	}
}

// play returns the share of all requests of an order that went to its release,
// and how many bad answers these were, when no VM hears another.
func play(r *rand.Rand, perSecond, vms int, failing func(part, share float64) float64) (exposed float64, bad int) {
	o := testOrder()
	var canaries []*Canary
	for range vms {
		canaries = append(canaries, NewCanary(o, 0.15, testOrder().Issued))
	}
	total := perSecond * int(o.Length/time.Second)
	sent := 0
	for i := range total {
		now := o.Issued.Add(time.Duration(i) * o.Length / time.Duration(total))
		c := canaries[r.IntN(vms)]
		on := c.Choose(r.Uint64(), now)
		failed := on && r.Float64() < failing(c.part(now), c.Share(now))
		c.Observe(Answer{OnTrial: on, Failed: failed}, now)
		if on {
			sent++
		}
		if failed {
			bad++
		}
	}
	return float64(sent) / float64(total), bad
}

// TestFalseAlarms checks the part of good releases that are found bad, for a
// service that fails one in seven requests anyway.
func TestFalseAlarms(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	const runs = 400
	halted := 0
	for range runs {
		c := NewCanary(testOrder(), 0.15, testOrder().Issued)
		for i := range 1200 {
			if c.Observe(Answer{OnTrial: i%10 == 0 || i > 900, Failed: r.Float64() < 0.14}, time.Unix(0, 0)) {
				halted++
			}
		}
	}
	is.True(halted <= runs/50)
}

// TestSlowRelease checks that a release of which half of the answers take eight
// times as long is found, and that one which is half as slow again throughout,
// as one that has read no prompts yet, is not.
func TestSlowRelease(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 5))
	found := func(times, share, spread float64) (at int) {
		c := NewCanary(testOrder(), 0.15, testOrder().Issued)
		now := time.Unix(0, 0)
		took := func(times float64) []Time {
			return []Time{{"first", 0.08 * times * math.Exp(spread*r.NormFloat64())}}
		}
		for i := range 900 {
			now = now.Add(20 * time.Millisecond)
			x := 1.0
			if r.Float64() < share {
				x = times
			}
			if i%3 > 0 {
				c.Observe(Answer{Times: took(1)}, now)
			} else if c.Observe(Answer{OnTrial: true, Times: took(x)}, now) {
				return i / 3
			}
		}
		return 0
	}
	alarms := 0
	for range 50 {
		if found(1.5, 1, 0.5) > 0 {
			alarms++
		}
		at := found(8, 0.5, 0.5)
		is.True(at > 0 && at < 100)
	}
	is.True(alarms <= 2)
}

// TestShareOfAnOrder checks that a release which is never found out gets no more
// than its share of the requests of its order, whatever the share, and that it
// is completed in time.
func TestShareOfAnOrder(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.03, 0.05, 0.1, 0.15, 0.3} {
		o := testOrder()
		c := NewCanary(o, share, testOrder().Issued)
		sent := 0.0
		const parts = 10000
		completed := 0.0
		for i := range parts {
			now := o.Issued.Add(time.Duration(i) * o.Length / parts)
			if state, due := c.Verdict(now); due && state == OrderCompleted && completed == 0 {
				completed = float64(i) / parts
			}
			sent += c.Share(now) / parts
		}
		is.True(sent <= 0.95*share)
		is.True(completed > 0.5 && completed < 1-0.4*share)
	}
}

// TestAgeOfAnOrder checks that VMs agree on the age of an order, whoever saw it
// first and whatever the times of day of those that started later.
func TestAgeOfAnOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	first, second, late := testOrder(), testOrder(), testOrder()
	first.Issued = now.Add(-8 * time.Second)
	second.Issued = now.Add(-7 * time.Second)
	late.Issued, late.Began = now.Add(-11*time.Second), now.Add(-11*time.Second) // a clock that is off
	vms := []*Canary{NewCanary(first, 0.15, testOrder().Issued), NewCanary(second, 0.15, testOrder().Issued), NewCanary(late, 0.15, testOrder().Issued)}
	for range 2 {
		for _, from := range vms {
			age, own := from.Age(now)
			for _, to := range vms {
				if own && to != from {
					to.Told(age, now)
				}
			}
		}
	}
	for _, c := range vms {
		age, _ := c.Age(now)
		is.Equal(age, 8*time.Second)
	}
}

// TestEvidenceOfAllVMs shows that VMs which see few answers each find a bad
// release by what they tell one another, where each alone takes many times as
// long, and that words which come late or twice change nothing.
func TestEvidenceOfAllVMs(t *testing.T) {
	is := is.New(t)
	const vms = 7
	r := rand.New(rand.NewPCG(9, 9))
	answers := func(tell bool) int {
		var canaries []*Canary
		for range vms {
			canaries = append(canaries, NewCanary(testOrder(), 0.15, testOrder().Issued))
		}
		var late Evidence
		for n := 1; ; n++ {
			at := n % vms
			self := Observer{VM: contract.VMID(rune('a' + at))}
			if canaries[at].Observe(Answer{OnTrial: true, Failed: r.Float64() < 0.34}, time.Unix(0, 0)) {
				return n
			}
			if tell {
				e := canaries[at].Evidence(HearsNear, self, "d")
				to := r.IntN(vms) // words go to VMs drawn at random
				if canaries[to].Hear(append(e, late...), Observer{VM: contract.VMID(rune('a' + to))}, "d") {
					return n
				}
				late = e
			}
		}
	}
	alone, told := 0, 0
	for range 50 {
		alone += answers(false)
		told += answers(true)
	}
	is.True(told*2 < alone)
}

// TestEvidenceOfDataCentres shows that what VMs tell does not grow with their
// number, that each knows what all have counted, and no more than that.
func TestEvidenceOfDataCentres(t *testing.T) {
	is := is.New(t)
	type member struct {
		canary *Canary
		self   Observer
		dc     contract.DataCentreID
	}
	var vms []member
	for _, dc := range []contract.DataCentreID{"d", "e", "f"} {
		for i := range 12 {
			vms = append(vms, member{NewCanary(testOrder(), 0.15, testOrder().Issued), Observer{VM: contract.VMID(string(dc) + string(rune('a'+i))), Incarnation: 1}, dc})
		}
	}
	for _, m := range vms {
		for range 5 {
			m.canary.Observe(Answer{OnTrial: true}, time.Unix(0, 0))
		}
	}
	longest := 0
	for range 3 { // words among all, some of them twice
		for _, from := range vms {
			for _, to := range vms {
				e := from.canary.FarEvidence(from.self, from.dc)
				if from.dc == to.dc {
					e = from.canary.Evidence(HearsNear, from.self, from.dc)
				}
				longest = max(longest, len(e))
				to.canary.Hear(e, to.self, to.dc)
			}
		}
	}
	for _, m := range vms {
		is.Equal(m.canary.sum(), Counts{Good: int64(5 * len(vms))})
	}
	is.True(longest <= 2+2*3)
}

// TestEvidenceThroughHubs passes evidence from leaves to their hubs, between hubs, to
// another data centre and down to its leaves, late and twice: all know what all have
// counted, and no more. Two hubs that told each other totals would each hold the larger
// of two parts for the whole.
func TestEvidenceThroughHubs(t *testing.T) {
	is := is.New(t)
	type member struct {
		canary *Canary
		self   Observer
		dc     contract.DataCentreID
	}
	join := func(dc contract.DataCentreID, n int) []member {
		var out []member
		for i := range n {
			m := member{NewCanary(testOrder(), 0.15, testOrder().Issued), Observer{VM: contract.VMID(string(dc) + string(rune('a'+i))), Incarnation: 1}, dc}
			for range 5 {
				m.canary.Observe(Answer{OnTrial: true}, time.Unix(0, 0))
			}
			out = append(out, m)
		}
		return out
	}
	near, far := join("d", 10), join("e", 10)
	tell := func(from, to member, hears Hearer) {
		to.canary.Hear(from.canary.Evidence(hears, from.self, from.dc), to.self, to.dc)
	}
	for range 3 {
		for _, all := range [][]member{near, far} {
			hubs, leaves := all[:2], all[2:]
			for i, l := range leaves {
				tell(l, hubs[i%2], HearsNear)
				tell(hubs[i%2], l, HearsNear)
			}
			tell(hubs[0], hubs[1], HearsHub)
			tell(hubs[1], hubs[0], HearsHub)
		}
		tell(near[0], far[0], HearsFar)
		tell(far[1], near[1], HearsFar)
	}
	for _, m := range append(near, far...) {
		is.Equal(m.canary.sum(), Counts{Good: 100})
	}
}

// TestDoubtAtTheEnd shows that a release whose few answers speak against it is
// not completed, though they are too few to halt it before.
func TestDoubtAtTheEnd(t *testing.T) {
	is := is.New(t)
	end := func(bad int) OrderState {
		o := testOrder()
		c := NewCanary(o, 0.15, testOrder().Issued)
		for i := range 60 {
			c.Observe(Answer{Failed: i%14 == 0}, o.Issued)
		}
		for i := range 13 {
			c.Observe(Answer{OnTrial: true, Failed: i%13 < bad && i%2 == 0}, o.Issued)
		}
		is.True(!c.bad)
		state, due := c.Verdict(o.Issued.Add(o.Length))
		is.True(due)
		return state
	}
	is.Equal(end(10), OrderUndone)   // five of thirteen
	is.Equal(end(2), OrderCompleted) // one of thirteen, as the others
}

// TestJoinsLate shows that a VM which starts when an order is nearly over, and
// knows nothing of its trial, neither completes it nor sends more there than a
// trial, until it has heard of one that saw the order from the start, or has seen
// answers enough. The naive way completed a bad release at once.
func TestJoinsLate(t *testing.T) {
	is := is.New(t)
	o := testOrder()
	o.Began = o.Issued // written down by another VM
	now := o.Issued.Add(o.Length - 50*time.Millisecond)
	joined := func() *Canary { return NewCanary(o, 0.15, now) }

	c := joined()
	_, due := c.Verdict(now)
	is.True(!due)
	is.True(c.Share(now) < 0.1)

	other := Observer{VM: "other", Incarnation: 1}
	self := Observer{VM: "self", Incarnation: 1}
	seen := NewCanary(o, 0.15, o.Issued)
	for range 6 {
		seen.Observe(Answer{OnTrial: true, Failed: true}, now)
	}
	c.Hear(seen.Evidence(HearsNear, other, "d"), self, "d")
	state, due := c.Verdict(now)
	is.True(due)
	is.Equal(state, OrderUndone)

	c = joined()
	c.Told(now.Sub(o.Issued), now) // by one that saw it from the start, and nothing bad
	state, due = c.Verdict(now)
	is.True(due)
	is.Equal(state, OrderCompleted)

	c = joined()
	for range enoughSeen {
		c.Observe(Answer{OnTrial: true}, now)
	}
	state, due = c.Verdict(now)
	is.True(due)
	is.Equal(state, OrderCompleted)
	is.Equal(c.Share(now), 1.0)
}
