package upstream

import (
	"math"
	"time"

	"woaddoor/cascade"
)

// Price returns what the reading of a prompt costs the requests that come after
// it, in what a mean one of them is worth. As many as come to the engine while it
// has a queue wait longer by the reading, which makes a queue of its own that
// counts for half of itself; each second's wait brings them nearer to being late,
// at which they lose Late. It is taken also while all are in time: what is saved
// then is there when a burst comes.
func (t *Table) Price(e Estimate) float64 {
	if !t.opts.Policy.Has(Price) {
		return 0
	}
	d := &t.demand
	behind := d.rate / float64(max(t.readers, 1)) * (e.Wait + e.Reading/2).Seconds()
	return behind * e.Reading.Seconds() * cascade.LateLoss / max(d.objective, leastObjective)
}

// demand is what comes to be read, from all VMs together.
type demand struct {
	// rate is prompts a second of this VM, scaled up by the number of VMs.
	rate float64
	at   time.Time
	// objective is the mean of their objectives, in seconds.
	objective float64
	// worth is the mean of what they are worth.
	worth float64
}

// Averages of demand.
const (
	// demandOver is the time over which demand is averaged: as long as a burst
	// takes to be felt, and longer than the wave of a few requests of one VM.
	demandOver = 4 * time.Second
	// meanWeight is the weight of the newest prompt in the means.
	meanWeight = 0.05
)

// fade lets what was counted before now count less.
func (d *demand) fade(now time.Time) {
	left := math.Exp(-now.Sub(d.at).Seconds() / demandOver.Seconds())
	d.rate *= left
	d.at = now
}

// came notes a prompt of this VM, of which there are a number.
func (d *demand) came(objective time.Duration, worth float64, vms int, now time.Time) {
	d.fade(now)
	d.rate += float64(vms) / demandOver.Seconds()
	if d.objective == 0 {
		d.objective, d.worth = objective.Seconds(), worth
	}
	d.objective += meanWeight * (objective.Seconds() - d.objective)
	d.worth += meanWeight * (worth - d.worth)
}

// Came notes a prompt that came to this VM, one of a number, and returns what it
// is worth against a mean one.
func (t *Table) Came(objective time.Duration, worth float64, vms int, now time.Time) float64 {
	t.demand.came(objective, worth, max(vms, 1), now)
	if t.demand.worth <= 0 {
		return 1
	}
	return worth / t.demand.worth
}

// countReaders counts the engines that read now.
func (t *Table) countReaders(now time.Time) {
	t.readers = 0
	for _, s := range t.states {
		if s.reads(now) {
			t.readers++
		}
	}
}
