package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
)

// testRollout returns a rollout in four steps with a good rate of 2% and a bad rate of 10%.
func testRollout() *config.Rollout {
	return &config.Rollout{
		Model: "m", From: "m@1", To: "m@2", Steps: []float64{1, 10, 50, 100},
		GoodRate: 0.02, BadRate: 0.1, FalseAlarmProbability: 0.01, MissProbability: 0.01, RatingTimeout: time.Minute,
	}
}

// runSequentialTest feeds the test random responses, bad at the given rate, and returns the verdict
// and the number of responses it took.
func runSequentialTest(ro *config.Rollout, rate float64, r *rand.Rand) (Verdict, int) {
	var c Counts
	for n := 1; ; n++ {
		if r.Float64() < rate {
			c.Bad++
		} else {
			c.Good++
		}
		if v := NewSequentialTest(ro).Evaluate(c); v != Undecided {
			return v, n
		}
	}
}

// TestErrorRatesStayWithinBounds checks the rates of false alarms and misses by seeded simulation.
func TestErrorRatesStayWithinBounds(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	const runs = 4000
	halted, passed := 0, 0
	for range runs {
		if v, _ := runSequentialTest(testRollout(), 0.02, r); v == Bad {
			halted++
		}
		if v, _ := runSequentialTest(testRollout(), 0.10, r); v == Passed {
			passed++
		}
	}
	is.True(halted <= runs*15/1000) // 1% and the tolerance of Wald's bounds
	is.True(passed <= runs*15/1000)
}

// TestMergeToleratesDuplicatesAndReordering checks that evidence may arrive twice and in any order.
func TestMergeToleratesDuplicatesAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Evidence
		latest := make(map[Observer]Counts)
		for i := range rapid.IntRange(1, 4).Draw(t, "observers") {
			o := Observer{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}
			var c Counts
			for range rapid.IntRange(1, 4).Draw(t, "growth") {
				c.Good += rapid.Int64Range(0, 9).Draw(t, "good")
				c.Bad += rapid.Int64Range(0, 3).Draw(t, "bad")
				all = append(all, Evidence{{Observer: o, Version: "m@2", Counts: c}})
			}
			latest[o] = c
		}
		var merged Evidence
		for _, e := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			merged = Merge(merged, e)
		}
		var want Counts
		for _, c := range latest {
			want.Good += c.Good
			want.Bad += c.Bad
		}
		if got := merged.Sum("m@2", 0); got != want {
			t.Fatalf("merged counts are %+v, want %+v", got, want)
		}
	})
}

// TestConcurrentStepsAreNeitherSkippedNorRepeated lets several VMs decide steps from the progress
// they last read and write them on condition that the progress is unchanged. No step may be
// skipped or repeated, and none may follow a halt. A naive implementation that increments a step
// counter in memory skips steps.
func TestConcurrentStepsAreNeitherSkippedNorRepeated(t *testing.T) {
	naiveSkips := 0
	rapid.Check(t, func(t *rapid.T) {
		ro := testRollout()
		var stored *config.Progress
		naiveStep := 0
		lastRead := make([]*config.Progress, 3) // the progress that each VM last read
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			if rapid.Bool().Draw(t, "reads") {
				lastRead[i] = stored
				continue
			}
			step := 0
			if lastRead[i] != nil {
				step = lastRead[i].Step
			}
			s := StepInput{
				Rollout: ro, Progress: lastRead[i], Loaded: true, StepSince: now,
				Evidence: Evidence{{Version: "m@2", Step: step, Counts: Counts{Good: 1000}}},
				Halted:   rapid.IntRange(0, 30).Draw(t, "halted") == 0,
			}
			next, _ := Next(s, now)
			if next == nil {
				continue
			}
			naiveStep++
			if naiveStep > step+1 {
				naiveSkips++
			}
			if lastRead[i] != stored { // the conditional write fails
				continue
			}
			if stored != nil && (stored.State != config.Ramping || next.Step > stored.Step+1 || next.Step < stored.Step) {
				t.Fatalf("invalid step from %+v to %+v", *stored, *next)
			}
			if stored == nil && next.Step != 0 {
				t.Fatalf("rollout started at %+v", *next)
			}
			stored = next
		}
	})
	is.New(t).True(naiveSkips > 0)
}

// TestNextDecision checks the decision and the reason of Next for each kind of input.
func TestNextDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	good := Evidence{{Version: "m@2", Counts: Counts{Good: 1000}}}
	ramping := &config.Progress{Model: "m", To: "m@2", State: config.Ramping}
	for name, c := range map[string]struct {
		input  StepInput
		state  config.RolloutState // empty for no change
		reason Reason
	}{
		"data centre unreachable": {StepInput{Progress: ramping, Evidence: good, DataCentreUnreachable: true, StepSince: now}, "", ReasonDataCentreUnreachable},
		"bad":                     {StepInput{Progress: ramping, Evidence: Evidence{{Version: "m@2", Counts: Counts{Bad: 50}}}, DataCentreUnreachable: true, StepSince: now}, config.Halted, ReasonBad},
		"no ratings":              {StepInput{Progress: ramping, StepSince: now.Add(-time.Hour)}, config.Halted, ReasonRatingsTimeout},
		"halted":                  {StepInput{Progress: ramping, Evidence: good, Halted: true, StepSince: now}, config.Halted, ReasonHalted},
		"not loaded":              {StepInput{}, "", ReasonNotLoaded},
		"undecided":               {StepInput{Progress: ramping, StepSince: now}, "", ReasonAwaitingRatings},
		"passed":                  {StepInput{Progress: ramping, Evidence: good, StepSince: now}, config.Ramping, ReasonPassed},
		"already halted":          {StepInput{Progress: &config.Progress{To: "m@2", State: config.Halted}, Evidence: good}, "", ReasonEnded},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.input.Rollout = testRollout()
			next, reason := Next(c.input, now)
			is.Equal(reason, c.reason)
			if c.state == "" {
				is.True(next == nil)
				return
			}
			is.Equal(next.State, c.state)
		})
	}
}

// TestAlarmDetectsLateRegression checks a version that turns bad after many good responses. The
// alarm halts it within a few dozen responses. The sequential test alone takes more than twice
// as many, because the earlier good responses still count.
func TestAlarmDetectsLateRegression(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	m := NewMonitor(Observer{VM: "a"})
	ro := testRollout()
	var sum Counts
	for range 2000 {
		bad := r.Float64() < ro.GoodRate
		is.True(!m.Observe(ro, 3, 10, "w", bad)) // no false alarm
		if bad {
			sum.Bad++
		} else {
			sum.Good++
		}
	}
	alarmAt, sequentialAt := 0, 0
	for n := 1; n <= 3000 && (alarmAt == 0 || sequentialAt == 0); n++ {
		bad := r.Float64() < 0.3
		if m.Observe(ro, 3, 10, "w", bad) && alarmAt == 0 {
			alarmAt = n
		}
		if bad {
			sum.Bad++
		} else {
			sum.Good++
		}
		if sequentialAt == 0 && NewSequentialTest(ro).Evaluate(sum) == Bad {
			sequentialAt = n
		}
	}
	is.True(alarmAt > 0 && alarmAt < 100)
	is.True(sequentialAt > 2*alarmAt)
}

// TestChooseVersionMovesWorkOneWay checks that a ramp moves work only from the old version to
// the new one, and that a halt sends all new work back at once.
func TestChooseVersionMovesWorkOneWay(t *testing.T) {
	is := is.New(t)
	c := &config.Config{
		Models:   map[contract.ModelID]*config.Model{"m": {ID: "m", ServingVersion: "m@1"}},
		Rollouts: map[contract.ModelID]*config.Rollout{"m": testRollout()},
		Progress: map[contract.ModelID]*config.Progress{"m": {Model: "m", To: "m@2", State: config.Ramping, Step: 1}},
	}
	is.Equal(ChooseVersion(c, "m", nil, 0.05), contract.VersionID("m@2"))
	is.Equal(ChooseVersion(c, "m", nil, 0.5), contract.VersionID("m@1"))
	is.Equal(ChooseVersion(c, "m", map[contract.VersionID]bool{"m@2": true}, 0.05), contract.VersionID("m@1"))
	c.Progress["m"].State = config.Done
	is.Equal(ChooseVersion(c, "m", nil, 0.99), contract.VersionID("m@2"))
}
