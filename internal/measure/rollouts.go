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
	rolloutRate   = 20.0 // requests a second, over all workspaces
	rolloutRuns   = 200
	rolloutLimit  = 4 * time.Hour
	rolloutVMs    = 6
	rolloutTick   = time.Second
	gossipDelay   = 2 * time.Second // until a halt or a step is everywhere
	fixedStep     = 10 * time.Minute
	fixedHaltRate = 0.10 // a fixed ramp is halted at a step over this share
)

var ramp = &config.Rollout{
	Model: "m", From: "m@1", To: "m@2", Steps: []float64{1, 5, 25, 100},
	GoodRate: 0.02, BadRate: 0.08, FalseAlarm: 0.01, Miss: 0.01, RatingsWithin: 30 * time.Minute,
}

// badness returns the share of bad answers of the new version.
type badness struct {
	name string
	of   func(step, workspace int) float64
}

var versions = []badness{
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
	exposed int // bad answers given by the new version
	halted  bool
	took    time.Duration
}

// fixedRamp steps by the clock and looks at the shares at each step.
func fixedRamp(r *rand.Rand, v badness) rolloutResult {
	res := rolloutResult{}
	for step, percent := range ramp.Steps {
		good, bad := 0, 0
		n := int(rolloutRate * fixedStep.Seconds())
		for range n {
			if r.Float64()*100 >= percent {
				continue
			}
			if r.Float64() < v.of(step, r.IntN(workspaces)) {
				bad++
			} else {
				good++
			}
		}
		res.exposed += bad
		res.took += fixedStep
		if bad+good > 0 && float64(bad)/float64(bad+good) > fixedHaltRate {
			res.halted = true
			return res
		}
	}
	return res
}

// tested steps by the sequential test over merged evidence, with each VM's
// monitor halting by itself. Steps and halts reach all VMs after gossipDelay.
func tested(r *rand.Rand, v badness) rolloutResult {
	res := rolloutResult{}
	now := time.Unix(0, 0)
	begin := now
	var monitors []*rollout.Monitor
	for i := range rolloutVMs {
		monitors = append(monitors, rollout.NewMonitor(rollout.Observer{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}))
	}
	p := &config.Progress{Model: "m", To: "m@2", State: config.Ramping}
	since, last := now, now
	for now.Sub(begin) < rolloutLimit {
		now = now.Add(rolloutTick)
		halted := false
		percent := ramp.Steps[p.Step]
		for range int(rolloutRate * rolloutTick.Seconds()) {
			if r.Float64()*100 >= percent {
				continue
			}
			w := r.IntN(workspaces)
			bad := r.Float64() < v.of(p.Step, w)
			if bad {
				res.exposed++
			}
			last = now
			m := monitors[r.IntN(len(monitors))]
			halted = m.Observe(ramp, p.Step, workspaces, contract.WorkspaceID(fmt.Sprint(w)), bad) || halted
		}
		var e rollout.Evidence
		for _, m := range monitors {
			e = rollout.Merge(e, m.Evidence())
		}
		next, _ := rollout.Next(rollout.Situation{Rollout: ramp, Progress: p, Evidence: e, Halted: halted, StepSince: since, LastRating: last, Loaded: true}, now)
		if next == nil {
			continue
		}
		res.exposed += during(r, v, p.Step, gossipDelay) // until it is everywhere
		now = now.Add(gossipDelay)
		p, since = next, now
		if p.State != config.Ramping {
			res.halted = p.State == config.Halted
			break
		}
	}
	res.took = now.Sub(begin)
	return res
}

// during returns the bad answers given while a decision spreads.
func during(r *rand.Rand, v badness, step int, d time.Duration) int {
	bad := 0
	for range int(rolloutRate * d.Seconds()) {
		if r.Float64()*100 < ramp.Steps[step] && r.Float64() < v.of(step, r.IntN(workspaces)) {
			bad++
		}
	}
	return bad
}

// rollouts measures exposure to bad versions, and the time of a good one.
func rollouts(seed uint64) []*table {
	t := &table{
		title: "Roll-outs",
		about: fmt.Sprintf("%.0f requests a second over %d workspaces and %d VMs, steps %v%%, every answer rated at once, %d runs each; good rate %.2f, bad rate %.2f, false alarm %.2f, miss %.2f; the fixed ramp takes a step every %v and halts at over %.0f%% bad in a step; seed %d.",
			rolloutRate, workspaces, rolloutVMs, ramp.Steps, rolloutRuns, ramp.GoodRate, ramp.BadRate, ramp.FalseAlarm, ramp.Miss, fixedStep, fixedHaltRate*100, seed),
		head: []string{"version", "way", "halted", "bad answers given, median", "90th percentile", "time to the end, median"},
	}
	for _, v := range versions {
		for _, way := range []struct {
			name string
			run  func(*rand.Rand, badness) rolloutResult
		}{{"fixed ramp", fixedRamp}, {"woaddoor", tested}} {
			r := rand.New(rand.NewPCG(seed, 90))
			var exposed []int
			var took []time.Duration
			halted := 0
			for range rolloutRuns {
				res := way.run(r, v)
				exposed, took = append(exposed, res.exposed), append(took, res.took)
				if res.halted {
					halted++
				}
			}
			slices.Sort(exposed)
			slices.Sort(took)
			t.add(v.name, way.name, fmt.Sprintf("%.1f%%", 100*float64(halted)/rolloutRuns), exposed[rolloutRuns/2], exposed[rolloutRuns*9/10], took[rolloutRuns/2].Round(time.Second))
		}
	}
	return []*table{t}
}
