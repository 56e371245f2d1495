package main

import (
	"fmt"
	"slices"
	"time"

	"woaddoor/internal/standin/replica"
)

// arrival is a request that reached an upstream.
type arrival struct {
	at time.Time
	id string
	// by is the incarnation of the VM that sent the request.
	by string
	// remaining is the time that the VM gave the upstream when it sent the request.
	remaining time.Duration
}

// newArrival returns the arrival of a request now.
func newArrival(r *replica.Request) arrival {
	return arrival{time.Now(), r.ID(), r.Header.Get(headerVMIncarnation), r.Deadline()}
}

// delayAfter returns how much longer the repeated arrival was on its way than the first one.
func (a arrival) delayAfter(first arrival) time.Duration {
	return a.at.Sub(first.at) - (first.remaining - a.remaining)
}

// runCount returns how often a request has begun to run.
func (u *upstreams) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[id]
}

// checkQuarantine checks that few poison requests arrived later than settleTime after poison
// requests had crashed three upstreams. The check applies during faults too,
// because a quarantine entry outlasts faults.
func (u *upstreams) checkQuarantine() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.poisonExits) >= 3 {
		u.checkLateArrivals(guaranteeQuarantine, bodyPoison, u.poisonArrivals, u.poisonExits, 3)
	}
}

// checkPartQuarantine is checkQuarantine for the poison part and five crashes. A part that is held
// before the fifth crash has no late arrivals.
func (u *upstreams) checkPartQuarantine() {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch n := len(u.partExits); {
	case n >= 5:
		u.checkLateArrivals(guaranteePartHeld, bodyPoisonPart, u.partArrivals, u.partExits, 5)
	case n > 0:
		u.recorder.check(guaranteePartHeld, true, bodyPoisonPart, "")
	}
}

// checkLateArrivals checks that at most three requests arrived later than settleTime after the crash
// with the given number. The caller holds mu.
func (u *upstreams) checkLateArrivals(guarantee, id string, arrivals, exits []time.Time, crashes int) {
	late := 0
	for _, at := range arrivals {
		if at.Sub(exits[crashes-1]) > settleTime {
			late++
		}
	}
	u.recorder.check(guarantee, late <= 3, id, fmt.Sprintf("arrived %d times later than %v after crash %d of %d", late, settleTime, crashes, len(exits)))
}

// checkRetryBudget checks that no window of ten seconds (retryWindow) contains more repeated
// arrivals than the budget allows for the requests that callers sent.
func (u *upstreams) checkRetryBudget(countSent func(from, to time.Time) int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := make(map[string]arrival, len(u.arrivals))
	var repeats []arrival
	for _, a := range u.arrivals {
		if _, repeated := first[a.id]; repeated {
			repeats = append(repeats, a)
			continue
		}
		first[a.id] = a
	}
	for i, last := range repeats {
		inWindow := slices.DeleteFunc(slices.Clone(repeats[:i+1]), func(a arrival) bool { return last.at.Sub(a.at) >= retryWindow })
		allowed := retryRatio*float64(countSent(last.at.Add(-2*retryWindow), last.at)) + retrySlack
		ok := float64(len(inWindow)) <= allowed
		detail := ""
		if !ok {
			detail = fmt.Sprintf("%d repeated sends in %v, %.0f are allowed: %s", len(inWindow), retryWindow, allowed, describeRepeats(inWindow, first))
		}
		u.recorder.check(guaranteeRetryBudget, ok, "all", detail)
	}
}

// describeRepeats describes which VM incarnations sent repeated arrivals,
// and how many of them were on their way for much longer than the first arrival was.
func describeRepeats(repeats []arrival, first map[string]arrival) string {
	const longDelay = 200 * time.Millisecond
	late, by := 0, make(map[string]int)
	for _, a := range repeats {
		by[a.by]++
		if a.delayAfter(first[a.id]) > longDelay {
			late++
		}
	}
	return fmt.Sprintf("%d were delivered over %v late; by VM incarnation %v", late, longDelay, by)
}
