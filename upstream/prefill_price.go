package upstream

import (
	"math"
	"time"

	"woaddoor/cascade"
)

// PrefillPrice returns the cost that the prefill of a prompt imposes on later requests,
// relative to the value of a mean request. A request that arrives while the engine has a queue
// waits longer, by the duration of this prefill. The queue that the prefill itself creates counts
// half. Each second of waiting brings a request closer to being late, which costs
// cascade.LatePenalty. The price applies even while all requests are in time,
// because the capacity that is saved is available for the next burst of requests.
func (t *Table) PrefillPrice(e Estimate) float64 {
	if !t.opts.Policy.Has(PrefillPrice) {
		return 0
	}
	d := &t.demand
	requestsBehind := d.promptRate / float64(max(t.activeEngines, 1)) * (e.Wait + e.Prefill/2).Seconds()
	return requestsBehind * e.Prefill.Seconds() * cascade.LatePenalty / max(d.meanObjective, minObjectiveSeconds)
}

// demand estimates the prompts that arrive at all VMs together.
type demand struct {
	// promptRate is this VM's prompts per second times the number of VMs.
	promptRate float64
	updatedAt  time.Time
	// meanObjective is the mean latency objective of the prompts, in seconds.
	meanObjective float64
	// meanValue is the mean value of the prompts.
	meanValue float64
}

// Parameters of demand.
const (
	// demandWindow is the time over which the rate of prompts is averaged:
	// short enough to detect a burst, and longer than the fluctuation from a few requests of
	// one VM.
	demandWindow = 4 * time.Second
	// demandMeanWeight is the weight of the newest prompt in meanObjective and meanValue.
	demandMeanWeight = 0.05
)

// decay reduces the weight of earlier prompts in promptRate.
func (d *demand) decay(now time.Time) {
	d.promptRate *= expDecay(now.Sub(d.updatedAt), demandWindow)
	d.updatedAt = now
}

// expDecay returns the weight that a value has after some time, if it decays exponentially
// with the given time constant.
func expDecay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// recordPrompt counts a prompt of this VM, scaled up by the number of VMs.
func (d *demand) recordPrompt(objective time.Duration, value float64, vms int, now time.Time) {
	d.decay(now)
	d.promptRate += float64(vms) / demandWindow.Seconds()
	if d.meanObjective == 0 {
		d.meanObjective, d.meanValue = objective.Seconds(), value
	}
	d.meanObjective += demandMeanWeight * (objective.Seconds() - d.meanObjective)
	d.meanValue += demandMeanWeight * (value - d.meanValue)
}

// RecordPrompt records a prompt that arrived at this VM, which is one of the given number of VMs.
// RecordPrompt returns the value of the prompt relative to the mean value of the prompts.
func (t *Table) RecordPrompt(objective time.Duration, value float64, vms int, now time.Time) float64 {
	t.demand.recordPrompt(objective, value, max(vms, 1), now)
	if t.demand.meanValue <= 0 {
		return 1
	}
	return value / t.demand.meanValue
}

// countActiveEngines updates the number of engines that currently receive prompts.
func (t *Table) countActiveEngines(now time.Time) {
	t.activeEngines = 0
	for _, s := range t.states {
		if s.receivesPrompts(now) {
			t.activeEngines++
		}
	}
}
