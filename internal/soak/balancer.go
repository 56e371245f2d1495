package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// balancer is the load balancer of the platform. It hands a new connection to a VM of the caller's data
// centre that answers its readiness checks; while the entry is uneven, most of them to one VM.
type balancer struct {
	vms   []*limitedVM
	trial entryTrial

	// mu guards the fields below.
	mu     sync.Mutex
	missed []int // readiness checks in a row that each VM has missed
	scope  string
	first  int // where the search for the VM that gets the crowd begins
}

// missedOut is after how many missed readiness checks a VM gets no new connections.
const missedOut = 2

func newBalancer(vms []*limitedVM, e entryTrial) *balancer {
	return &balancer{vms: vms, trial: e, missed: make([]int, len(vms)), scope: "none", first: e.LargeVMs}
}

func (b *balancer) setUneven(scope string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scope = scope
}

// move lets the crowd move on to other VMs.
func (b *balancer) move() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += dataCentresOfTrial
}

// dataCentresOfTrial is the number of data centres that dataCentre names.
const dataCentresOfTrial = 3

// checkReadiness checks each VM every second until ctx ends.
func (b *balancer) checkReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for n, v := range b.vms {
			go func() {
				ready := v.isReady()
				b.mu.Lock()
				defer b.mu.Unlock()
				b.missed[n]++
				if ready {
					b.missed[n] = 0
				}
			}()
		}
		sleepUntil(ctx, time.Now().Add(time.Second))
	}
}

// pick returns the VM for a new connection of a caller. A retry reaches a VM of the data centre that the caller has not
// tried, if there is one.
func (b *balancer) pick(caller string, tried []entryTry) *limitedVM {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(tried) == 0 && rand.Float64() < b.trial.Share {
		if v := b.crowded(caller); v != nil {
			return v
		}
	}
	var all, in []*limitedVM
	for n, v := range b.vms {
		if v.dataCentre != caller {
			continue
		}
		all = append(all, v)
		if b.missed[n] < missedOut {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	untried := slices.DeleteFunc(slices.Clone(in), func(v *limitedVM) bool {
		return slices.ContainsFunc(tried, func(t entryTry) bool { return t.vm == v.name })
	})
	if len(untried) > 0 {
		in = untried
	}
	return in[rand.IntN(len(in))]
}

// crowded returns the VM that gets most new connections of callers of a data centre, or nil. The caller
// holds mu.
func (b *balancer) crowded(caller string) *limitedVM {
	for k := range b.vms {
		n := (b.first + k) % len(b.vms)
		if b.missed[n] < missedOut && (b.scope == "region" || b.scope == "centres" && b.vms[n].dataCentre == caller) {
			return b.vms[n]
		}
	}
	return nil
}
