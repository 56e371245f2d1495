// Package rollout moves a model to a new version step by step and halts a bad version. The package
// also puts new releases of a service on trial (on a few sessions first). The package does no I/O:
// the counts of good and bad responses and the current time are parameters.
//
// Every VM counts responses. Merging two counts keeps the larger one, so counts may arrive late,
// repeatedly and in any order. A halt only removes a version from use.
// A halt therefore takes effect
// immediately on the VM that decides it, and spreads without agreement. A step forward is
// a conditional write of the configuration, so two VMs that advance a rollout at the same time
// make only one step.
package rollout

import (
	"math"

	"woaddoor/config"
)

// SequentialTest is Wald's sequential probability ratio test between a good and a bad rate of bad
// responses (A. Wald, Sequential Tests of Statistical Hypotheses, 1945).
// The test takes its error bounds from config.Rollout.
// FalseAlarmProbability is the bound for the whole rollout: the tests of all steps share one half
// of this probability, and the CUSUM alarms share the other half.
// MissProbability bounds, at each step, the chance of passing a version whose rate is BadRate.
// Both bounds hold up to the factors 1/(1-MissProbability) and 1/(1-FalseAlarmProbability) of
// Wald's bounds.
type SequentialTest struct {
	badIncrement, goodIncrement float64 // added to the log-likelihood ratio for each response
	haltBound, passBound        float64 // bounds of the log-likelihood ratio: halt above, pass below
}

// checkKinds is the number of kinds of checks that share the false-alarm rate:
// sequential tests of the steps, and CUSUM alarms.
const checkKinds = 2

// NewSequentialTest returns the test with the parameters of a rollout.
func NewSequentialTest(ro *config.Rollout) SequentialTest {
	falseAlarm := ro.FalseAlarmProbability / checkKinds / float64(max(len(ro.Steps), 1))
	return SequentialTest{
		badIncrement:  math.Log(ro.BadRate / ro.GoodRate),
		goodIncrement: math.Log((1 - ro.BadRate) / (1 - ro.GoodRate)),
		haltBound:     math.Log((1 - ro.MissProbability) / falseAlarm),
		passBound:     math.Log(ro.MissProbability / (1 - falseAlarm)),
	}
}

// Verdict is the result of a sequential test.
type Verdict uint8

// Verdicts of a sequential test.
const (
	// Undecided means that more responses are needed.
	Undecided Verdict = iota
	// Passed means that the version is good, within the test's error bounds.
	Passed
	// Bad means that the version has to be halted.
	Bad
)

// Counts are the numbers of good and bad responses of a version.
type Counts struct {
	Good int64 `cbor:"1,keyasint"`
	Bad  int64 `cbor:"2,keyasint"`
}

// suspectFraction is the fraction of the halt bound from which a version is suspected to be bad.
const suspectFraction = 0.4

// Suspects reports whether the counts indicate a bad version, possibly without
// reaching the bound for halting it.
func (t SequentialTest) Suspects(c Counts) bool {
	return t.logLikelihoodRatio(c) >= suspectFraction*t.haltBound
}

// logLikelihoodRatio returns the logarithm of a quotient: the likelihood of the counts
// for a bad version, divided by the likelihood of the counts for a good version.
func (t SequentialTest) logLikelihoodRatio(c Counts) float64 {
	return float64(c.Bad)*t.badIncrement + float64(c.Good)*t.goodIncrement
}

// Evaluate returns the verdict for the counts.
func (t SequentialTest) Evaluate(c Counts) Verdict {
	ratio := t.logLikelihoodRatio(c)
	switch {
	case ratio >= t.haltBound:
		return Bad
	case ratio <= t.passBound:
		return Passed
	}
	return Undecided
}

// alarmHorizon is the number of responses over which CUSUMAlarm keeps its false-alarm rate.
const alarmHorizon = 10_000

// CUSUMAlarm is Page's cumulative sum test (E. S. Page, Continuous Inspection Schemes, 1954).
// CUSUMAlarm detects a good version that turns bad. The sequential test finds such a version
// only slowly, because the earlier good responses still count.
// Over alarmHorizon responses, the false-alarm rate of CUSUMAlarm is at most that of the rollout:
// after any one start, the chance that the sum exceeds a height h is at most exp(-h).
type CUSUMAlarm struct {
	test      SequentialTest
	threshold float64
	sum       float64
}

// NewCUSUMAlarm returns an alarm.
// The parameter alarms is the number of alarms that share the rollout's false-alarm rate:
// one alarm for each workspace, and one alarm over all workspaces.
func NewCUSUMAlarm(ro *config.Rollout, alarms int) *CUSUMAlarm {
	return &CUSUMAlarm{test: NewSequentialTest(ro), threshold: math.Log(alarmHorizon * checkKinds * float64(alarms) / ro.FalseAlarmProbability)}
}

// Observe records a response and reports whether to halt the version.
func (a *CUSUMAlarm) Observe(bad bool) bool {
	increment := a.test.goodIncrement
	if bad {
		increment = a.test.badIncrement
	}
	a.sum = max(0, a.sum+increment)
	return a.sum >= a.threshold
}
