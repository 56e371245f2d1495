package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// Settings of the capacity-loss measurement.
const (
	lossBegins = 40 * time.Second
	lossLasts  = 60 * time.Second
	lossRun    = 200 * time.Second
	lossLoad   = 0.8
	comeBack   = 3 // how often a refused caller comes back
)

// kind is a kind of traffic.
type kind struct {
	name  string
	class workspace.Class
	// part of the load, spread over this many workspaces.
	part       float64
	workspaces int
}

var kinds = []kind{
	{"interactive of nine small workspaces", workspace.Interactive, 0.35, 9},
	{"interactive of one large workspace", workspace.Interactive, 0.35, 1},
	{"bulk of the large workspace", workspace.Bulk, 0.30, 1},
}

// tally counts one kind's requests by second of their first offer.
type tally struct{ offered, answered []int }

// part returns the share answered of those that began in [from, to).
func (t tally) part(from, to time.Duration) float64 {
	offered, answered := 0, 0
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		offered += t.offered[s]
		answered += t.answered[s]
	}
	return float64(answered) / float64(max(offered, 1))
}

// loss measures what is shed when capacity is lost, and how it returns.
func loss(seed uint64) []*table {
	var tables []*table
	for _, lost := range []struct {
		name string
		n    int
	}{{"a third of the engines", engines / 3}, {"two data centres' engines of three", engines * 2 / 3}} {
		t := &table{
			title: "Capacity lost: " + lost.name + " for 60 s",
			about: fmt.Sprintf("Load %.0f%%; refused callers come back up to %d times after Retry-After; share of requests answered within %v, by when they were first offered; seed %d.", lossLoad*100, comeBack, fairDeadline, seed),
			head:  []string{"traffic", "before", "during", "first 10 s after", "later", "way"},
		}
		herd := &table{title: "Return of refused callers: " + lost.name, about: "Offers in the busiest second, in parts of the mean before the loss.", head: []string{"way", "busiest second during", "busiest second after"}}
		for _, way := range []struct {
			name     string
			capacity int
		}{{"no queue", 0}, {"woaddoor", capacityOf()}} {
			tallies, offers := lossTrial(seed, way.capacity, lost.n)
			back := lossBegins + lossLasts
			for i, k := range kinds {
				c := tallies[i]
				t.add(k.name, pct(c.part(warmUp, lossBegins)), pct(c.part(lossBegins, back)), pct(c.part(back, back+10*time.Second)), pct(c.part(back+10*time.Second, lossRun-fairDeadline)), way.name)
			}
			mean := float64(sum(offers[int(warmUp.Seconds()):int(lossBegins.Seconds())])) / (lossBegins - warmUp).Seconds()
			herd.add(way.name, peak(offers, lossBegins, back)/mean, peak(offers, back, lossRun)/mean)
		}
		tables = append(tables, t, herd)
	}
	return tables
}

func pct(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func peak(n []int, from, to time.Duration) float64 {
	best := 0
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		best = max(best, n[s])
	}
	return float64(best)
}

func lossTrial(seed uint64, capacity, lost int) ([]tally, []int) {
	s := newSite(seed, engines, vms, 1, time.Second, newOurs)
	fronts := newFronts(s, seed, capacity, workspaces)
	random := rand.New(rand.NewPCG(seed, 95))
	start := s.clock.Now()
	seconds := int((lossRun + time.Minute).Seconds())
	second := func() int { return min(int(s.clock.Now().Sub(start).Seconds()), seconds-1) }
	offers := make([]int, seconds)
	s.clock.After(lossBegins, func() { s.down(lost, true) })
	s.clock.After(lossBegins+lossLasts, func() { s.down(lost, false) })
	tallies := make([]tally, len(kinds))
	for i, k := range kinds {
		tallies[i] = tally{make([]int, seconds), make([]int, seconds)}
		var try func(w contract.WorkspaceID, born, left int, first time.Time)
		try = func(w contract.WorkspaceID, born, left int, first time.Time) {
			offers[second()]++
			fronts[random.IntN(len(fronts))].offer(w, k.class, fairDeadline, func(e ended) {
				switch {
				case e.refused && left > 0:
					s.clock.After(e.after, func() { try(w, born, left-1, first) })
				case !e.refused && !e.failed && e.took <= fairDeadline:
					tallies[i].answered[born]++
				}
			})
		}
		model.Arrivals(s.clock, random, lossLoad*fullRate(engines)*k.part, lossRun, func() {
			w := contract.WorkspaceID("large")
			if k.workspaces > 1 {
				w = contract.WorkspaceID(fmt.Sprint("small", random.IntN(k.workspaces)))
			}
			born := second()
			tallies[i].offered[born]++
			try(w, born, comeBack, s.clock.Now())
		})
	}
	s.clock.Run(lossRun + 30*time.Second)
	return tallies, offers
}

// down takes the first n engines out, silent and failing, or brings them back.
func (s *site) down(n int, down bool) {
	for i := range n {
		s.engines[i].Down = down
	}
	s.silent = 0
	if down {
		s.silent = n
	}
}
