package rollout

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
)

// OrderState is how an order ended, or that it has not.
type OrderState string

// The states of an order.
const (
	OrderOpen      OrderState = ""
	OrderCompleted OrderState = "completed"
	OrderUndone    OrderState = "rolled back"
)

// Order asks that a service's requests be moved to a release, whose upstreams
// run beside the others until the order has ended.
type Order struct {
	Service contract.ServiceID
	Release string
	// Issued is when the order was given, as this VM knows it, Length how long
	// it may take.
	Issued time.Time
	Length time.Duration
	State  OrderState
	// Name is that of the order in the store.
	Name string
	// Began is when a VM first saw the order, by the time of day, as it wrote it
	// down for VMs that start later; zero before that.
	Began time.Time
	// Revision is that of the order's object.
	Revision contract.Revision
}

// Stages of an order, as parts of its length. Sessions may move to the release
// on trial only from half of the order on, and which sessions are under way at
// other VMs is not known here, so nothing is on trial before that. A release
// that is bad only later, or under a load that does not come, is not found out,
// and may still get no more than its share of the requests of the whole order:
// the trial by few, the steps and the end, when all go there, are as long as
// the share allows.
const (
	trialFrom = 0.52
	// used is the part of the share that is planned with: the rest is for VMs
	// that see the order at other moments and for traffic that rises.
	used = 0.93
	// Parts of what is used: for the trial, the two steps, and all.
	usedTrial, usedSteps, usedAll = 0.2, 0.1, 0.7
	// maxTrial bounds the part of sessions on trial.
	maxTrial = 0.10
	// steps are the parts of sessions between the trial and all.
	stepOne, stepTwo = 0.25, 0.5
	// completeAfter is the part of the last stage after which the order is
	// completed: before that, requests at the others end; after it, there is
	// time to write it down.
	completeAfter = 0.2
)

// stage is when a part of sessions is on trial from.
type stage struct{ from, share float64 }

// planStages returns the stages of an order whose release may get a share of the
// requests, and when it is completed.
func planStages(share float64) (stages []stage, complete float64) {
	all := usedAll * used * share
	width := usedSteps * used * share / (stepOne + stepTwo)
	full := 1 - all
	first := full - 2*width
	trial := min(usedTrial*used*share/(first-trialFrom), maxTrial)
	return []stage{{trialFrom, trial}, {first, stepOne}, {full - width, stepTwo}, {full, 1}}, full + completeAfter*all
}

// Canary decides which of a service's sessions go to a release on trial, and
// whether it is good. Every VM computes the same from the order and a session's
// key, so that a session meets the same release at each VM without a word
// between them. It is a pure state machine; its owner locks it.
type Canary struct {
	order Order
	test  config.Rollout
	alarm *Alarm
	slow  *Slowness
	// stages and complete are the plan of the order.
	stages   []stage
	complete float64
	// firstHand tells whether this VM saw the order before anything was written
	// of it, so that its age is known by its own clock.
	firstHand bool
	// joinedLate tells that this VM has seen no part of the trial's beginning, and
	// told that one which had has told it of the order since.
	joinedLate, told bool
	// trial and old are what was seen of the two; old gives the rate of
	// failures that the service has anyway.
	trial, old Counts
	// heard is what other VMs have counted.
	heard Evidence
	dc    contract.DataCentreID // of this VM, once it has heard another
	bad   bool
}

// Parameters of the verdict: a release is bad when its part of failures is
// above that of the others by badOver; falseAlarm is for the whole order.
const (
	badOver     = 0.25
	goodOver    = 0.03
	falseAlarm  = 0.001
	missed      = 0.001
	maxGoodRate = 0.6
)

// NewCanary returns the canary of an order that this VM sees for the first time
// now; share is the largest part of the service's requests that a bad release may
// get over the whole order.
func NewCanary(order Order, share float64, now time.Time) *Canary {
	c := &Canary{order: order, firstHand: order.Began.IsZero()}
	c.stages, c.complete = planStages(share)
	c.joinedLate = c.part(now) > trialFrom
	c.test = config.Rollout{GoodRate: goodOver, BadRate: goodOver + badOver, FalseAlarm: falseAlarm, Miss: missed}
	c.alarm = NewAlarm(&c.test, 1)
	c.slow = NewSlowness()
	return c
}

// Order returns the order.
func (c *Canary) Order() Order { return c.order }

// Update takes in a newer state of the same order.
func (c *Canary) Update(o Order) {
	issued := c.order.Issued // this VM's own, on a clock that does not jump
	c.order = o
	c.order.Issued = issued
}

// part returns how much of the order's length has passed, 0 to 1 and over.
func (c *Canary) part(now time.Time) float64 {
	if c.order.Length <= 0 {
		return 1
	}
	return float64(now.Sub(c.order.Issued)) / float64(c.order.Length)
}

// Share returns the part of sessions that are meant to be at the release.
func (c *Canary) Share(now time.Time) float64 {
	switch {
	case c.order.State == OrderCompleted:
		return 1
	case c.order.State == OrderUndone || c.bad:
		return 0
	}
	share := 0.0
	for _, s := range c.stages {
		if c.part(now) >= s.from {
			share = s.share
		}
	}
	if c.blind() {
		return min(share, c.stages[0].share)
	}
	return share
}

// enoughSeen is how many answers of a release on trial tell a bad one from a good
// one, where a third of a bad one's fail.
const enoughSeen = 12

// blind tells whether this VM knows nothing of how the trial has gone.
func (c *Canary) blind() bool {
	if !c.joinedLate || c.told {
		return false
	}
	seen := c.sum()
	return seen.Good+seen.Bad < enoughSeen
}

// Choose tells whether a request goes to the release on trial.
func (c *Canary) Choose(session uint64, now time.Time) bool {
	share := c.Share(now)
	return share > 0 && point(session, c.order) < share
}

// Moving tells whether sessions move to the release in numbers, so that it also
// serves where no other can.
func (c *Canary) Moving(now time.Time) bool { return c.Share(now) >= stepOne }

// point places a session in the ramp, 0 to 1, the same at every VM.
func point(session uint64, o Order) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	d := xxhash.New()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(o.Release)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Answer is an answer of a service with an order.
type Answer struct {
	// OnTrial tells whether it is of the release on trial.
	OnTrial bool
	// Failed tells whether the upstream answered with a failure of its own.
	Failed bool
	Times  []Time
}

// Observe takes in an answer. One that failed, or was far slower than those of
// the other releases, is bad. It returns whether the release has just been
// found bad.
func (c *Canary) Observe(a Answer, now time.Time) bool {
	slow := c.slow.Observe(a.OnTrial, a.Times, now)
	counts := &c.old
	if a.OnTrial {
		counts = &c.trial
	}
	if a.Failed || slow {
		counts.Bad++
	} else {
		counts.Good++
	}
	if !a.OnTrial || c.bad || c.order.State != OrderOpen {
		return false
	}
	sum := c.sumIsBad()
	c.alarm.test = NewTest(&c.test)
	c.bad = c.alarm.Observe(a.Failed || slow) || sum
	return c.bad
}

// Age returns how long ago the order was given, and whether this VM knows that
// by its own clock.
func (c *Canary) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(c.order.Issued), c.firstHand
}

// Told takes in the age that a VM knows by its own clock: the VM that saw the
// order first is right, and so is any against what was read of the time of day.
func (c *Canary) Told(age time.Duration, now time.Time) {
	issued := now.Add(-age)
	c.told = true
	if !c.firstHand || issued.Before(c.order.Issued) {
		c.order.Issued, c.firstHand = issued, true
	}
}

// Parts of the evidence of an order, in place of the steps of a ramp.
const (
	onTrialPart = 0
	othersPart  = 1
)

// totalOf names what all VMs of a data centre have counted together.
func totalOf(dc contract.DataCentreID) Observer {
	return Observer{VM: contract.VMID("total of " + string(dc))}
}

// Hearer says who is told of an order.
type Hearer uint8

const (
	// HearsNear is a VM of the own data centre.
	HearsNear Hearer = iota
	// HearsHub is one of the own data centre that passes on what it hears.
	HearsHub
	// HearsFar is a VM of another data centre.
	HearsFar
)

// Evidence returns what this VM tells of the order; nothing once it has ended. All
// hear totals of data centres, whose size does not grow with the VMs, but for a
// hub's own data centre: two hubs know different parts of it, so they tell each
// other of each VM.
func (c *Canary) Evidence(to Hearer, self Observer, dc contract.DataCentreID) Evidence {
	totals := c.FarEvidence(self, dc)
	if totals == nil || to == HearsFar {
		return totals
	}
	others := c.heard.Of(func(o Observer) bool { return o.isTotal() && o != totalOf(dc) })
	if to == HearsHub {
		others = c.heard.Of(func(o Observer) bool { return o != self && o != totalOf(dc) })
	}
	return append(append(c.own(self), totals...), others...)
}

// FarEvidence returns what this VM tells one of another data centre: the total
// of its own, whose size does not grow with the VMs.
func (c *Canary) FarEvidence(self Observer, dc contract.DataCentreID) Evidence {
	if c.order.State != OrderOpen || c.trial.Good+c.trial.Bad == 0 && len(c.heard) == 0 {
		return nil
	}
	near := c.heard.Of(func(o Observer) bool { return !o.isTotal() && o != self })
	known := append(near, c.own(self)...).Total(totalOf(dc))
	return Merge(known, c.heard.Of(func(o Observer) bool { return o == totalOf(dc) }))
}

func (c *Canary) own(self Observer) Evidence {
	return Evidence{{self, c.key(), onTrialPart, c.trial}, {self, c.key(), othersPart, c.old}}
}

// isTotal tells whether a line of evidence is the total of a data centre.
func (o Observer) isTotal() bool { return strings.HasPrefix(string(o.VM), "total of ") }

// key names the order in evidence.
func (c *Canary) key() contract.VersionID {
	return contract.VersionID(string(c.order.Service) + "/" + c.order.Release)
}

// Hear takes in what other VMs have counted. Evidence may come late, twice and
// in any order. It returns whether the release has just been found bad.
func (c *Canary) Hear(e Evidence, self Observer, dc contract.DataCentreID) bool {
	c.dc = dc
	for _, count := range e {
		if count.Version == c.key() && count.Observer != self {
			c.heard = Merge(c.heard, Evidence{count})
		}
	}
	if c.bad || c.order.State != OrderOpen {
		return false
	}
	c.bad = c.sumIsBad()
	return c.bad
}

// sumIsBad judges what all VMs have counted together.
func (c *Canary) sumIsBad() bool { return NewTest(&c.test).Judge(c.sum()) == Bad }

// sum returns what all VMs have counted of the release on trial, and sets what
// counts as good.
func (c *Canary) sum() Counts {
	c.level(c.sumOf(othersPart, c.old))
	return c.sumOf(onTrialPart, c.trial)
}

// sumOf adds up what is known of a part: of the own data centre the larger of
// its total and of what its VMs have told one by one, of others their totals.
func (c *Canary) sumOf(part int, own Counts) Counts {
	near := c.heard.Of(func(o Observer) bool { return !o.isTotal() }).Sum(c.key(), part).plus(own)
	total := c.heard.Of(func(o Observer) bool { return o == totalOf(c.dc) }).Sum(c.key(), part)
	far := c.heard.Of(func(o Observer) bool { return o.isTotal() && o != totalOf(c.dc) }).Sum(c.key(), part)
	return Counts{Good: max(near.Good, total.Good), Bad: max(near.Bad, total.Bad)}.plus(far)
}

// Suspected tells whether a request that failed at the release is better tried
// at another one.
func (c *Canary) Suspected() bool {
	return c.order.State == OrderOpen && (c.bad || NewTest(&c.test).Suspects(c.sum()))
}

func (c Counts) plus(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// priorOld is how many good answers the rate of the others begins with.
const priorOld = 20

// level sets what counts as good by the failures that the service has anyway.
func (c *Canary) level(old Counts) {
	rate := float64(old.Bad) / float64(old.Bad+old.Good+priorOld)
	c.test.GoodRate = min(rate+goodOver, maxGoodRate)
	c.test.BadRate = min(c.test.GoodRate+badOver, 0.95)
}

// Counts returns what was seen of the release on trial and of the others.
func (c *Canary) Counts() (trial, old Counts) { return c.trial, c.old }

// Known returns what all VMs are known to have counted of the release on trial.
func (c *Canary) Known() Counts { return c.sumOf(onTrialPart, c.trial) }

// Verdict returns what is to be written of the order, if anything is: that it is
// under way, or how it ends.
func (c *Canary) Verdict(now time.Time) (OrderState, bool) {
	switch {
	case c.order.State != OrderOpen:
		return c.order.State, false
	case c.bad:
		return OrderUndone, true
	case c.blind():
		return OrderOpen, false
	case c.part(now) >= c.complete && c.Suspected():
		// A service with few requests gives few answers before the end. After
		// it there is no other release to go back to.
		return OrderUndone, true
	case c.part(now) >= c.complete:
		return OrderCompleted, true
	}
	return OrderOpen, c.order.Began.IsZero()
}
