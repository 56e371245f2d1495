package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// Settings of the fairness measurements.
const (
	workspaceCount  = 10
	requestDeadline = 10 * time.Second
	// capacityOf is a VM's part of the places, as entry works it out.
	headroom = 1.5
)

func queueCapacity() int {
	part := headroom * float64(engines*slots) / float64(vms)
	return int(part)
}

// quietLatency offers quiet workspaces half of their share and, when loud is set,
// one workspace ten times its share. It returns the quiet ones' times.
func quietLatency(seed uint64, capacity int, loud bool) model.Quantiles {
	s := newSite(seed, engines, vms, 1, time.Second, newWoaddoorChooser)
	fronts := newQueuedVMs(s, seed, capacity, workspaceCount)
	random := rand.New(rand.NewPCG(seed, 50))
	share := uncachedCapacity(engines) / workspaceCount
	var took []time.Duration
	begin := s.clock.Now().Add(warmUpDuration)
	offer := func(w contract.WorkspaceID, rate float64, quiet bool) {
		model.Arrivals(s.clock, random, rate, loadDuration, func() {
			counts := quiet && s.clock.Now().After(begin)
			fronts[random.IntN(len(fronts))].offer(w, workspace.Interactive, requestDeadline, func(e requestResult) {
				if counts && !e.refused {
					took = append(took, e.latency)
				}
			})
		})
	}
	for i := range workspaceCount - 1 {
		offer(contract.WorkspaceID(fmt.Sprint("quiet", i)), share/2, true)
	}
	if loud {
		offer("loud", 10*share, false)
	}
	s.clock.Run(loadDuration + drainDuration)
	return model.QuantilesOf(took)
}

// overload offers all workspaces a load, with callers that come back after
// Retry-After up to three times, and returns the answers in time a second and
// the share of offers refused.
func overload(seed uint64, capacity int, load float64) (goodput, refused float64) {
	s := newSite(seed, engines, vms, 1, time.Second, newWoaddoorChooser)
	fronts := newQueuedVMs(s, seed, capacity, workspaceCount)
	random := rand.New(rand.NewPCG(seed, 50))
	good, offers, refusals := 0, 0, 0
	var try func(w contract.WorkspaceID, left int)
	try = func(w contract.WorkspaceID, left int) {
		offers++
		fronts[random.IntN(len(fronts))].offer(w, workspace.Interactive, requestDeadline, func(e requestResult) {
			if e.refused {
				refusals++
				if left > 0 {
					s.clock.After(e.retryAfter, func() { try(w, left-1) })
				}
				return
			}
			if e.latency <= requestDeadline {
				good++
			}
		})
	}
	for i := range workspaceCount {
		w := contract.WorkspaceID(fmt.Sprint("w", i))
		model.Arrivals(s.clock, random, load*uncachedCapacity(engines)/workspaceCount, loadDuration, func() { try(w, 3) })
	}
	s.clock.Run(loadDuration)
	return float64(good) / loadDuration.Seconds(), float64(refusals) / float64(max(offers, 1))
}

// fairness measures shares among workspaces, and overload.
func fairness(seed uint64) []*table {
	t := &table{
		title:       "A neighbour at ten times its share",
		description: fmt.Sprintf("Nine workspaces at half their share, one at ten times its share; times of the nine, in ms, seed %d.", seed),
		columns:     []string{"way", "p50 alone", "p99 alone", "p50 beside it", "p99 beside it", "p99 ratio"},
	}
	for _, way := range []struct {
		name     string
		capacity int
	}{{"no queue of our own", 0}, {"woaddoor", queueCapacity()}} {
		alone, beside := quietLatency(seed, way.capacity, false), quietLatency(seed, way.capacity, true)
		t.addRow(way.name, alone.P50, alone.P99, beside.P50, beside.P99, beside.P99/alone.P99)
	}
	o := &table{
		title:       "Goodput under overload",
		description: fmt.Sprintf("Answers within %v a second; refused callers come back up to three times; load in parts of the rate that is carried uncached, seed %d.", requestDeadline, seed),
		columns:     []string{"load", "no queue: goodput/s", "woaddoor: goodput/s", "woaddoor: offers refused"},
	}
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3} {
		naive, _ := overload(seed, 0, load)
		good, refused := overload(seed, queueCapacity(), load)
		o.addRow(fmt.Sprintf("%.0f%%", load*100), naive, good, fmt.Sprintf("%.0f%%", refused*100))
	}
	return []*table{t, o}
}
