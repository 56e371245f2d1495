package rollout

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
)

// OrderState is the state of a release rollout: its outcome, or OrderOpen while it is in progress.
type OrderState string

// States of a release rollout.
const (
	OrderOpen       OrderState = ""
	OrderCompleted  OrderState = "completed"
	OrderRolledBack OrderState = "rolled back"
)

// ReleaseOrder is a release rollout: an operator's request to move the requests of a
// service to a new release. The release's upstreams run alongside those of the other
// releases until the rollout ends.
type ReleaseOrder struct {
	Service contract.ServiceID
	Release string
	// IssuedAt is when the operator requested the rollout, on this VM's clock. Duration is how
	// long the rollout may take.
	IssuedAt time.Time
	Duration time.Duration
	State    OrderState
	// Name is the name of the rollout's object in the store (the platform's object store).
	Name string
	// StartedAt is the wall-clock time at which a VM first saw the rollout. That VM stores
	// StartedAt for VMs that start later. StartedAt is zero until then.
	StartedAt time.Time
	// Revision is the revision of the rollout's object in the platform's object store.
	Revision contract.Revision
}

// Stages of a release rollout, as fractions of the rollout's duration. Sessions may move to the
// release only in the second half of the rollout. Before that half, a VM sends no request to the
// release, because the VM does not know which sessions are active at other VMs.
// The trial (the first stage, with few sessions) may miss a release that turns bad later or fails
// only under more load. Even such a release must get no more than its allowed share of
// all requests of the rollout. The allowed share therefore limits the durations of the trial,
// of the two steps and of the final stage, in which all sessions use the release.
const (
	trialStart = 0.52
	// plannedFraction is the fraction of the allowed share of requests that the stages use.
	// The rest covers VMs that see the rollout at different times, and rising traffic.
	plannedFraction = 0.93
	// Fractions of the planned share of requests for the trial, the two steps and the final stage.
	trialFraction, stepsFraction, finalFraction = 0.2, 0.1, 0.7
	// maxTrialShare limits the fraction of sessions in the trial.
	maxTrialShare = 0.10
	// firstStepShare and secondStepShare are the fractions of sessions that use the release
	// in the two steps between the trial and the final stage.
	firstStepShare, secondStepShare = 0.25, 0.5
	// completionFraction is the fraction of the final stage after which the rollout is marked
	// completed. Requests at the other releases end before that moment.
	// The rest of the final stage leaves time to store the outcome.
	completionFraction = 0.2
)

// stage is a part of a release rollout. The stage begins at start, a fraction of the rollout's
// duration. From the start on, share is the fraction of the sessions that use the release.
type stage struct{ start, share float64 }

// planStages returns the stages of a release rollout, and the fraction of the rollout's duration
// at which the rollout is completed. The parameter share is the largest fraction of the service's
// requests that the release may get.
func planStages(share float64) (stages []stage, completion float64) {
	finalLength := finalFraction * plannedFraction * share
	stepLength := stepsFraction * plannedFraction * share / (firstStepShare + secondStepShare)
	finalStart := 1 - finalLength
	firstStepStart := finalStart - 2*stepLength
	trialShare := min(trialFraction*plannedFraction*share/(firstStepStart-trialStart), maxTrialShare)
	return []stage{{trialStart, trialShare}, {firstStepStart, firstStepShare}, {finalStart - stepLength, secondStepShare}, {finalStart, 1}}, finalStart + completionFraction*finalLength
}

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
	received   Evidence
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

// Values of ObservedCounts.Step in the evidence of a release rollout, which has no numbered steps.
const (
	trialStep    = 0
	baselineStep = 1
)

// totalObserver returns the observer (the name in evidence) that stands for a whole data centre.
// The counts of all VMs of data centre dc are added up under that observer.
func totalObserver(dc contract.DataCentreID) Observer {
	return Observer{VM: contract.VMID("total of " + string(dc))}
}

// Recipient is the relation of a VM that evidence is sent to, as seen from the sender.
type Recipient uint8

// Kinds of recipients.
const (
	// RecipientLocal is a VM of the sender's data centre.
	RecipientLocal Recipient = iota
	// RecipientHub is another hub of the sender's data centre, if the sender is a hub too.
	// A hub is a VM that forwards the evidence that it receives.
	RecipientHub
	// RecipientRemote is a VM of another data centre.
	RecipientRemote
)

// Evidence returns the counts of good and bad responses to send to another VM. Evidence returns nil
// if there are no counts or the rollout has ended. Recipients get one total for each data centre,
// so the size does not depend on the number of VMs. Only hubs (VMs that forward evidence)
// of the same data centre exchange the counts of each single VM of that data centre,
// because each hub receives counts from a different subset of the VMs.
func (c *Canary) Evidence(to Recipient, self Observer, dc contract.DataCentreID) Evidence {
	totals := c.RemoteEvidence(self, dc)
	if totals == nil || to == RecipientRemote {
		return totals
	}
	others := c.received.Filter(func(o Observer) bool { return o.isDataCentreTotal() && o != totalObserver(dc) })
	if to == RecipientHub {
		others = c.received.Filter(func(o Observer) bool { return o != self && o != totalObserver(dc) })
	}
	return append(append(c.localEvidence(self), totals...), others...)
}

// RemoteEvidence returns the counts to send to a VM of another data centre: only the
// total of the sender's own data centre, so the size does not depend on the number of VMs.
func (c *Canary) RemoteEvidence(self Observer, dc contract.DataCentreID) Evidence {
	if c.order.State != OrderOpen || c.trialCounts.Good+c.trialCounts.Bad == 0 && len(c.received) == 0 {
		return nil
	}
	local := c.received.Filter(func(o Observer) bool { return !o.isDataCentreTotal() && o != self })
	known := append(local, c.localEvidence(self)...).Total(totalObserver(dc))
	return Merge(known, c.received.Filter(func(o Observer) bool { return o == totalObserver(dc) }))
}

// localEvidence returns this VM's own counts of good and bad responses.
func (c *Canary) localEvidence(self Observer) Evidence {
	return Evidence{{self, c.versionKey(), trialStep, c.trialCounts}, {self, c.versionKey(), baselineStep, c.baselineCounts}}
}

// isDataCentreTotal reports whether the observer stands for all VMs of a data centre.
func (o Observer) isDataCentreTotal() bool { return strings.HasPrefix(string(o.VM), "total of ") }

// versionKey returns the identifier of the rollout in evidence (counts of good and bad responses).
func (c *Canary) versionKey() contract.VersionID {
	return contract.VersionID(string(c.order.Service) + "/" + c.order.Release)
}

// MergeEvidence merges the counts of good and bad responses of other VMs.
// The counts may arrive late, repeatedly and in any order.
// MergeEvidence returns true if the merged counts make the release count as bad.
func (c *Canary) MergeEvidence(e Evidence, self Observer, dc contract.DataCentreID) bool {
	c.dataCentre = dc
	for _, count := range e {
		if count.Version == c.versionKey() && count.Observer != self {
			c.received = Merge(c.received, Evidence{count})
		}
	}
	if c.bad || c.order.State != OrderOpen {
		return false
	}
	c.bad = c.totalsAreBad()
	return c.bad
}

// totalsAreBad reports whether the counts of all VMs together fail the sequential test.
func (c *Canary) totalsAreBad() bool {
	return NewSequentialTest(&c.testParams).Evaluate(c.trialTotals()) == Bad
}

// trialTotals returns the counts of all VMs for the release on trial. Before that, trialTotals
// updates the acceptable failure rate of the test.
func (c *Canary) trialTotals() Counts {
	c.updateGoodRate(c.totalCounts(baselineStep, c.baselineCounts))
	return c.totalCounts(trialStep, c.trialCounts)
}

// totalCounts adds up the known counts for trialStep or baselineStep. For this VM's data
// centre, totalCounts takes the larger of the received total and the sum over individual VMs.
// For each other data centre, totalCounts takes that data centre's total.
func (c *Canary) totalCounts(step int, local Counts) Counts {
	individual := c.received.Filter(func(o Observer) bool { return !o.isDataCentreTotal() }).Sum(c.versionKey(), step).add(local)
	total := c.received.Filter(func(o Observer) bool { return o == totalObserver(c.dataCentre) }).Sum(c.versionKey(), step)
	remote := c.received.Filter(func(o Observer) bool { return o.isDataCentreTotal() && o != totalObserver(c.dataCentre) }).Sum(c.versionKey(), step)
	return Counts{Good: max(individual.Good, total.Good), Bad: max(individual.Bad, total.Bad)}.add(remote)
}

// IsSuspect reports whether the release is probably bad. A request that failed at a
// suspect release should be retried at another release.
func (c *Canary) IsSuspect() bool {
	return c.order.State == OrderOpen && (c.bad || NewSequentialTest(&c.testParams).Suspects(c.trialTotals()))
}

// add returns the sum of both counts.
func (c Counts) add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// baselinePriorGood is the number of good responses that are assumed at the start
// for the other releases, when their failure rate is computed.
const baselinePriorGood = 20

// updateGoodRate sets the acceptable failure rate from the failure rate of the other releases.
func (c *Canary) updateGoodRate(baseline Counts) {
	rate := float64(baseline.Bad) / float64(baseline.Bad+baseline.Good+baselinePriorGood)
	c.testParams.GoodRate = min(rate+goodRateMargin, maxGoodRate)
	c.testParams.BadRate = min(c.testParams.GoodRate+badRateMargin, 0.95)
}

// LocalCounts returns what this VM has seen of the release on trial and of the other releases.
func (c *Canary) LocalCounts() (trial, baseline Counts) { return c.trialCounts, c.baselineCounts }

// TotalTrialCounts returns the known counts of all VMs for the release on trial.
func (c *Canary) TotalTrialCounts() Counts { return c.totalCounts(trialStep, c.trialCounts) }

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
