package rollout

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Canary decides which sessions of a service use a release on trial (a new release that
// is being tested), and whether the release is good. Every VM computes the assignment from
// the rollout and the session key, so all VMs send a session to the same release without
// coordination. A Canary does no I/O and is not safe for concurrent use.
type Canary struct {
	order ReleaseOrder
	plan  plan
	// ageKnown is true if the rollout's age was measured on a VM's running clock: this VM saw
	// the rollout before the rollout's start was stored, or received the age from such a VM.
	ageKnown bool
	// joinedLate is true if this VM first saw the rollout after the trial had started.
	// ageReceived is true once a VM that knows the rollout's age has sent it.
	joinedLate, ageReceived bool
	// reference holds durations of the other releases that this VM has measured.
	reference *reference
	// open holds the attempts at the release on trial that are under way.
	open map[*Attempt]bool
	// own holds what this VM has counted, and received what other VMs have.
	own      cells
	received map[Observer]cells
	// dataCentre is the data centre of this VM; empty until the first evidence is received.
	dataCentre contract.DataCentreID
	bad        bool // whether the release counts as bad
	// rewrite is set if the store has lost the final state of the order,
	// so that the state must be written again.
	rewrite bool
	// ends counts how this VM's attempts at the release on trial ended.
	ends        map[string]int64
	independent independentRequests
}

// NewCanary returns the canary of a release rollout that this VM sees for the first time at now.
// The parameter share is the largest fraction of the service's requests that a bad release
// may get over the whole rollout.
func NewCanary(order ReleaseOrder, share float64, now time.Time) *Canary {
	c := &Canary{
		order: order, plan: newPlan(share), ageKnown: order.StartedAt.IsZero(), reference: newReference(),
		open: make(map[*Attempt]bool), own: make(cells), received: make(map[Observer]cells), ends: make(map[string]int64),
		independent: independentRequests{share: share},
	}
	c.joinedLate = c.elapsedFraction(now) > trialStart
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
	share := c.plan.shareAt(c.elapsedFraction(now))
	if c.lacksTrialResults() || c.isUndecided(now) {
		return min(share, c.plan.trialShare())
	}
	return share
}

// stage returns the stage of the rollout at now, by which evidence is counted.
func (c *Canary) stage(now time.Time) uint8 { return c.plan.stageAt(c.elapsedFraction(now)) }

// lacksTrialResults reports whether this VM joined late and has not yet learned how the trial went.
func (c *Canary) lacksTrialResults() bool {
	if !c.joinedLate || c.ageReceived {
		return false
	}
	totals := c.trialTotals()
	return totals.Good+totals.Bad < minJudged
}

// UsesRelease reports whether a request of a session goes to the release on trial. The parameter share is the fraction of
// such requests that do.
func (c *Canary) UsesRelease(session uint64, share float64) bool {
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

// Evaluate judges the release by what is known of it, and reports whether the release counts as bad
// from now on.
func (c *Canary) Evaluate() bool {
	if c.bad || c.order.State != OrderOpen {
		return false
	}
	c.bad = c.totals().assess() == AssessedBad
	return c.bad
}

// RecordEnd counts how an attempt at the release on trial ended, whether or not its response is observed.
func (c *Canary) RecordEnd(how string) { c.ends[how]++ }

// Grounds is what a VM knows about a release on trial when it decides.
type Grounds struct {
	// Own is what this VM has counted, Fleet what all VMs have, as far as this VM knows.
	Own, Fleet GroundCounts
	// Ends counts how this VM's attempts at the release ended.
	Ends map[string]int64
	// Open is the number of this VM's attempts at the release that are under way.
	Open int
	// Sources is the number of VMs and data centres whose counts this VM has received.
	Sources int
}

// GroundCounts are counts of attempts and of ranks.
type GroundCounts struct {
	// Sent counts attempts at the release on trial, Trial and Others answers of the release and of others.
	Sent          int64
	Trial, Others Counts
	// Ranks counts the release's durations by phase and rank among those of the other releases, the slowest first.
	Ranks [phaseCount][rankBuckets]uint32
}

// groundCounts returns the counts of a part of a rollout.
func (p partCounts) groundCounts() GroundCounts {
	g := GroundCounts{Sent: int64(p[countSent]), Trial: p.trial(), Others: p.others()}
	for phase := range phaseCount {
		copy(g.Ranks[phase][:], p[countRank(phase, 0):])
	}
	return g
}

// Grounds returns what this VM knows about the release on trial.
func (c *Canary) Grounds() Grounds {
	return Grounds{
		Own: c.own.sum(0, allGroups).groundCounts(), Fleet: c.totals().sum(0, allGroups).groundCounts(),
		Ends: maps.Clone(c.ends), Open: len(c.open), Sources: len(c.received),
	}
}

// Harm returns how much of what is known speaks against the release. It never falls.
func (c *Canary) Harm() uint32 { return c.totals().harm() }

// OwnHarm returns the part of Harm that this VM has counted.
func (c *Canary) OwnHarm() uint32 { return c.own.harm() }

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

// IsSuspect reports whether the release is probably bad. A request that failed at a
// suspect release should be retried at another release.
func (c *Canary) IsSuspect() bool {
	return c.order.State == OrderOpen && (c.bad || c.totals().assess() <= AssessedSuspect)
}

// trialTotals returns the answers of the release on trial that all VMs have counted.
func (c *Canary) trialTotals() Counts { return c.totals().sum(0, allGroups).trial() }

// isUndecided reports whether the time for the decision has passed although the answers of most attempts at the
// release have not begun. Such a release must not be completed.
func (c *Canary) isUndecided(now time.Time) bool {
	return c.elapsedFraction(now) >= c.plan.decideBy && c.totals().sum(0, allGroups).unanswered() > 1-minAnsweredPart
}

// hasTraffic reports whether the release has been sent enough requests that waiting for answers can tell more.
func (c cells) hasTraffic() bool { return c.sum(0, allGroups)[countSent] >= minJudged }

// judgedAtFullShare reports whether enough answers of the release came while it got all requests.
func (c cells) judgedAtFullShare() bool {
	full := c.sum(fullStage, allGroups).trial()
	return full.Good+full.Bad >= minJudged
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
	case c.elapsedFraction(now) < c.plan.completeAt:
		return OrderOpen, c.order.StartedAt.IsZero()
	}
	return c.decide(now)
}

// DecisionDue reports whether the rollout is open although it may be completed, and each answer may decide on it.
func (c *Canary) DecisionDue(now time.Time) bool {
	elapsed := c.elapsedFraction(now)
	return c.order.State == OrderOpen && !c.bad && elapsed >= c.plan.completeAt && elapsed <= 1+excessPatience
}

// decide returns the state to store for an open rollout that may be completed, and whether it has to be stored now.
func (c *Canary) decide(now time.Time) (OrderState, bool) {
	totals, elapsed := c.totals(), c.elapsedFraction(now)
	assessment := totals.assess()
	switch {
	case assessment <= AssessedSuspect:
		// A service with few requests gives too few responses to reject the release before its
		// completion. After the completion there is no other release to go back to.
		return OrderRolledBack, true
	case !totals.hasTraffic():
		return OrderCompleted, true
	case !c.lacksEvidence(totals, now) && (assessment == AssessedGood && totals.judgedAtFullShare() ||
		elapsed >= c.plan.decideBy && !c.isUndecided(now) && assessment > AssessedDoubtful):
		return OrderCompleted, true
	case elapsed >= 1+excessPatience:
		return OrderRolledBack, true
	}
	// The decision waits for more answers, beyond the rollout's duration if it must:
	// a late decision costs less than a bad release that is completed.
	return OrderOpen, false
}
