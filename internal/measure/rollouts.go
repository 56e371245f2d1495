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

// Settings of the roll-out measurement.
const (
	rolloutRate       = 20.0 // requests a second, over all workspaces
	rolloutRuns       = 200
	rolloutTimeLimit  = 4 * time.Hour
	rolloutVMs        = 6
	rolloutTick       = time.Second
	propagationDelay  = 2 * time.Second // until a halt or a step is everywhere
	fixedStepDuration = 10 * time.Minute
	fixedHaltRate     = 0.10 // a fixed ramp is halted at a step over this share
)

var rolloutPlan = &config.Rollout{
	Model: "m", From: "m@1", To: "m@2", Steps: []float64{1, 5, 25, 100},
	GoodRate: 0.02, BadRate: 0.08, FalseAlarm: 0.01, Miss: 0.01, RatingsWithin: 30 * time.Minute,
}

// versionModel returns the share of bad answers of the new version.
type versionModel struct {
	name     string
	badShare func(step, workspace int) float64
}

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

// rolloutResult is how one run ended.
type rolloutResult struct {
	badAnswers int // bad answers given by the new version
	halted     bool
	duration   time.Duration
}

// runFixedRamp steps by the clock and looks at the shares at each step.
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

// runSequentialTest steps by the sequential test over merged evidence, with each VM's
// monitor halting by itself. Steps and halts reach all VMs after gossipDelay.
func runSequentialTest(r *rand.Rand, v versionModel) rolloutResult {
	res := rolloutResult{}
	now := time.Unix(0, 0)
	begin := now
	var monitors []*rollout.Monitor
	for i := range rolloutVMs {
		monitors = append(monitors, rollout.NewMonitor(rollout.Observer{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}))
	}
	p := &config.Progress{Model: "m", To: "m@2", State: config.Ramping}
	since, last := now, now
	for now.Sub(begin) < rolloutTimeLimit {
		now = now.Add(rolloutTick)
		halted := false
		percent := rolloutPlan.Steps[p.Step]
		for range int(rolloutRate * rolloutTick.Seconds()) {
			if r.Float64()*100 >= percent {
				continue
			}
			w := r.IntN(workspaceCount)
			bad := r.Float64() < v.badShare(p.Step, w)
			if bad {
				res.badAnswers++
			}
			last = now
			m := monitors[r.IntN(len(monitors))]
			halted = m.Observe(rolloutPlan, p.Step, workspaceCount, contract.WorkspaceID(fmt.Sprint(w)), bad) || halted
		}
		var e rollout.Evidence
		for _, m := range monitors {
			e = rollout.Merge(e, m.Evidence())
		}
		next, _ := rollout.Next(rollout.Situation{Rollout: rolloutPlan, Progress: p, Evidence: e, Halted: halted, StepSince: since, LastRating: last, Loaded: true}, now)
		if next == nil {
			continue
		}
		res.badAnswers += badAnswersDuring(r, v, p.Step, propagationDelay) // until it is everywhere
		now = now.Add(propagationDelay)
		p, since = next, now
		if p.State != config.Ramping {
			res.halted = p.State == config.Halted
			break
		}
	}
	res.duration = now.Sub(begin)
	return res
}

// badAnswersDuring returns the bad answers given while a decision spreads.
func badAnswersDuring(r *rand.Rand, v versionModel, step int, d time.Duration) int {
	bad := 0
	for range int(rolloutRate * d.Seconds()) {
		if r.Float64()*100 < rolloutPlan.Steps[step] && r.Float64() < v.badShare(step, r.IntN(workspaceCount)) {
			bad++
		}
	}
	return bad
}

// rollouts measures exposure to bad versions, and the time of a good one.
func rollouts(seed uint64) []*table {
	t := &table{
		title: "Roll-outs",
		description: fmt.Sprintf("%.0f requests a second over %d workspaces and %d VMs, steps %v%%, every answer rated at once, %d runs each; good rate %.2f, bad rate %.2f, false alarm %.2f, miss %.2f; the fixed ramp takes a step every %v and halts at over %.0f%% bad in a step; seed %d.",
			rolloutRate, workspaceCount, rolloutVMs, rolloutPlan.Steps, rolloutRuns, rolloutPlan.GoodRate, rolloutPlan.BadRate, rolloutPlan.FalseAlarm, rolloutPlan.Miss, fixedStepDuration, fixedHaltRate*100, seed),
		columns: []string{"version", "way", "halted", "bad answers given, median", "90th percentile", "time to the end, median"},
	}
	for _, v := range versionModels {
		for _, way := range []struct {
			name string
			run  func(*rand.Rand, versionModel) rolloutResult
		}{{"fixed ramp", runFixedRamp}, {"woaddoor", runSequentialTest}} {
			r := rand.New(rand.NewPCG(seed, 90))
			var exposed []int
			var took []time.Duration
			halted := 0
			for range rolloutRuns {
				res := way.run(r, v)
				exposed, took = append(exposed, res.badAnswers), append(took, res.duration)
				if res.halted {
					halted++
				}
			}
			slices.Sort(exposed)
			slices.Sort(took)
			t.addRow(v.name, way.name, fmt.Sprintf("%.1f%%", 100*float64(halted)/rolloutRuns), exposed[rolloutRuns/2], exposed[rolloutRuns*9/10], took[rolloutRuns/2].Round(time.Second))
		}
	}
	return []*table{t}
}
