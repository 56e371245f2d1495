package rollout

import (
	"encoding/binary"
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
	// Issued is when the order was given, Length how long it may take.
	Issued time.Time
	Length time.Duration
	State  OrderState
	// Name is that of the order in the store.
	Name string
	// Revision is that of the order's object.
	Revision contract.Revision
}

// CanaryOptions set up a Canary.
type CanaryOptions struct {
	// Share is the largest part of the service's requests that a bad release
	// may get over the whole order.
	Share float64
}

// Stages of an order, as parts of its length. Sessions may move to the release
// on trial from half of the order on, so before that only sessions that begin
// are put there; what is left after the last stage is for requests in flight
// at the others to end.
const (
	movesFrom    = 0.53
	completeFrom = 0.90
	// trialShare is the part of the allowed share that sessions on trial use
	// before sessions may move: the rest is left for the stages after that.
	trialShare = 0.6
)

// stages are the parts of sessions on trial after movesFrom.
var stages = []struct{ from, share float64 }{{0.53, 0.25}, {0.58, 0.5}, {0.64, 1}}

// Canary decides which of a service's sessions go to a release on trial, and
// whether it is good. Every VM computes the same from the order and a session's
// key, so that a session meets the same release at each VM without a word
// between them. It is a pure state machine; its owner locks it.
type Canary struct {
	opts  CanaryOptions
	order Order
	test  config.Rollout
	alarm *Alarm
	// trial and old are what was seen of the two; old gives the rate of
	// failures that the service has anyway.
	trial, old Counts
	bad        bool
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

// NewCanary returns the canary of an order.
func NewCanary(order Order, opts CanaryOptions) *Canary {
	c := &Canary{opts: opts, order: order}
	c.test = config.Rollout{GoodRate: goodOver, BadRate: goodOver + badOver, FalseAlarm: falseAlarm, Miss: missed}
	c.alarm = NewAlarm(&c.test, 1)
	return c
}

// Order returns the order.
func (c *Canary) Order() Order { return c.order }

// Update takes in a newer state of the same order.
func (c *Canary) Update(o Order) {
	issued := c.order.Issued
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
	share := c.opts.Share * trialShare
	for _, s := range stages {
		if c.part(now) >= s.from {
			share = s.share
		}
	}
	return share
}

// MayMove tells whether sessions that began elsewhere may move to the release.
func (c *Canary) MayMove(now time.Time) bool {
	if c.order.State == OrderCompleted {
		return true
	}
	return c.order.State == OrderOpen && !c.bad && c.part(now) >= movesFrom
}

// Choose tells whether a request goes to the release on trial. last is the
// release that its session was on last; empty when it begins.
func (c *Canary) Choose(last string, session uint64, now time.Time) bool {
	share := c.Share(now)
	switch {
	case share == 0:
		return false
	case last == c.order.Release:
		return true
	case last != "" && !c.MayMove(now):
		return false
	}
	return point(session, c.order) < share
}

// point places a session in the ramp, 0 to 1, the same at every VM.
func point(session uint64, o Order) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	d := xxhash.New()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(o.Release)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Observe takes in an answer of the release on trial, or of another one. It
// returns whether the release has just been found bad.
func (c *Canary) Observe(onTrial, bad bool) bool {
	counts := &c.old
	if onTrial {
		counts = &c.trial
	}
	if bad {
		counts.Bad++
	} else {
		counts.Good++
	}
	if !onTrial || c.bad {
		return false
	}
	c.level()
	c.alarm.test = NewTest(&c.test)
	c.bad = c.alarm.Observe(bad) || NewTest(&c.test).Judge(c.trial) == Bad
	return c.bad
}

// priorOld is how many good answers the rate of the others begins with.
const priorOld = 20

// level sets what counts as good by the failures that the service has anyway.
func (c *Canary) level() {
	rate := float64(c.old.Bad) / float64(c.old.Bad+c.old.Good+priorOld)
	c.test.GoodRate = min(rate+goodOver, maxGoodRate)
	c.test.BadRate = min(c.test.GoodRate+badOver, 0.95)
}

// Counts returns what was seen of the release on trial and of the others.
func (c *Canary) Counts() (trial, old Counts) { return c.trial, c.old }

// Verdict returns how the order is to end, if it is to end now.
func (c *Canary) Verdict(now time.Time) (OrderState, bool) {
	switch {
	case c.order.State != OrderOpen:
		return c.order.State, false
	case c.bad:
		return OrderUndone, true
	case c.part(now) >= completeFrom:
		return OrderCompleted, true
	}
	return OrderOpen, false
}
