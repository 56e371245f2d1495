package rollout

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
)

// Canary decides which sessions of a service use a release on trial (a new release that
// is being tested), and whether the release is good. Every VM computes the assignment from
// the rollout and the session key, so all VMs send a session to the same release without
// coordination. A Canary does no I/O and is not safe for concurrent use.
type Canary struct {
	order      ReleaseOrder
	testParams config.Rollout
	alarm      *CUSUMAlarm
	slowness   *SlownessDetector
	// stages and completeAt are the schedule of the rollout.
	stages     []stage
	completeAt float64
	// ageKnown is true if the rollout's age was measured on a VM's running clock: this VM saw
	// the rollout before the rollout's start was stored, or received the age from such a VM.
	ageKnown bool
	// joinedLate is true if this VM first saw the rollout after the trial had started.
	// ageReceived is true once a VM that knows the rollout's age has sent it.
	joinedLate, ageReceived bool
	// trialCounts counts the responses that this VM has seen from the release on trial.
	// baselineCounts counts the responses that this VM has seen from the other releases,
	// and gives the service's usual failure rate.
	trialCounts, baselineCounts Counts
	// received holds the counts of other VMs.
	received Evidence
	// ends counts how this VM's attempts at the release on trial ended. compared is the number of this
	// VM's trial responses that were compared with responses of other releases.
	ends       map[string]int64
	compared   int64
	dataCentre contract.DataCentreID // data centre of this VM; empty until the first evidence is received
	bad        bool                  // whether the release counts as bad
	// rewrite is set if the store has lost the final state of the order,
	// so that the state must be written again.
	rewrite bool
}

// Parameters of the statistical test. A release is bad if its failure rate exceeds the acceptable
// failure rate by badRateMargin. The acceptable failure rate is goodRateMargin above the
// failure rate of the other releases. falseAlarmRate applies to the whole rollout.
const (
	badRateMargin  = 0.25
	goodRateMargin = 0.03
	falseAlarmRate = 0.001
	missRate       = 0.001
	maxGoodRate    = 0.6
)

// NewCanary returns the canary of a release rollout that this VM sees for the first time at now.
// The parameter share is the largest fraction of the service's requests that a bad release
// may get over the whole rollout.
func NewCanary(order ReleaseOrder, share float64, now time.Time) *Canary {
	c := &Canary{order: order, ageKnown: order.StartedAt.IsZero()}
	c.stages, c.completeAt = planStages(share)
	c.joinedLate = c.elapsedFraction(now) > trialStart
	c.testParams = config.Rollout{GoodRate: goodRateMargin, BadRate: goodRateMargin + badRateMargin, FalseAlarmProbability: falseAlarmRate, MissProbability: missRate}
	c.alarm = NewCUSUMAlarm(&c.testParams, 1)
	c.slowness = NewSlownessDetector()
	c.ends = make(map[string]int64)
	return c
}

// Order returns the release rollout in its newest known state.
func (c *Canary) Order() ReleaseOrder { return c.order }

// Update replaces the release rollout by a newer state of the same rollout.
// A rollout that has ended stays ended: if the store has returned from an older copy in which
// the rollout is open, its final state has to be written again.
func (c *Canary) Update(o ReleaseOrder) {
	issued := c.order.IssuedAt // measured on this VM's clock, which does not jump
	ended := c.order.State
	returned := o.Revision.Era() > c.order.Revision.Era()
	c.rewrite = o.State == OrderOpen && ended != OrderOpen && (returned || c.rewrite)
	c.order = o
	c.order.IssuedAt = issued
	if c.rewrite {
		c.order.State = ended
	}
}

// elapsedFraction returns the elapsed time as a fraction of the rollout's duration,
// from 0 at the start to 1 at the end. The fraction exceeds 1 once the rollout is overdue.
func (c *Canary) elapsedFraction(now time.Time) float64 {
	if c.order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(c.order.IssuedAt)) / float64(c.order.Duration)
}

// Share returns the fraction of sessions that use the release at now.
func (c *Canary) Share(now time.Time) float64 {
	switch {
	case c.order.State == OrderCompleted:
		return 1
	case c.order.State == OrderRolledBack || c.bad:
		return 0
	}
	share := 0.0
	for _, s := range c.stages {
		if c.elapsedFraction(now) >= s.start {
			share = s.share
		}
	}
	if c.lacksTrialResults() {
		return min(share, c.stages[0].share)
	}
	return share
}

// minTrialResponses is the number of responses of a release on trial that is enough to
// tell a good release from a release of which a third of the responses fail.
const minTrialResponses = 12

// lacksTrialResults reports whether this VM joined late and has not yet learned how the trial went.
func (c *Canary) lacksTrialResults() bool {
	if !c.joinedLate || c.ageReceived {
		return false
	}
	totals := c.trialTotals()
	return totals.Good+totals.Bad < minTrialResponses
}

// UsesRelease reports whether a request of a session goes to the release on trial.
func (c *Canary) UsesRelease(session uint64, now time.Time) bool {
	share := c.Share(now)
	return share > 0 && rampPosition(session, c.order) < share
}

// PastTrial reports whether the release has passed the trial stage and gets a large share of the
// sessions. A release past its trial also serves requests that no other release can take.
func (c *Canary) PastTrial(now time.Time) bool { return c.Share(now) >= firstStepShare }

// rampPosition maps a session to a position from 0 to 1 that is the same at every VM.
// Sessions with a lower position move to the release first.
func rampPosition(session uint64, o ReleaseOrder) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	d := xxhash.New()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(o.Release)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Response is the outcome of a response of a service that has an open release rollout.
type Response struct {
	// OnTrial is true for a response of the release on trial.
	OnTrial bool
	// Failed is true if the upstream itself failed the request.
	Failed bool
	Times  []Latency
}

// Observe records a response. A response counts as bad if it failed or took much longer than the
// responses of the other releases. Observe returns true if this response makes
// the release count as bad.
func (c *Canary) Observe(a Response, now time.Time) bool {
	if a.OnTrial && c.slowness.canCompare(a.Times, now) {
		c.compared++
	}
	slow := c.slowness.Observe(a.OnTrial, a.Times, now)
	tally := &c.baselineCounts
	if a.OnTrial {
		tally = &c.trialCounts
	}
	if a.Failed || slow {
		tally.Bad++
	} else {
		tally.Good++
	}
	if !a.OnTrial || c.bad || c.order.State != OrderOpen {
		return false
	}
	totalsBad := c.totalsAreBad()
	c.alarm.test = NewSequentialTest(&c.testParams)
	c.bad = c.alarm.Observe(a.Failed || slow) || totalsBad
	return c.bad
}

// RecordEnd counts how an attempt at the release on trial ended, whether or not its response is observed.
func (c *Canary) RecordEnd(how string) { c.ends[how]++ }

// Grounds is what a VM knows about a release on trial when it decides.
type Grounds struct {
	// Trial and Others count the responses that this VM has observed, FleetTrial and FleetOthers
	// those that all VMs have, as far as this VM knows.
	Trial, Others, FleetTrial, FleetOthers Counts
	// Compared is the number of this VM's trial responses that could be compared with others.
	Compared int64
	// Ends counts how this VM's attempts at the release ended.
	Ends map[string]int64
	// Sources is the number of VMs and data centres whose counts this VM has received.
	Sources int
}

// Grounds returns what this VM knows about the release on trial.
func (c *Canary) Grounds() Grounds {
	sources := make(map[Observer]bool)
	for _, count := range c.received {
		sources[count.Observer] = true
	}
	return Grounds{
		Trial: c.trialCounts, Others: c.baselineCounts,
		FleetTrial: c.totalCounts(trialStep, c.trialCounts), FleetOthers: c.totalCounts(baselineStep, c.baselineCounts),
		Compared: c.compared, Ends: maps.Clone(c.ends), Sources: len(sources),
	}
}

// Age returns the time since the operator requested the rollout, and whether it was
// measured on a VM's running clock.
func (c *Canary) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(c.order.IssuedAt), c.ageKnown
}

// MergeOrderAge merges the rollout's age that another VM has measured on its clock.
// A measured age replaces an age that this VM derived from a stored time of day.
// Of two measured ages, the larger one is correct: the VM that saw the rollout first measured it.
func (c *Canary) MergeOrderAge(age time.Duration, now time.Time) {
	issued := now.Add(-age)
	c.ageReceived = true
	if !c.ageKnown || issued.Before(c.order.IssuedAt) {
		c.order.IssuedAt, c.ageKnown = issued, true
	}
}

// totalsAreBad reports whether the counts of all VMs together fail the sequential test.
func (c *Canary) totalsAreBad() bool {
	return NewSequentialTest(&c.testParams).Evaluate(c.trialTotals()) == Bad
}

// IsSuspect reports whether the release is probably bad. A request that failed at a
// suspect release should be retried at another release.
func (c *Canary) IsSuspect() bool {
	return c.order.State == OrderOpen && (c.bad || NewSequentialTest(&c.testParams).Suspects(c.trialTotals()))
}

// baselinePriorGood is the number of good responses that are assumed at the start
// for the other releases, when their failure rate is computed.
const baselinePriorGood = 20

// updateGoodRate sets the acceptable failure rate from the failure rate of the other releases.
func (c *Canary) updateGoodRate(baseline Counts) {
	rate := float64(baseline.Bad) / float64(baseline.Bad+baseline.Good+baselinePriorGood)
	c.testParams.GoodRate = min(rate+goodRateMargin, maxGoodRate)
	c.testParams.BadRate = min(c.testParams.GoodRate+badRateMargin, 0.95)
}

// NextState returns the state to store for the rollout, and whether that state has to be stored
// now. The state is OrderOpen when the rollout has just started, or the rollout's final state.
func (c *Canary) NextState(now time.Time) (OrderState, bool) {
	switch {
	case c.order.State != OrderOpen:
		return c.order.State, c.rewrite
	case c.bad:
		return OrderRolledBack, true
	case c.lacksTrialResults():
		return OrderOpen, false
	case c.elapsedFraction(now) >= c.completeAt && c.IsSuspect():
		// A service with few requests gives too few responses to reject the release before its
		// completion. After the completion there is no other release to go back to.
		return OrderRolledBack, true
	case c.elapsedFraction(now) >= c.completeAt:
		return OrderCompleted, true
	}
	return OrderOpen, c.order.StartedAt.IsZero()
}
