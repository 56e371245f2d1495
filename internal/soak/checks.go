package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// A promise that the soak checks, by name.
const (
	promiseOnce     = "what may not run again runs once"
	promiseNotRun   = "not run is true"
	promiseOwn      = "a whole answer is the caller's own, from the upstream that gave it"
	promiseEvents   = "events come in order, each once, and a whole stream has its end"
	promiseHeld     = "a content that has ended three upstreams comes to three more at most"
	promiseSettings = "a removed key is refused once that is in force everywhere"
	promiseBudget   = "repeated sends stay within the budget"
	promiseBack     = "requests are served again after the last fault"
	promiseLeft     = "an upstream that says that it leaves gets nothing more after the bound"
	promiseRest     = "an upstream that asks for a rest gets two requests in it at most"
	promiseLimit    = "an upstream that names a limit gets no more than that from all VMs"
	promiseEmptied  = "an evacuated data centre gets nothing more after the bound"
	promiseSpace    = "memory, goroutines and descriptors stay bounded"
)

// promises are all, each of which a run has to have checked.
var promises = []string{
	promiseOnce, promiseNotRun, promiseOwn, promiseEvents, promiseHeld, promiseSettings, promiseBudget, promiseBack, promiseLeft, promiseRest,
	promiseLimit, promiseEmptied, promiseSpace,
}

// tally counts what was checked, and keeps what failed, with the faults around it.
type tally struct {
	began time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	checked  map[string]int
	failures []string
	timeline []string
	// interrupted tells that the run ended before its checks of the end.
	interrupted bool
}

func newTally() *tally { return &tally{began: time.Now(), checked: make(map[string]int)} }

// check counts one check of a promise.
func (t *tally) check(promise string, ok bool, id, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checked[promise]++
	if !ok {
		t.failures = append(t.failures, fmt.Sprintf("%.3f s: %s: request %s: %s", time.Since(t.began).Seconds(), promise, id, why))
	}
}

// interrupt notes that the run ends before its checks of the end.
func (t *tally) interrupt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interrupted = true
}

// fault notes that a fault begins or ends.
func (t *tally) fault(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeline = append(t.timeline, fmt.Sprintf("%.3f s: %s", time.Since(t.began).Seconds(), what))
}

// report returns the tally, one promise a line, and what failed.
func (t *tally) report() (lines []string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, n := range t.checked {
		lines = append(lines, fmt.Sprintf("%8d  %s", n, p))
	}
	sort.Strings(lines)
	for _, p := range promises {
		if t.checked[p] == 0 && !t.interrupted {
			t.failures = append(t.failures, "not checked in this run: "+p)
		}
	}
	if len(t.failures) == 0 {
		return lines, false
	}
	lines = append(append(lines, "", "broken:"), t.failures...)
	return append(append(lines, "", "faults:"), t.timeline...), true
}
