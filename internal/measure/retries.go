package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/retry"
	"woaddoor/workspace"
)

// Settings of the retry measurements.
const (
	faultBegins  = 30 * time.Second
	faultLasts   = 30 * time.Second
	retryRun     = 180 * time.Second
	naiveTimeout = 3 * time.Second
	naiveTries   = 3
	retryLoad    = 0.9
	bucket       = time.Second
)

// trial is one run of a way to retry through a fault.
type trial struct {
	site    *site
	random  *rand.Rand
	fault   func(e []*model.Engine, on bool)
	offered int
	sends   int // attempts that reached a healthy engine
	good    []int
	failed  int
	counts  []int // offered, by bucket
	start   time.Time
	during  struct{ offered, sends int }
}

func newTrial(seed uint64, n int, make func(int, *rand.Rand) chooser, fault func([]*model.Engine, bool)) *trial {
	t := &trial{site: newSite(seed, n, vms, 1, time.Second, make), random: rand.New(rand.NewPCG(seed, 60)), fault: fault}
	t.start = t.site.clock.Now()
	t.good, t.counts = grow(), grow()
	t.site.clock.After(faultBegins, func() { fault(t.site.engines, true) })
	t.site.clock.After(faultBegins+faultLasts, func() { fault(t.site.engines, false) })
	return t
}

func grow() []int { return make([]int, int(retryRun/bucket)+1) }

func (t *trial) bucket() int { return int(t.site.clock.Now().Sub(t.start) / bucket) }

func (t *trial) faulty() bool {
	at := t.site.clock.Now().Sub(t.start)
	return at >= faultBegins && at < faultBegins+faultLasts
}

// send makes one attempt and calls done with its answer, or with a failure
// after timeout. gone is told to the engine when cancel is true.
func (t *trial) send(vm chooser, timeout time.Duration, cancel bool, done func(failed bool)) {
	over := false
	finish := func(failed bool) {
		if !over {
			over = true
			done(failed)
		}
	}
	began := t.site.clock.Now()
	prefix := uint64(t.random.IntN(prefixKinds)) + 1
	i := vm.pick(began, prefix)
	if i < 0 {
		finish(true)
		return
	}
	w := model.Work{Prefix: prefix, Tokens: 1 + t.random.IntN(2*meanTokens-1)}
	if cancel {
		w.Gone = func() bool { return over }
	}
	if e := t.site.engines[i]; !e.Down {
		t.sends++
		if t.faulty() {
			t.during.sends++
		}
	}
	vm.sent(i, prefix)
	end := func(failed bool) {
		if !over {
			vm.done(i, t.site.clock.Now().Sub(began), failed, t.site.clock.Now())
		}
		finish(failed)
	}
	t.site.engines[i].Do(w, func(a model.Answer) { end(a.Failed) })
	t.site.clock.After(timeout, func() { end(true) })
}

func (t *trial) arrive() int {
	t.offered++
	if t.faulty() {
		t.during.offered++
	}
	b := t.bucket()
	t.counts[b]++
	return b
}

// naive retries three times at once, whatever the failure.
func (t *trial) naive(left int, born int) {
	vm := t.site.vms[t.random.IntN(vms)]
	t.send(vm, naiveTimeout, false, func(failed bool) {
		switch {
		case !failed:
			t.good[born]++
		case left > 0:
			t.naive(left-1, born)
		default:
			t.failed++
		}
	})
}

// node is one VM with its budget and its queue.
type node struct {
	vm     chooser
	budget *retry.Budget
	queue  *workspace.Queue
	wait   map[workspace.ID]func(bool)
	next   workspace.ID
}

func (t *trial) nodes() []*node {
	var nodes []*node
	for _, vm := range t.site.vms {
		n := &node{vm: vm, budget: retry.NewBudget(retry.Options{}), queue: workspace.NewQueue(workspace.Options{Capacity: capacityOf(), TotalShare: 1}), wait: make(map[workspace.ID]func(bool))}
		t.site.clock.Every(20*time.Millisecond, func() bool {
			for _, i := range n.queue.Expire(t.site.clock.Now()) {
				n.tell(i.ID, false)
			}
			return true
		})
		nodes = append(nodes, n)
	}
	return nodes
}

func (n *node) tell(id workspace.ID, runs bool) {
	do := n.wait[id]
	delete(n.wait, id)
	do(runs)
}

// ours admits, then retries under the budget.
func (t *trial) ours(n *node, born int) {
	now := t.site.clock.Now()
	deadline := now.Add(fairDeadline)
	n.next++
	id := n.next
	const w = contract.WorkspaceID("w")
	run := func(runs bool) {
		if !runs {
			t.failed++
			return
		}
		began := t.site.clock.Now()
		n.budget.First()
		t.attempt(n, 1, deadline, func(good bool) {
			if good {
				t.good[born]++
			} else {
				t.failed++
			}
			for _, i := range n.queue.Done(w, t.site.clock.Now().Sub(began)) {
				n.tell(i.ID, true)
			}
		})
	}
	switch v, _ := n.queue.Offer(workspace.Item{ID: id, Workspace: w, Deadline: deadline}, now, t.random); v {
	case workspace.Run:
		run(true)
	case workspace.Wait:
		n.wait[id] = run
	case workspace.Refuse:
		t.failed++
	}
}

func (t *trial) attempt(n *node, number int, deadline time.Time, done func(good bool)) {
	t.send(n.vm, deadline.Sub(t.site.clock.Now()), true, func(failed bool) {
		if !failed {
			done(true)
			return
		}
		now := t.site.clock.Now()
		d := n.budget.Decide(retry.Attempt{Number: number, Outcome: contract.Unknown, Repeatable: true, Deadline: deadline, Expected: coldService}, now, t.random)
		if !d.Again {
			done(false)
			return
		}
		t.site.clock.After(d.Pause, func() { t.attempt(n, number+1, deadline, done) })
	})
}

// recovered returns how long after the fault's end 95 in 100 of the requests
// that then arrive are answered again, for ten seconds on end; -1 for never.
func (t *trial) recovered() time.Duration {
	const steady = 10
	first := int((faultBegins + faultLasts) / bucket)
	run := 0
	for b := first; b < len(t.good)-steady; b++ {
		if t.counts[b] > 0 && float64(t.good[b]) >= 0.95*float64(t.counts[b]) {
			if run++; run == steady {
				return time.Duration(b-steady+1-first) * bucket
			}
		} else {
			run = 0
		}
	}
	return -1
}

func sum(n []int) int {
	total := 0
	for _, x := range n {
		total += x
	}
	return total
}

// retries measures retries through a fault of 30 s.
func retries(seed uint64) []*table {
	var tables []*table
	for _, f := range []struct {
		name  string
		fault func([]*model.Engine, bool)
	}{
		{"a third of the engines fail at once", func(e []*model.Engine, on bool) {
			for i := range len(e) / 3 {
				e[i].Down = on
			}
		}},
		{"all engines at a third of their speed", func(e []*model.Engine, on bool) {
			for i := range e {
				e[i].SetSpeed(map[bool]int{true: 3, false: 1}[on])
			}
		}},
	} {
		t := &table{
			title: "Retries: " + f.name + " for 30 s",
			about: fmt.Sprintf("Load %.0f%%; naive: three retries at once after a failure or %v; seed %d.", retryLoad*100, naiveTimeout, seed),
			head:  []string{"way", "answered", "failed or refused", "attempts at healthy engines per request in the fault", "over the whole run", "recovered after"},
		}
		for _, way := range []string{"no retry", "naive", "woaddoor"} {
			row := retryRow(seed, way, f.fault)
			t.add(row...)
		}
		tables = append(tables, t)
	}
	return tables
}

func retryRow(seed uint64, way string, fault func([]*model.Engine, bool)) []any {
	make := ways[1].make
	if way == "woaddoor" {
		make = newOurs
	}
	t := newTrial(seed, engines, make, fault)
	var nodes []*node
	if way == "woaddoor" {
		nodes = t.nodes()
	}
	model.Arrivals(t.site.clock, t.random, retryLoad*fullRate(engines), retryRun, func() {
		born := t.arrive()
		switch way {
		case "woaddoor":
			t.ours(nodes[t.random.IntN(len(nodes))], born)
		case "naive":
			t.naive(naiveTries, born)
		default:
			t.naive(0, born)
		}
	})
	t.site.clock.Run(retryRun + drainFor)
	after := "never"
	if d := t.recovered(); d >= 0 {
		after = d.String()
	}
	return []any{
		way, fmt.Sprintf("%.1f%%", 100*float64(sum(t.good))/float64(t.offered)), fmt.Sprintf("%.1f%%", 100*float64(t.failed)/float64(t.offered)),
		float64(t.during.sends) / float64(t.during.offered), float64(t.sends) / float64(t.offered), after,
	}
}
