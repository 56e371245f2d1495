// Package rollout moves a model to a new version step by step, and halts a bad
// one. It is pure: evidence and the time are given.
//
// Evidence is counted by every VM and merged by taking the larger count, so it
// may come late, twice and in any order. A halt only takes away, so it is in
// force where it arises at once and spreads without agreement; a step forward
// is a conditional write of the configuration, so two VMs that step at the
// same time make one step.
package rollout

import (
	"math"

	"woaddoor/config"
)

// Test is Wald's sequential probability ratio test between a good and a bad
// share of bad answers (A. Wald, Sequential Tests of Statistical Hypotheses,
// 1945). FalseAlarm and Miss are for the whole roll-out: half of FalseAlarm is
// shared by the tests of the steps, half by the alarms. The chance of passing a
// version whose share is BadRate is at most Miss at each step. Both hold up to
// the factors 1/(1-Miss) and 1/(1-FalseAlarm) of Wald's bounds.
type Test struct {
	onBad, onGood float64 // what one answer adds
	halt, pass    float64 // bounds
}

// alarmKinds is how many kinds of checks share the false-alarm rate: the test
// of each step, and the alarms.
const alarmKinds = 2

// NewTest returns the test of a roll-out.
func NewTest(ro *config.Rollout) Test {
	alarm := ro.FalseAlarm / alarmKinds / float64(max(len(ro.Steps), 1))
	return Test{
		onBad:  math.Log(ro.BadRate / ro.GoodRate),
		onGood: math.Log((1 - ro.BadRate) / (1 - ro.GoodRate)),
		halt:   math.Log((1 - ro.Miss) / alarm),
		pass:   math.Log(ro.Miss / (1 - alarm)),
	}
}

// Verdict is what a test says.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that more answers are needed.
	Undecided Verdict = iota
	// Passed means that the version is good, by the test's bounds.
	Passed
	// Bad means that the version is to be halted.
	Bad
)

// Counts are answers seen of a version.
type Counts struct {
	Good int64 `cbor:"1,keyasint"`
	Bad  int64 `cbor:"2,keyasint"`
}

// suspectPart is the part of the evidence for a halt from which a release is
// suspected.
const suspectPart = 0.4

// Suspects tells whether the counts speak against the version, though not yet
// enough to halt it.
func (t Test) Suspects(c Counts) bool { return t.sum(c) >= suspectPart*t.halt }

func (t Test) sum(c Counts) float64 { return float64(c.Bad)*t.onBad + float64(c.Good)*t.onGood }

// Judge returns the verdict on the counts.
func (t Test) Judge(c Counts) Verdict {
	sum := t.sum(c)
	switch {
	case sum >= t.halt:
		return Bad
	case sum <= t.pass:
		return Passed
	}
	return Undecided
}

// horizon is the number of answers over which Alarm keeps its false-alarm rate.
const horizon = 10_000

// Alarm is Page's cumulative sum test (E. S. Page, Continuous Inspection
// Schemes, 1954): it finds a version that was good and turns bad, of which the
// sequential test, with its good past, would take long to be convinced. Over
// horizon answers its false-alarm rate is at most the roll-out's, by the bound
// that each start exceeds the height h with a chance of at most exp(-h).
type Alarm struct {
	test   Test
	height float64
	sum    float64
}

// NewAlarm returns an alarm; parts is how many alarms share the roll-out's
// false-alarm rate (one a workspace, and one over all).
func NewAlarm(ro *config.Rollout, parts int) *Alarm {
	return &Alarm{test: NewTest(ro), height: math.Log(horizon * alarmKinds * float64(parts) / ro.FalseAlarm)}
}

// Observe takes in an answer and tells whether to halt.
func (a *Alarm) Observe(bad bool) bool {
	step := a.test.onGood
	if bad {
		step = a.test.onBad
	}
	a.sum = max(0, a.sum+step)
	return a.sum >= a.height
}
