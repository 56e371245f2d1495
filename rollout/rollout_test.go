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

func plan() *config.Rollout {
	return &config.Rollout{
		Model: "m", From: "m@1", To: "m@2", Steps: []float64{1, 10, 50, 100},
		GoodRate: 0.02, BadRate: 0.1, FalseAlarm: 0.01, Miss: 0.01, RatingsWithin: time.Minute,
	}
}

// run feeds the sequential test answers with a share of bad ones, and returns
// its verdict and how many answers it took.
func run(ro *config.Rollout, rate float64, r *rand.Rand) (Verdict, int) {
	var c Counts
	for n := 1; ; n++ {
		if r.Float64() < rate {
			c.Bad++
		} else {
			c.Good++
		}
		if v := NewTest(ro).Judge(c); v != Undecided {
			return v, n
		}
	}
}

// TestStatedRates checks the false-alarm rate and the power by seeded runs.
func TestStatedRates(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	const runs = 4000
	halted, passed := 0, 0
	for range runs {
		if v, _ := run(plan(), 0.02, r); v == Bad {
			halted++
		}
		if v, _ := run(plan(), 0.10, r); v == Passed {
			passed++
		}
	}
	is.True(halted <= runs*15/1000) // 1% and Wald's slack
	is.True(passed <= runs*15/1000)
}

// TestEvidenceMerges checks that evidence may come twice and in any order.
func TestEvidenceMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Evidence
		truth := make(map[Observer]Counts)
		for i := range rapid.IntRange(1, 4).Draw(t, "observers") {
			o := Observer{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}
			var c Counts
			for range rapid.IntRange(1, 4).Draw(t, "growth") {
				c.Good += rapid.Int64Range(0, 9).Draw(t, "good")
				c.Bad += rapid.Int64Range(0, 3).Draw(t, "bad")
				all = append(all, Evidence{{Observer: o, Version: "m@2", Counts: c}})
			}
			truth[o] = c
		}
		var merged Evidence
		for _, e := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			merged = Merge(merged, e)
		}
		var want Counts
		for _, c := range truth {
			want.Good += c.Good
			want.Bad += c.Bad
		}
		if got := merged.Sum("m@2", 0); got != want {
			t.Fatalf("merged to %+v, counted %+v", got, want)
		}
	})
}

// TestTakenOver interrupts a roll-out at every step: several VMs decide on what
// they last read and write under the condition that the progress is unchanged.
// No step is skipped or repeated, and nothing follows a halt. The naive stepper,
// which adds one in its own memory and writes, does skip.
func TestTakenOver(t *testing.T) {
	naiveSkips := 0
	rapid.Check(t, func(t *rapid.T) {
		ro := plan()
		var stored *config.Progress
		naive := 0
		reads := make([]*config.Progress, 3) // what each VM last read
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			if rapid.Bool().Draw(t, "reads") {
				reads[i] = stored
				continue
			}
			step := 0
			if reads[i] != nil {
				step = reads[i].Step
			}
			s := Situation{
				Rollout: ro, Progress: reads[i], Loaded: true, StepSince: now,
				Evidence: Evidence{{Version: "m@2", Step: step, Counts: Counts{Good: 1000}}},
				Halted:   rapid.IntRange(0, 30).Draw(t, "halted") == 0,
			}
			next, _ := Next(s, now)
			if next == nil {
				continue
			}
			naive++
			if naive > step+1 {
				naiveSkips++
			}
			if reads[i] != stored { // the conditional write fails
				continue
			}
			if stored != nil && (stored.State != config.Ramping || next.Step > stored.Step+1 || next.Step < stored.Step) {
				t.Fatalf("from %+v to %+v", *stored, *next)
			}
			if stored == nil && next.Step != 0 {
				t.Fatalf("began at %+v", *next)
			}
			stored = next
		}
	})
	is.New(t).True(naiveSkips > 0)
}

// TestHoldsAndHalts checks each situation in which there is no step forward.
func TestHoldsAndHalts(t *testing.T) {
	now := time.Unix(1000, 0)
	good := Evidence{{Version: "m@2", Counts: Counts{Good: 1000}}}
	ramping := &config.Progress{Model: "m", To: "m@2", State: config.Ramping}
	for name, c := range map[string]struct {
		s     Situation
		state config.RampState // "" for no change
		why   Reason
	}{
		"cut off":      {Situation{Progress: ramping, Evidence: good, CutOff: true, StepSince: now}, "", ReasonCutOff},
		"bad":          {Situation{Progress: ramping, Evidence: Evidence{{Version: "m@2", Counts: Counts{Bad: 50}}}, CutOff: true, StepSince: now}, config.Halted, ReasonBad},
		"no ratings":   {Situation{Progress: ramping, StepSince: now.Add(-time.Hour)}, config.Halted, ReasonNoRatings},
		"halted":       {Situation{Progress: ramping, Evidence: good, Halted: true, StepSince: now}, config.Halted, ReasonHalted},
		"not loaded":   {Situation{}, "", ReasonNotLoaded},
		"undecided":    {Situation{Progress: ramping, StepSince: now}, "", ReasonWaiting},
		"passed":       {Situation{Progress: ramping, Evidence: good, StepSince: now}, config.Ramping, ReasonPassed},
		"after a halt": {Situation{Progress: &config.Progress{To: "m@2", State: config.Halted}, Evidence: good}, "", ReasonFinal},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.s.Rollout = plan()
			next, why := Next(c.s, now)
			is.Equal(why, c.why)
			if c.state == "" {
				is.True(next == nil)
				return
			}
			is.Equal(next.State, c.state)
		})
	}
}

// TestTurnsBad compares a version that turns bad after a good past: the alarm
// halts within a few dozen answers, the plain sum of the sequential test, with
// its good past, does not.
func TestTurnsBad(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	m := NewMonitor(Observer{VM: "a"})
	ro := plan()
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
	alarmAt, naiveAt := 0, 0
	for n := 1; n <= 3000 && (alarmAt == 0 || naiveAt == 0); n++ {
		bad := r.Float64() < 0.3
		if m.Observe(ro, 3, 10, "w", bad) && alarmAt == 0 {
			alarmAt = n
		}
		if bad {
			sum.Bad++
		} else {
			sum.Good++
		}
		if naiveAt == 0 && NewTest(ro).Judge(sum) == Bad {
			naiveAt = n
		}
	}
	is.True(alarmAt > 0 && alarmAt < 100)
	is.True(naiveAt > 2*alarmAt)
}

// TestChooseKeepsPoint checks that a ramp only moves work from the old version
// to the new one, and that a halt sends all new work back at once.
func TestChooseKeepsPoint(t *testing.T) {
	is := is.New(t)
	c := &config.Config{
		Models:   map[contract.ModelID]*config.Model{"m": {ID: "m", Serve: "m@1"}},
		Rollouts: map[contract.ModelID]*config.Rollout{"m": plan()},
		Progress: map[contract.ModelID]*config.Progress{"m": {Model: "m", To: "m@2", State: config.Ramping, Step: 1}},
	}
	is.Equal(Choose(c, "m", nil, 0.05), contract.VersionID("m@2"))
	is.Equal(Choose(c, "m", nil, 0.5), contract.VersionID("m@1"))
	is.Equal(Choose(c, "m", map[contract.VersionID]bool{"m@2": true}, 0.05), contract.VersionID("m@1"))
	c.Progress["m"].State = config.Done
	is.Equal(Choose(c, "m", nil, 0.99), contract.VersionID("m@2"))
}
