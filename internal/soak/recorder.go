package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Guarantees that the soak checks, as they appear in its output.
const (
	guaranteeAtMostOnce    = "a request that must not be repeated runs at most once"
	guaranteeNotRun        = "a request reported as not run has not run"
	guaranteeOwnAnswer     = "a complete answer belongs to the caller's request and carries the upstream's signature"
	guaranteeEventOrder    = "stream events arrive in order, each once, and a stream that ends normally is complete"
	guaranteeQuarantine    = "a content that has crashed three upstreams reaches at most three more"
	guaranteePartHeld      = "a prompt part under which five upstreams have crashed reaches at most three more"
	guaranteeRevokedKey    = "a revoked key is refused once the configuration is in force everywhere"
	guaranteeRetryBudget   = "repeated sends stay within the retry budget"
	guaranteeRecovery      = "requests are served again after the last fault"
	guaranteeDrain         = "an upstream that announces it is leaving receives no requests after the drain timeout"
	guaranteeBackoff       = "an upstream that asks for a back-off receives at most two requests during it"
	guaranteeRateLimit     = "an upstream that advertises a rate limit receives no more than that from all VMs together"
	guaranteeEvacuation    = "an evacuated data centre receives no requests after the evacuation timeout"
	guaranteeDrainEntry    = "an upstream whose entry says that it drains receives no requests after the drain timeout"
	guaranteeConfiguration = "a configuration is in force on each VM within the bound, and stays"
	guaranteeResources     = "heap size and goroutine count stay bounded"
	guaranteeMemory        = "the process of a VM stays within the memory of its machine"
)

// guarantees lists all guarantees. A run that does not check each guarantee at least once fails.
var guarantees = []string{
	guaranteeAtMostOnce, guaranteeNotRun, guaranteeOwnAnswer, guaranteeEventOrder, guaranteeQuarantine, guaranteePartHeld, guaranteeRevokedKey, guaranteeRetryBudget, guaranteeRecovery, guaranteeDrain, guaranteeBackoff,
	guaranteeRateLimit, guaranteeEvacuation, guaranteeDrainEntry, guaranteeConfiguration, guaranteeResources, guaranteeMemory,
}

// recorder counts the checks of each guarantee, and keeps the failures and the timeline of faults.
type recorder struct {
	startedAt time.Time

	// mu guards the fields below.
	mu          sync.Mutex
	checkCounts map[string]int
	failures    []string
	faults      []string
	// interrupted is set when the run ended before its final checks.
	interrupted bool
}

func newRecorder() *recorder {
	return &recorder{startedAt: time.Now(), checkCounts: make(map[string]int)}
}

// check records one check of a guarantee. id names the request or VM that was checked, and detail
// describes the failure if ok is false.
func (r *recorder) check(guarantee string, ok bool, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCounts[guarantee]++
	if !ok {
		r.failures = append(r.failures, fmt.Sprintf("%.3f s: %s: %s: %s", time.Since(r.startedAt).Seconds(), guarantee, id, detail))
	}
}

// markInterrupted records that the run ends before its final checks.
func (r *recorder) markInterrupted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = true
}

// recordFault adds a fault to the timeline.
func (r *recorder) recordFault(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%.3f s: %s", time.Since(r.startedAt).Seconds(), description))
}

// report returns the number of checks of each guarantee, one per line, followed by the failures
// and the faults if any check failed.
func (r *recorder) report() (lines []string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for guarantee, n := range r.checkCounts {
		lines = append(lines, fmt.Sprintf("%8d  %s", n, guarantee))
	}
	sort.Strings(lines)
	for _, guarantee := range guarantees {
		if r.checkCounts[guarantee] == 0 && !r.interrupted {
			r.failures = append(r.failures, "never checked in this run: "+guarantee)
		}
	}
	if len(r.failures) == 0 {
		return lines, false
	}
	lines = append(append(lines, "", "broken:"), r.failures...)
	return append(append(lines, "", "faults:"), r.faults...), true
}
