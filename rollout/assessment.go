package rollout

import (
	"math"
	"slices"

	"woaddoor/config"
)

// Assessment is what the counters of all VMs show of a release on trial.
type Assessment uint8

// Assessments of a release on trial, from worst to best.
const (
	// AssessedBad means that the release must be rolled back now.
	AssessedBad Assessment = iota
	// AssessedSuspect means that the release is probably bad: it must not be completed.
	AssessedSuspect
	// AssessedDoubtful means that the counters speak against the release, but too little to roll it back.
	AssessedDoubtful
	// AssessedUnknown means that the counters show too little, and nothing against the release.
	AssessedUnknown
	// AssessedGood means that the release is good, within the error bounds of the tests.
	AssessedGood
)

// Parameters of the test of failures. A release is bad if its failure rate exceeds the acceptable
// failure rate by badRateMargin. The acceptable failure rate is goodRateMargin above the
// failure rate of the other releases. falseAlarmRate applies to the whole rollout.
const (
	badRateMargin  = 0.25
	goodRateMargin = 0.03
	falseAlarmRate = 0.001
	missRate       = 0.001
	maxGoodRate    = 0.6
	// baselinePriorGood is the number of good responses that are assumed of the other releases.
	baselinePriorGood = 20
)

// Parameters of the test of ranks: the likelihood ratio test of Berk and Jones (1979), with the bounds of the
// rank buckets. A release that is not slower than tolerated has a share of at most x of its ranks below x. The
// statistic is the largest log-likelihood ratio over the bounds, and the chance that it exceeds z is at
// most the number of bounds times exp(-z).
const (
	doubtfulRankStatistic = 2.0
	// slownessFalseAlarmRate is the chance, over the whole rollout, that a release that is not slow counts as slow.
	slownessFalseAlarmRate = 0.002
	// minRankExcess is the smallest excess over the share for which a release counts as slow, however many
	// ranks there are.
	minRankExcess = 0.1
)

// Bounds of the test of ranks. The phases share slownessFalseAlarmRate.
var (
	badRankStatistic     = math.Log(float64(phaseCount) * float64(rankBuckets-1) / slownessFalseAlarmRate)
	suspectRankStatistic = 0.6 * badRankStatistic
)

// Numbers of answers that are needed to find a release good.
const (
	// minJudged is the number of responses of a release on trial that is enough to
	// tell a good release from a release of which a third of the responses fail.
	minJudged = 12
	// minAnsweredPart is the part of the attempts that must have been answered or have failed.
	minAnsweredPart = 0.5
)

// assess judges the counters of all VMs: the whole rollout, and each later part of it, since a release may turn
// bad or fail only under load; all routes together, and each group of routes.
func (c cells) assess() Assessment {
	worst := min(c.assessExcess(), c.sum(0, allGroups).assess(0, 0))
	stages, groups := c.trialParts()
	for i, stage := range stages {
		for _, group := range append(groups, allGroups) {
			base := c.sum(0, group).others().failureRate() // a late part may have no answers of the other releases
			margin := 0.0
			if i > 0 {
				margin += math.Log(float64(len(stages)))
			}
			if group != allGroups {
				margin += math.Log(float64(len(groups)))
			}
			// There are many parts, so one that is only suspect raises doubt about the release.
			switch c.sum(stage, group).assess(margin, base) {
			case AssessedBad:
				return AssessedBad
			case AssessedSuspect:
				worst = min(worst, AssessedDoubtful)
			}
		}
	}
	return worst
}

// trialParts returns the stages and the groups of routes in which attempts at the release were sent.
func (c cells) trialParts() (stages, groups []uint8) {
	for key, counts := range c {
		if counts[countSent] == 0 {
			continue
		}
		if !slices.Contains(stages, key.stage) {
			stages = append(stages, key.stage)
		}
		if !slices.Contains(groups, key.group) {
			groups = append(groups, key.group)
		}
	}
	slices.Sort(stages)
	slices.Sort(groups)
	return stages, groups
}

// allGroups stands for all groups of routes.
const allGroups = routeGroups

// sum adds up the counters from a stage on, of one group of routes or of all.
func (c cells) sum(from, group uint8) partCounts {
	var sum partCounts
	for key, counts := range c {
		if key.stage < from || group != allGroups && key.group != group {
			continue
		}
		for i, n := range counts {
			sum[i] += n
		}
	}
	return sum
}

// partCounts are the counters of a part of a rollout.
type partCounts [cellCounters]uint32

// trial returns the responses of the release on trial, others those of the other releases.
func (p partCounts) trial() Counts {
	return Counts{Good: int64(p[countGood]), Bad: int64(p[countBad])}
}

func (p partCounts) others() Counts {
	return Counts{Good: int64(p[countOthersGood]), Bad: int64(p[countOthersBad])}
}

// unanswered returns the share of the attempts at the release whose answer has not begun and that have not failed.
func (p partCounts) unanswered() float64 {
	ran := float64(p[countSent]) - float64(p[countNotRun])
	if ran < minJudged {
		return 0
	}
	return 1 - float64(p[countAnswered])/ran
}

// assess judges the counters of a part. The parameter margin raises the bounds of the tests,
// for parts of which there are many. The other releases are taken to fail at the rate base at least.
func (p partCounts) assess(margin, base float64) Assessment {
	return min(p.assessFailures(margin, base), p.assessRanks(PhaseFirst, margin), p.assessRanks(PhaseEvent, margin))
}

// failureRate returns the failure rate of the other releases, by what was counted and baselinePriorGood.
func (c Counts) failureRate() float64 {
	return float64(c.Bad) / float64(c.Bad+c.Good+baselinePriorGood)
}

// assessFailures tests the failure rate of the release.
func (p partCounts) assessFailures(margin, base float64) Assessment {
	good := min(max(p.others().failureRate(), base)+goodRateMargin, maxGoodRate)
	test := NewSequentialTest(&config.Rollout{
		GoodRate: good, BadRate: min(good+badRateMargin, 0.95), FalseAlarmProbability: falseAlarmRate, MissProbability: missRate,
	})
	ratio := test.logLikelihoodRatio(p.trial())
	switch {
	case ratio >= test.haltBound+margin:
		return AssessedBad
	case ratio >= suspectFraction*test.haltBound+margin:
		return AssessedSuspect
	case ratio > 0:
		return AssessedDoubtful
	case ratio <= test.passBound:
		return AssessedGood
	}
	return AssessedUnknown
}

// assessRanks tests whether the release is slow in a phase. Too few ranks show nothing.
func (p partCounts) assessRanks(phase Phase, margin float64) Assessment {
	n, statistic := p.rankStatistic(phase)
	switch {
	case statistic >= badRankStatistic+margin:
		return AssessedBad
	case statistic >= suspectRankStatistic+margin:
		return AssessedSuspect
	case statistic >= doubtfulRankStatistic:
		return AssessedDoubtful
	case phase == PhaseFirst && n < minJudged:
		return AssessedUnknown
	}
	return AssessedGood
}

// rankStatistic returns the number of ranks in a phase, and the largest log-likelihood ratio of the shares of
// ranks below the bounds.
func (p partCounts) rankStatistic(phase Phase) (n, statistic float64) {
	first := countRank(phase, 0)
	for i := range rankBuckets {
		n += float64(p[first+i])
	}
	below, variance := 0.0, p.rankVariance(n)
	for i, bound := range rankBounds[:rankBuckets-1] {
		below += float64(p[first+i])
		if share := below / max(n, 1); share >= bound+minRankExcess {
			statistic = max(statistic, n/variance*divergence(share, bound))
		}
	}
	return n, statistic
}

// rankVariance returns how much the variance of the share of n ranks is larger than if they had no reference
// durations in common.
func (p partCounts) rankVariance(n float64) float64 {
	others := p.others()
	return 1 + min(ranksPerReference, n/max(float64(others.Good+others.Bad), 1))
}

// divergence returns the Kullback-Leibler divergence of a share of p from a share of q, in nats.
func divergence(p, q float64) float64 {
	d := p * math.Log(p/q)
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}
