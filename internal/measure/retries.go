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

// Parameters of the retry measurements.
const (
	faultStart       = 30 * time.Second
	faultDuration    = 30 * time.Second
	retryRunDuration = 180 * time.Second
	naiveTimeout     = 3 * time.Second // of an attempt of the strategies without a retry budget
	naiveRetries     = 3               // retries of the naive strategy
	retryLoad        = 0.9             // as a part of uncachedCapacity
	bucketWidth      = time.Second     // answers are counted by buckets of time
)

// retryTrial runs one retry strategy through a fault.
type retryTrial struct {
	site              *site
	random            *rand.Rand
	fault             func(e []*model.Engine, on bool) // switches the fault on or off
	arrivals          int                              // requests that arrived
	sends             int                              // attempts that reached a healthy engine
	answeredPerBucket []int                            // answered requests, by the bucket of their arrival
	failed            int                              // requests that failed or were refused
	arrivalsPerBucket []int
	start             time.Time
	inFault           struct{ offered, sends int } // arrivals and sends while the fault was active
}

// newRetryTrial returns a retryTrial on n engines in which fault is switched on at faultStart
// and off after faultDuration.
func newRetryTrial(seed uint64, n int, make func(int, *rand.Rand) chooser, fault func([]*model.Engine, bool)) *retryTrial {
	t := &retryTrial{site: newSite(seed, n, vms, 1, time.Second, make), random: rand.New(rand.NewPCG(seed, 60)), fault: fault}
	t.start = t.site.clock.Now()
	t.answeredPerBucket, t.arrivalsPerBucket = newBuckets(), newBuckets()
	t.site.clock.After(faultStart, func() { fault(t.site.engines, true) })
	t.site.clock.After(faultStart+faultDuration, func() { fault(t.site.engines, false) })
	return t
}

// newBuckets returns a zero counter for each bucket of the run.
func newBuckets() []int { return make([]int, int(retryRunDuration/bucketWidth)+1) }

// currentBucket returns the index of the bucket that contains the current time.
func (t *retryTrial) currentBucket() int { return int(t.site.clock.Now().Sub(t.start) / bucketWidth) }

// faultActive reports whether the fault is active now.
func (t *retryTrial) faultActive() bool {
	at := t.site.clock.Now().Sub(t.start)
	return at >= faultStart && at < faultStart+faultDuration
}

// send makes one attempt and calls done once: when the attempt ends, or, with failed set,
// after timeout. If cancel is true, the engine removes an attempt
// that has timed out from the engine's queue.
func (t *retryTrial) send(vm chooser, timeout time.Duration, cancel bool, done func(failed bool)) {
	ended := false
	finish := func(failed bool) {
		if !ended {
			ended = true
			done(failed)
		}
	}
	began := t.site.clock.Now()
	prefix := uint64(t.random.IntN(distinctPrefixes)) + 1
	i := vm.pick(began, prefix)
	if i < 0 {
		finish(true)
		return
	}
	request := model.Request{Prefix: prefix, Tokens: 1 + t.random.IntN(2*meanTokens-1)}
	if cancel {
		request.Abandoned = func() bool { return ended }
	}
	if e := t.site.engines[i]; !e.Down {
		t.sends++
		if t.faultActive() {
			t.inFault.sends++
		}
	}
	vm.sent(i, prefix)
	end := func(failed bool) {
		if !ended {
			vm.done(i, t.site.clock.Now().Sub(began), failed, t.site.clock.Now())
		}
		finish(failed)
	}
	t.site.engines[i].Submit(request, func(result model.Result) { end(result.Failed) })
	t.site.clock.After(timeout, func() { end(true) })
}

// recordArrival counts an arriving request and returns its bucket.
func (t *retryTrial) recordArrival() int {
	t.arrivals++
	if t.faultActive() {
		t.inFault.offered++
	}
	b := t.currentBucket()
	t.arrivalsPerBucket[b]++
	return b
}

// sendNaively sends a request and retries immediately after any failure, up to retriesLeft times.
func (t *retryTrial) sendNaively(retriesLeft int, bucket int) {
	vm := t.site.vms[t.random.IntN(vms)]
	t.send(vm, naiveTimeout, false, func(failed bool) {
		switch {
		case !failed:
			t.answeredPerBucket[bucket]++
		case retriesLeft > 0:
			t.sendNaively(retriesLeft-1, bucket)
		default:
			t.failed++
		}
	})
}

// retryingVM models one VM with its retry budget and its admission queue.
type retryingVM struct {
	chooser chooser
	budget  *retry.Budget
	queue   *workspace.Queue
	// waiting holds, for each queued request, the function to call with true when the
	// request is admitted, or with false when it expires.
	waiting map[workspace.ID]func(bool)
	lastID  workspace.ID
}

// newRetryingVMs returns a retryingVM for each VM of the site. Each retryingVM checks its queue
// for expired requests every 20 ms.
func (t *retryTrial) newRetryingVMs() []*retryingVM {
	var retryingVMs []*retryingVM
	for _, vm := range t.site.vms {
		retrying := &retryingVM{chooser: vm, budget: retry.NewBudget(retry.Options{}), queue: workspace.NewQueue(workspace.Options{Capacity: queueCapacity(), TotalWeight: 1}), waiting: make(map[workspace.ID]func(bool))}
		t.site.clock.Every(20*time.Millisecond, func() bool {
			for _, expired := range retrying.queue.Expire(t.site.clock.Now()) {
				retrying.resolve(expired.ID, false)
			}
			return true
		})
		retryingVMs = append(retryingVMs, retrying)
	}
	return retryingVMs
}

// resolve calls the waiting function of a queued request. runs is false when the request expired.
func (vm *retryingVM) resolve(id workspace.ID, runs bool) {
	do := vm.waiting[id]
	delete(vm.waiting, id)
	do(runs)
}

// sendWithBudget offers a request to the admission queue of vm,
// and retries it within the retry budget.
func (t *retryTrial) sendWithBudget(vm *retryingVM, bucket int) {
	now := t.site.clock.Now()
	deadline := now.Add(requestDeadline)
	vm.lastID++
	id := vm.lastID
	const w = contract.WorkspaceID("w")
	run := func(runs bool) {
		if !runs {
			t.failed++
			return
		}
		began := t.site.clock.Now()
		vm.budget.RecordFirstAttempt()
		t.attempt(vm, 1, deadline, func(good bool) {
			if good {
				t.answeredPerBucket[bucket]++
			} else {
				t.failed++
			}
			for _, admitted := range vm.queue.Done(w, t.site.clock.Now().Sub(began)) {
				vm.resolve(admitted.ID, true)
			}
		})
	}
	switch decision, _ := vm.queue.Offer(workspace.Request{ID: id, Workspace: w, Deadline: deadline}, now, t.random); decision {
	case workspace.Admitted:
		run(true)
	case workspace.Queued:
		vm.waiting[id] = run
	case workspace.Rejected:
		t.failed++
	}
}

// attempt makes the attempt with the given number at a request. After a failure it sends the
// request again if the retry budget allows a retry.
func (t *retryTrial) attempt(vm *retryingVM, number int, deadline time.Time, done func(good bool)) {
	t.send(vm.chooser, deadline.Sub(t.site.clock.Now()), true, func(failed bool) {
		if !failed {
			done(true)
			return
		}
		now := t.site.clock.Now()
		d := vm.budget.TryRetry(retry.Attempt{Number: number, Outcome: contract.OutcomeUnknown, Repeatable: true, Deadline: deadline, ExpectedDuration: uncachedServiceTime}, now, t.random)
		if !d.Retry {
			done(false)
			return
		}
		t.site.clock.After(d.Pause, func() { t.attempt(vm, number+1, deadline, done) })
	})
}

// recoveryTime returns the time from the end of the fault to the first of ten
// consecutive seconds in which at least 95 in 100 of the arriving requests are answered.
// It returns -1 if no ten such seconds exist.
func (t *retryTrial) recoveryTime() time.Duration {
	const steady = 10
	first := int((faultStart + faultDuration) / bucketWidth)
	run := 0
	for b := first; b < len(t.answeredPerBucket)-steady; b++ {
		if t.arrivalsPerBucket[b] > 0 && float64(t.answeredPerBucket[b]) >= 0.95*float64(t.arrivalsPerBucket[b]) {
			if run++; run == steady {
				return time.Duration(b-steady+1-first) * bucketWidth
			}
		} else {
			run = 0
		}
	}
	return -1
}

// sum returns the sum of n.
func sum(n []int) int {
	total := 0
	for _, x := range n {
		total += x
	}
	return total
}

// retries compares retry strategies through a fault of 30 s.
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
				e[i].SetSlowdown(map[bool]int{true: 3, false: 1}[on])
			}
		}},
	} {
		t := &table{
			title:       "Retries: " + f.name + " for 30 s",
			description: fmt.Sprintf("Load %.0f%%; naive: three retries at once after a failure or %v; seed %d.", retryLoad*100, naiveTimeout, seed),
			columns:     []string{"way", "answered", "failed or refused", "attempts at healthy engines per request in the fault", "over the whole run", "recovered after"},
		}
		for _, strategy := range []string{"no retry", "naive", "woaddoor"} {
			row := measureRetryStrategy(seed, strategy, f.fault)
			t.addRow(row...)
		}
		tables = append(tables, t)
	}
	return tables
}

// measureRetryStrategy runs one strategy through a fault and returns its table row.
func measureRetryStrategy(seed uint64, strategy string, fault func([]*model.Engine, bool)) []any {
	make := choosers[1].make
	if strategy == "woaddoor" {
		make = newWoaddoorChooser
	}
	t := newRetryTrial(seed, engines, make, fault)
	var retryingVMs []*retryingVM
	if strategy == "woaddoor" {
		retryingVMs = t.newRetryingVMs()
	}
	model.Arrivals(t.site.clock, t.random, retryLoad*uncachedCapacity(engines), retryRunDuration, func() {
		bucket := t.recordArrival()
		switch strategy {
		case "woaddoor":
			t.sendWithBudget(retryingVMs[t.random.IntN(len(retryingVMs))], bucket)
		case "naive":
			t.sendNaively(naiveRetries, bucket)
		default:
			t.sendNaively(0, bucket)
		}
	})
	t.site.clock.Run(retryRunDuration + drainDuration)
	after := "never"
	if d := t.recoveryTime(); d >= 0 {
		after = d.String()
	}
	return []any{
		strategy, fmt.Sprintf("%.1f%%", 100*float64(sum(t.answeredPerBucket))/float64(t.arrivals)), fmt.Sprintf("%.1f%%", 100*float64(t.failed)/float64(t.arrivals)),
		float64(t.inFault.sends) / float64(t.inFault.offered), float64(t.sends) / float64(t.arrivals), after,
	}
}
