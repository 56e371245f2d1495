package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// Parameters of the fairness measurements.
const (
	workspaceCount  = 10
	requestDeadline = 10 * time.Second // from the offer of a request to its answer
	headroom        = 1.5              // factor on a VM's equal part of the slots
)

// queueCapacity returns how many requests a VM's admission queue runs at once: the VM's part
// of the engines' slots, calculated as the entry process does.
func queueCapacity() int {
	part := headroom * float64(engines*slots) / float64(vms)
	return int(part)
}

// quietLatency offers half of the fair share of the load for every workspace but the last, and,
// if loud is true, ten times the fair share for the last workspace. quietLatency returns the
// latency quantiles of the quiet workspaces, which are all but the last.
func quietLatency(seed uint64, capacity int, loud bool) model.Quantiles {
	s := newSite(seed, engines, vms, 1, time.Second, newWoaddoorChooser)
	queuedVMs := newQueuedVMs(s, seed, capacity, workspaceCount)
	random := rand.New(rand.NewPCG(seed, 50))
	share := uncachedCapacity(engines) / workspaceCount
	var latencies []time.Duration
	begin := s.clock.Now().Add(warmUpDuration)
	offer := func(w contract.WorkspaceID, rate float64, quiet bool) {
		model.Arrivals(s.clock, random, rate, loadDuration, func() {
			measured := quiet && s.clock.Now().After(begin)
			queuedVMs[random.IntN(len(queuedVMs))].offer(w, workspace.Interactive, requestDeadline, func(r requestResult) {
				if measured && !r.refused {
					latencies = append(latencies, r.latency)
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
	return model.QuantilesOf(latencies)
}

// overload offers equal load for all workspaces. A refused caller retries after the delay
// that the refusal states, up to three times. It returns the requests per second answered
// before their deadline, and the share of offers refused.
func overload(seed uint64, capacity int, load float64) (goodput, refused float64) {
	s := newSite(seed, engines, vms, 1, time.Second, newWoaddoorChooser)
	queuedVMs := newQueuedVMs(s, seed, capacity, workspaceCount)
	random := rand.New(rand.NewPCG(seed, 50))
	good, offers, refusals := 0, 0, 0
	var try func(w contract.WorkspaceID, retriesLeft int)
	try = func(w contract.WorkspaceID, retriesLeft int) {
		offers++
		queuedVMs[random.IntN(len(queuedVMs))].offer(w, workspace.Interactive, requestDeadline, func(r requestResult) {
			if r.refused {
				refusals++
				if retriesLeft > 0 {
					s.clock.After(r.retryAfter, func() { try(w, retriesLeft-1) })
				}
				return
			}
			if r.latency <= requestDeadline {
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

// fairness measures how a loud workspace affects quiet workspaces, and the goodput under overload.
func fairness(seed uint64) []*table {
	t := &table{
		title:       "A neighbour at ten times its share",
		description: fmt.Sprintf("Nine workspaces at half their share, one at ten times its share; times of the nine, in ms, seed %d.", seed),
		columns:     []string{"way", "p50 alone", "p99 alone", "p50 beside it", "p99 beside it", "p99 ratio"},
	}
	for _, strategy := range []struct {
		name     string
		capacity int
	}{{"no queue of our own", 0}, {"woaddoor", queueCapacity()}} {
		alone, beside := quietLatency(seed, strategy.capacity, false), quietLatency(seed, strategy.capacity, true)
		t.addRow(strategy.name, alone.P50, alone.P99, beside.P50, beside.P99, beside.P99/alone.P99)
	}
	overloadTable := &table{
		title:       "Goodput under overload",
		description: fmt.Sprintf("Answers within %v a second; refused callers come back up to three times; load in parts of the rate that is carried uncached, seed %d.", requestDeadline, seed),
		columns:     []string{"load", "no queue: goodput/s", "woaddoor: goodput/s", "woaddoor: offers refused"},
	}
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3} {
		withoutQueue, _ := overload(seed, 0, load)
		good, refused := overload(seed, queueCapacity(), load)
		overloadTable.addRow(fmt.Sprintf("%.0f%%", load*100), withoutQueue, good, fmt.Sprintf("%.0f%%", refused*100))
	}
	return []*table{t, overloadTable}
}
