package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// Parameters of the capacity-loss measurement.
const (
	lossStart       = 40 * time.Second // when the engines fail
	lossDuration    = 60 * time.Second // how long the failed engines are down
	lossRunDuration = 200 * time.Second
	lossLoad        = 0.8 // as a part of uncachedCapacity
	lossRetries     = 3   // retries of a refused caller
)

// trafficKind describes one kind of traffic.
type trafficKind struct {
	name  string
	class workspace.Class
	// share is the part of the total load that is of this kind,
	// divided among the workspaces of this kind of traffic.
	share      float64
	workspaces int
}

// trafficKinds are the kinds of traffic that are offered together.
var trafficKinds = []trafficKind{
	{"interactive of nine small workspaces", workspace.Interactive, 0.35, 9},
	{"interactive of one large workspace", workspace.Interactive, 0.35, 1},
	{"bulk of the large workspace", workspace.Bulk, 0.30, 1},
}

// tally counts the requests of one kind of traffic,
// by the second in which each request was first offered.
type tally struct{ offered, answered []int }

// answeredShare returns the fraction, from 0 to 1, of answered requests
// among the requests first offered in [from, to).
func (t tally) answeredShare(from, to time.Duration) float64 {
	offered, answered := 0, 0
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		offered += t.offered[s]
		answered += t.answered[s]
	}
	return float64(answered) / float64(max(offered, 1))
}

// loss measures which traffic is refused when engines fail,
// and how the share of answered requests recovers.
func loss(seed uint64) []*table {
	var tables []*table
	for _, lost := range []struct {
		name string
		n    int
	}{{"a third of the engines", engines / 3}, {"two data centres' engines of three", engines * 2 / 3}} {
		t := &table{
			title:       "Capacity lost: " + lost.name + " for 60 s",
			description: fmt.Sprintf("Load %.0f%%; refused callers come back up to %d times after Retry-After; share of requests answered within %v, by when they were first offered; seed %d.", lossLoad*100, lossRetries, requestDeadline, seed),
			columns:     []string{"traffic", "before", "during", "first 10 s after", "later", "way"},
		}
		retryTable := &table{title: "Return of refused callers: " + lost.name, description: "Offers in the busiest second, in parts of the mean before the loss.", columns: []string{"way", "busiest second during", "busiest second after"}}
		for _, strategy := range []struct {
			name     string
			capacity int
		}{{"no queue", 0}, {"woaddoor", queueCapacity()}} {
			tallies, offers := runLossTrial(seed, strategy.capacity, lost.n)
			restored := lossStart + lossDuration
			for i, k := range trafficKinds {
				counts := tallies[i]
				t.addRow(k.name, formatPercent(counts.answeredShare(warmUpDuration, lossStart)), formatPercent(counts.answeredShare(lossStart, restored)), formatPercent(counts.answeredShare(restored, restored+10*time.Second)), formatPercent(counts.answeredShare(restored+10*time.Second, lossRunDuration-requestDeadline)), strategy.name)
			}
			mean := float64(sum(offers[int(warmUpDuration.Seconds()):int(lossStart.Seconds())])) / (lossStart - warmUpDuration).Seconds()
			retryTable.addRow(strategy.name, busiestSecond(offers, lossStart, restored)/mean, busiestSecond(offers, restored, lossRunDuration)/mean)
		}
		tables = append(tables, t, retryTable)
	}
	return tables
}

// formatPercent returns the ratio x as a percentage.
func formatPercent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

// busiestSecond returns the largest count of a second in [from, to).
func busiestSecond(n []int, from, to time.Duration) float64 {
	largest := 0
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		largest = max(largest, n[s])
	}
	return float64(largest)
}

// runLossTrial offers all kinds of traffic. The first engines, as many as lost states, are down
// for lossDuration. runLossTrial returns a tally for each kind of traffic,
// and the number of offers in each second.
func runLossTrial(seed uint64, capacity, lost int) ([]tally, []int) {
	s := newSite(seed, engines, vms, 1, time.Second, newWoaddoorChooser)
	queuedVMs := newQueuedVMs(s, seed, capacity, workspaceCount)
	random := rand.New(rand.NewPCG(seed, 95))
	start := s.clock.Now()
	seconds := int((lossRunDuration + time.Minute).Seconds())
	second := func() int { return min(int(s.clock.Now().Sub(start).Seconds()), seconds-1) }
	offers := make([]int, seconds)
	s.clock.After(lossStart, func() { s.setDown(lost, true) })
	s.clock.After(lossStart+lossDuration, func() { s.setDown(lost, false) })
	tallies := make([]tally, len(trafficKinds))
	for i, k := range trafficKinds {
		tallies[i] = tally{make([]int, seconds), make([]int, seconds)}
		var try func(w contract.WorkspaceID, firstSecond, retriesLeft int, first time.Time)
		try = func(w contract.WorkspaceID, firstSecond, retriesLeft int, first time.Time) {
			offers[second()]++
			queuedVMs[random.IntN(len(queuedVMs))].offer(w, k.class, requestDeadline, func(r requestResult) {
				switch {
				case r.refused && retriesLeft > 0:
					s.clock.After(r.retryAfter, func() { try(w, firstSecond, retriesLeft-1, first) })
				case !r.refused && !r.failed && r.latency <= requestDeadline:
					tallies[i].answered[firstSecond]++
				}
			})
		}
		model.Arrivals(s.clock, random, lossLoad*uncachedCapacity(engines)*k.share, lossRunDuration, func() {
			w := contract.WorkspaceID("large")
			if k.workspaces > 1 {
				w = contract.WorkspaceID(fmt.Sprint("small", random.IntN(k.workspaces)))
			}
			firstSecond := second()
			tallies[i].offered[firstSecond]++
			try(w, firstSecond, lossRetries, s.clock.Now())
		})
	}
	s.clock.Run(lossRunDuration + 30*time.Second)
	return tallies, offers
}

// setDown makes the first n engines fail requests and send no load reports,
// or restores these engines.
func (s *site) setDown(n int, down bool) {
	for i := range n {
		s.engines[i].Down = down
	}
	s.silentEngines = 0
	if down {
		s.silentEngines = n
	}
}
