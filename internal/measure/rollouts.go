package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/rollout"
)

// Parameters of the rollout measurement.
const (
	rolloutRate       = 20.0 // requests a second, over all workspaces
	rolloutRuns       = 200  // simulated rollouts of each version and strategy
	rolloutTimeLimit  = 4 * time.Hour
	rolloutVMs        = 6
	rolloutTick       = time.Second
	propagationDelay  = 2 * time.Second // until a halt or the next rollout step has reached all VMs
	fixedStepDuration = 10 * time.Minute
	fixedHaltRate     = 0.10 // a fixed ramp halts when more than this share of a step's answers is bad
)

// rolloutPlan is the plan of the simulated rollouts.
var rolloutPlan = &config.Rollout{
	Model: "m", From: "m@1", To: "m@2", Steps: []float64{1, 5, 25, 100},
	GoodRate: 0.02, BadRate: 0.08, FalseAlarmProbability: 0.01, MissProbability: 0.01, RatingTimeout: 30 * time.Minute,
}

// versionModel gives the share of bad answers of a new version, by rollout step and workspace.
type versionModel struct {
	name     string
	badShare func(step, workspace int) float64
}

// versionModels are the versions that are rolled out.
var versionModels = []versionModel{
	{"good", func(int, int) float64 { return 0.02 }},
	{"bad from the start (30%)", func(int, int) float64 { return 0.3 }},
	{"bad slowly (8%)", func(int, int) float64 { return 0.08 }},
	{"turns bad at 25% (30%)", func(step, _ int) float64 {
		if step >= 2 {
			return 0.3
		}
		return 0.02
	}},
	{"bad for one workspace of ten (50%)", func(_, w int) float64 {
		if w == 0 {
			return 0.5
		}
		return 0.02
	}},
}

// rolloutResult describes how one simulated rollout ended.
type rolloutResult struct {
	badAnswers int // bad answers given by the new version
	halted     bool
	duration   time.Duration
}

// runFixedRamp takes a rollout step (a larger percentage for the new version) every
// fixedStepDuration, and halts when the share of bad answers in a step exceeds fixedHaltRate.
func runFixedRamp(r *rand.Rand, v versionModel) rolloutResult {
	res := rolloutResult{}
	for step, percent := range rolloutPlan.Steps {
		good, bad := 0, 0
		n := int(rolloutRate * fixedStepDuration.Seconds())
		for range n {
			if r.Float64()*100 >= percent {
				continue
			}
			if r.Float64() < v.badShare(step, r.IntN(workspaceCount)) {
				bad++
			} else {
				good++
			}
		}
		res.badAnswers += bad
		res.duration += fixedStepDuration
		if bad+good > 0 && float64(bad)/float64(bad+good) > fixedHaltRate {
			res.halted = true
			return res
		}
	}
	return res
}

// runSequentialTest takes rollout steps by the product's sequential test over the merged evidence
// (counts of good and bad answers) of all VMs. Each VM's monitor can halt the version by itself.
// A rollout step or a halt reaches all VMs after propagationDelay.
func runSequentialTest(r *rand.Rand, v versionModel) rolloutResult {
	res := rolloutResult{}
	now := time.Unix(0, 0)
	begin := now
	var monitors []*rollout.Monitor
	for i := range rolloutVMs {
		monitors = append(monitors, rollout.NewMonitor(rollout.Observer{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}))
	}
	progress := &config.Progress{Model: "m", To: "m@2", State: config.Ramping}
	stepSince, lastRating := now, now
	for now.Sub(begin) < rolloutTimeLimit {
		now = now.Add(rolloutTick)
		halted := false
		percent := rolloutPlan.Steps[progress.Step]
		for range int(rolloutRate * rolloutTick.Seconds()) {
			if r.Float64()*100 >= percent {
				continue
			}
			w := r.IntN(workspaceCount)
			bad := r.Float64() < v.badShare(progress.Step, w)
			if bad {
				res.badAnswers++
			}
			lastRating = now
			m := monitors[r.IntN(len(monitors))]
			halted = m.Observe(rolloutPlan, progress.Step, workspaceCount, contract.WorkspaceID(fmt.Sprint(w)), bad) || halted
		}
		var evidence rollout.Evidence
		for _, m := range monitors {
			evidence = rollout.Merge(evidence, m.Evidence())
		}
		next, _ := rollout.Next(rollout.StepInput{Rollout: rolloutPlan, Progress: progress, Evidence: evidence, Halted: halted, StepSince: stepSince, LastRating: lastRating, Loaded: true}, now)
		if next == nil {
			continue
		}
		res.badAnswers += badAnswersDuring(r, v, progress.Step, propagationDelay) // given before the decision reaches all VMs
		now = now.Add(propagationDelay)
		progress, stepSince = next, now
		if progress.State != config.Ramping {
			res.halted = progress.State == config.Halted
			break
		}
	}
	res.duration = now.Sub(begin)
	return res
}

// badAnswersDuring returns how many bad answers the new version gives in d, the time that a
// decision takes to reach all VMs.
func badAnswersDuring(r *rand.Rand, v versionModel, step int, d time.Duration) int {
	bad := 0
	for range int(rolloutRate * d.Seconds()) {
		if r.Float64()*100 < rolloutPlan.Steps[step] && r.Float64() < v.badShare(step, r.IntN(workspaceCount)) {
			bad++
		}
	}
	return bad
}

// rollouts measures how many bad answers a bad version gives before it is halted, and how
// long the rollout of a good version takes.
func rollouts(seed uint64) []*table {
	t := &table{
		title: "Roll-outs",
		description: fmt.Sprintf("%.0f requests a second over %d workspaces and %d VMs, steps %v%%, every answer rated at once, %d runs each; good rate %.2f, bad rate %.2f, false alarm %.2f, miss %.2f; the fixed ramp takes a step every %v and halts at over %.0f%% bad in a step; seed %d.",
			rolloutRate, workspaceCount, rolloutVMs, rolloutPlan.Steps, rolloutRuns, rolloutPlan.GoodRate, rolloutPlan.BadRate, rolloutPlan.FalseAlarmProbability, rolloutPlan.MissProbability, fixedStepDuration, fixedHaltRate*100, seed),
		columns: []string{"version", "way", "halted", "bad answers given, median", "90th percentile", "time to the end, median"},
	}
	for _, v := range versionModels {
		for _, strategy := range []struct {
			name string
			run  func(*rand.Rand, versionModel) rolloutResult
		}{{"fixed ramp", runFixedRamp}, {"woaddoor", runSequentialTest}} {
			r := rand.New(rand.NewPCG(seed, 90))
			var badAnswers []int
			var durations []time.Duration
			halted := 0
			for range rolloutRuns {
				res := strategy.run(r, v)
				badAnswers, durations = append(badAnswers, res.badAnswers), append(durations, res.duration)
				if res.halted {
					halted++
				}
			}
			slices.Sort(badAnswers)
			slices.Sort(durations)
			t.addRow(v.name, strategy.name, fmt.Sprintf("%.1f%%", 100*float64(halted)/rolloutRuns), badAnswers[rolloutRuns/2], badAnswers[rolloutRuns*9/10], durations[rolloutRuns/2].Round(time.Second))
		}
	}
	return []*table{t}
}
