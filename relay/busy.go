package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// busyFor is over how long the reading of prompts is averaged.
const busyFor = 2 * time.Second

// busy is how much reading this VM gives the engines of a service.
type busy struct {
	// reading and prompts are those of the present span, in seconds and in number, and since
	// when that runs.
	reading, prompts float64
	since            time.Time
	// rate is the work of the last whole span, a second.
	rate scaling.Work
}

// turn ends the present span once it is over.
func (b *busy) turn(now time.Time) {
	passed := now.Sub(b.since)
	if passed < busyFor {
		return
	}
	b.rate = scaling.Work{Reading: b.reading / passed.Seconds(), Prompts: b.prompts / passed.Seconds()}
	b.reading, b.prompts, b.since = 0, 0, now
}

// reads notes a prompt that an engine of a service is expected to read for a while. The
// caller holds mu.
func (r *Relay) reads(s contract.ServiceID, takes time.Duration, now time.Time) {
	b := r.busy[s]
	if b == nil {
		b = &busy{since: now}
		r.busy[s] = b
	}
	b.turn(now)
	b.reading += takes.Seconds()
	b.prompts++
}

// Work returns what this VM gives the upstreams of each service to do.
func (r *Relay) Work() map[contract.ServiceID]scaling.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	out := make(map[contract.ServiceID]scaling.Work)
	for s, b := range r.busy {
		b.turn(now)
		out[s] = b.rate
	}
	for id, n := range r.table.Busy() {
		s := r.entries[id].Service
		w := out[s]
		w.Places += float64(n)
		out[s] = w
	}
	return out
}
