package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// promptLoadSpan is the shortest time over which the prefill work of a service is averaged.
const promptLoadSpan = 2 * time.Second

// promptLoad is the prefill work that this VM sends to the engines of a service.
type promptLoad struct {
	// prefillSeconds is the expected prefill time
	// and prompts the number of the prompts sent in the current averaging span.
	// The averaging span began at spanStart.
	prefillSeconds, prompts float64
	spanStart               time.Time
	// rate is the prefill work per second during the last complete averaging span.
	rate scaling.Load
}

// rotate ends the current averaging span if the span has lasted promptLoadSpan.
func (l *promptLoad) rotate(now time.Time) {
	passed := now.Sub(l.spanStart)
	if passed < promptLoadSpan {
		return
	}
	l.rate = scaling.Load{Prefill: l.prefillSeconds / passed.Seconds(), PromptRate: l.prompts / passed.Seconds()}
	l.prefillSeconds, l.prompts, l.spanStart = 0, 0, now
}

// recordPromptLoad records a prompt and the time
// that an engine of the service is expected to spend on its prefill.
// The caller holds mu.
func (r *Relay) recordPromptLoad(s contract.ServiceID, prefill time.Duration, now time.Time) {
	load := r.promptLoads[s]
	if load == nil {
		load = &promptLoad{spanStart: now}
		r.promptLoads[s] = load
	}
	load.rotate(now)
	load.prefillSeconds += prefill.Seconds()
	load.prompts++
}

// OfferedLoad returns the prefill work that this VM sends to the upstreams of each service.
func (r *Relay) OfferedLoad() map[contract.ServiceID]scaling.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	work := make(map[contract.ServiceID]scaling.Load)
	for s, load := range r.promptLoads {
		load.rotate(now)
		work[s] = load.rate
	}
	for id, n := range r.table.InFlight() {
		s := r.entries[id].Service
		serviceWork := work[s]
		serviceWork.SlotsInUse += float64(n)
		work[s] = serviceWork
	}
	return work
}
