package rollout

import (
	"math"
	"time"
)

// smallExcess is the excess of the failure rate that the test of small excesses looks for, where the sequential test of
// assessFailures looks for one of badRateMargin. A release that fails under load only does so for some of its answers.
const smallExcess = 0.08

// Bounds of the logarithm of the likelihood ratio.
const (
	// badExcess is where the release is rolled back: an error in one of ten thousand.
	badExcess = 9.2
	// suspectExcess is where it is rolled back if it would be completed otherwise: one in a hundred.
	suspectExcess = 4.6
	// doubtfulExcess is above which a group of routes keeps the release from being completed. There are several groups, and
	// the likelihoods of each vary by some units.
	doubtfulExcess = 2
	// muchEvidence is below which it may be completed: one in a hundred. leastEvidence is that for a decision that has to be
	// made now, or the rollout ends late: one in twenty.
	muchEvidence, leastEvidence = -4.6, -3
	// excessPatience is the part of the rollout's duration, after its end, in which the decision waits for muchEvidence. A
	// release against which something still speaks then is rolled back.
	excessPatience = 0.5
	// minExcessAnswers is the number of answers of the release beyond which there will soon be enough for leastEvidence.
	minExcessAnswers = 2 * minJudged
)

// excess returns the logarithm of the likelihood that the release fails more often than the other releases by smallExcess,
// over that of the same failure rate: of all groups of routes together, each compared with itself, and of the group that
// has the highest.
func (c cells) excess() (all, highest float64) {
	_, groups := c.trialParts()
	for _, group := range groups {
		e := c.sum(0, group).excess()
		all += e
		highest = max(highest, e)
	}
	return all, highest
}

// excess returns the logarithm of the likelihood ratio of one group, each likelihood at the failure rate of the other
// releases for which it is the highest: that rate is known only as well as there are answers.
func (p partCounts) excess() float64 {
	others, trial := p.others(), p.begun()
	if others.total() == 0 {
		return 0
	}
	raised := maximum(func(rate float64) float64 {
		return others.logLikelihood(rate) + trial.logLikelihood(min(rate+smallExcess, 1))
	})
	same := Counts{Good: others.Good + trial.Good, Bad: others.Bad + trial.Bad}
	return raised - same.logLikelihood(float64(same.Bad)/float64(same.total()))
}

// begun returns the answers of the release that have begun, and those that failed: a failure mostly shows at once, and a
// stream may take longer than the time that is left.
func (p partCounts) begun() Counts {
	bad := int64(p[countBad])
	return Counts{Good: max(int64(p[countAnswered])-bad, int64(p[countGood])), Bad: bad}
}

// total returns the number of answers.
func (c Counts) total() int64 { return c.Good + c.Bad }

// logLikelihood returns the logarithm of the likelihood of the counts at a failure rate.
func (c Counts) logLikelihood(rate float64) float64 {
	sum := 0.0
	if c.Bad > 0 {
		sum += float64(c.Bad) * math.Log(rate)
	}
	if c.Good > 0 {
		sum += float64(c.Good) * math.Log(1-rate)
	}
	return sum
}

// maximum returns the maximum of a concave function of a rate from 0 to 1, by golden-section search.
func maximum(f func(rate float64) float64) float64 {
	const steps = 24
	low, high := 0.0, 1.0
	for range steps {
		left, right := high-(high-low)/math.Phi, low+(high-low)/math.Phi
		if f(left) >= f(right) {
			high = right
		} else {
			low = left
		}
	}
	return max(f(low), f((low+high)/2), f(high))
}

// assessExcess judges the failures of the release, however seldom they are.
func (c cells) assessExcess() Assessment {
	all, highest := c.excess()
	switch e := max(all, highest); {
	case e >= badExcess:
		return AssessedBad
	case e >= suspectExcess:
		return AssessedSuspect
	}
	return AssessedGood
}

// Parameters of the test of small shares of slow answers: it looks for a share of the ranks in the first slowRanks buckets
// that is higher by slowExcess than that of a release which is not slow.
const (
	slowRanks  = 2
	slowExcess = 0.15
)

// slowness returns the logarithm of the likelihood that more of the release's durations in a phase are slow, over that of
// the share of ranks that a release may have which is not slow. Few ranks show nothing.
func (p partCounts) slowness(phase Phase) float64 {
	low, n, first := 0.0, 0.0, countRank(phase, 0)
	for i := range rankBuckets {
		count := float64(p[first+i])
		n += count
		if i < slowRanks {
			low += count
		}
	}
	if n < minExcessAnswers {
		return math.Inf(-1)
	}
	share := rankBounds[slowRanks-1]
	return low*math.Log((share+slowExcess)/share) + (n-low)*math.Log((1-share-slowExcess)/(1-share))
}

// lacksEvidence reports whether something speaks against the release, or too little is known to complete it.
func (c *Canary) lacksEvidence(totals cells, now time.Time) bool {
	all, highest := totals.excess()
	sum := totals.sum(0, allGroups)
	wanted := c.wantedEvidence(min(sum.begun().total(), sum.others().total()), now)
	return max(all, sum.slowness(PhaseFirst), sum.slowness(PhaseEvent)) > wanted || highest > doubtfulExcess
}

// wantedEvidence returns the likelihood ratio below which a release may be completed if it and the others have so many
// answers each. Much is wanted except where the rollout would end late for it. Few answers may not reach it at all.
func (c *Canary) wantedEvidence(answers int64, now time.Time) float64 {
	elapsed := c.elapsedFraction(now)
	switch {
	case answers < minExcessAnswers, elapsed >= 1+excessPatience:
		return 0
	case c.plan.decideBy <= elapsed && elapsed < 1:
		return leastEvidence
	}
	return muchEvidence
}
