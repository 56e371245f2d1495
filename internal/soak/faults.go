package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
)

// fault is one fault of a plan, at a time after the start.
type fault struct {
	at   time.Duration
	name string
	do   func()
}

// group tells what brings a kind of fault about. Each is drawn apart, so that a seed goes on
// to draw the same of one when another grows; its number is that of the stream that draws it.
type group uint64

const (
	byItself   group = iota + 2 // what fails
	byWords                     // what upstreams say of themselves
	byOperator                  // what the operator does
	byLimits                    // how much upstreams say that they take
)

// kind is a kind of fault. n draws whom one strikes, d how long it lasts.
type kind struct {
	group group
	do    func(n int, d time.Duration)
}

// kinds are the faults that a plan is drawn from.
func (f *fleet) kinds() map[string]kind {
	one := func(n int) *vm { return f.vms[n%len(f.vms)] }
	return map[string]kind{
		"vm-paused":   {byItself, func(n int, d time.Duration) { f.pause(one(n), d) }},
		"vm-killed":   {byItself, func(n int, _ time.Duration) { f.kill(one(n)) }},
		"vm-stopped":  {byItself, func(n int, _ time.Duration) { f.planned(one(n)) }},
		"vm-reloaded": {byItself, func(n int, _ time.Duration) { one(n).signal(syscall.SIGHUP) }},
		"vms-killed": {byItself, func(int, time.Duration) {
			for _, v := range f.vms {
				f.kill(v)
			}
		}},
		"callers-reset":  {byItself, func(n int, _ time.Duration) { one(n).callers.resetAll() }},
		"callers-silent": {byItself, func(n int, _ time.Duration) { one(n).callers.silence() }},
		"callers-slow": {byItself, func(n int, d time.Duration) {
			one(n).callers.set(50*time.Millisecond, false)
			time.AfterFunc(d, func() { one(n).callers.set(0, false) })
		}},
		"store-down":    {byItself, func(_ int, d time.Duration) { f.storeFault(objects.Faults{Down: true}, d) }},
		"store-silent":  {byItself, func(_ int, d time.Duration) { f.storeFault(objects.Faults{Silent: true}, d) }},
		"store-loses":   {byItself, func(int, time.Duration) { f.store.SetFaults(objects.Faults{LoseAnswers: 3}) }},
		"store-forgets": {byItself, func(int, time.Duration) { f.store.Compact() }},
		"store-cut": {byItself, func(_ int, d time.Duration) {
			f.excuse(d)
			f.storeLink.set(0, true)
			time.AfterFunc(d, func() { f.storeLink.set(0, false) })
		}},
		"store-links-silent": {byItself, func(int, time.Duration) { f.excuse(0); f.storeLink.silence() }},
		"upstream-ends": {byItself, func(n int, d time.Duration) {
			if p := f.upstreams.some(n); p != nil {
				f.upstreams.end(p, d)
			}
		}},
		"upstreams-fail": {byItself, func(_ int, d time.Duration) {
			f.upstreams.setFailing(true)
			time.AfterFunc(d, func() { f.upstreams.setFailing(false) })
		}},
		"upstream-leaves": {byWords, func(n int, d time.Duration) {
			if p := f.upstreams.some(n); p != nil {
				f.upstreams.leave(p, d)
			}
		}},
		"upstream-rests": {byWords, func(n int, d time.Duration) {
			if p := f.upstreams.some(n); p != nil {
				f.rests([]*place{p}, n, 2*d)
			}
		}},
		"upstream-limited": {byLimits, func(n int, d time.Duration) {
			if p := f.upstreams.some(n); p != nil {
				f.upstreams.limit(p, limitsNamed[n%len(limitsNamed)], contact+limitWindow+2*d)
			}
		}},
		"upstreams-rest": {byWords, func(n int, d time.Duration) { f.rests(f.upstreams.places, n, d/2) }},
		"configurations": {byOperator, func(n int, d time.Duration) { f.storm(2+n%10, d) }},
		"evacuated":      {byOperator, func(n int, d time.Duration) { f.evacuate(dataCentre(n), d) }},
		"upstream-mute": {byItself, func(n int, d time.Duration) {
			if p := f.upstreams.some(n); p != nil {
				f.upstreams.setMute(p, true)
				time.AfterFunc(d, func() { f.upstreams.setMute(p, false) })
			}
		}},
		"upstream-link-cut": {byItself, func(n int, d time.Duration) {
			links := f.upstreams.links()
			l := links[n%len(links)]
			l.set(0, true)
			time.AfterFunc(d, func() { l.set(0, false) })
		}},
		"upstream-links-reset":  {byItself, func(n int, _ time.Duration) { links := f.upstreams.links(); links[n%len(links)].resetAll() }},
		"upstream-links-silent": {byItself, func(n int, _ time.Duration) { links := f.upstreams.links(); links[n%len(links)].silence() }},
	}
}

// namesOf returns the names of a group of kinds, in order: a plan is drawn from them.
func namesOf(kinds map[string]kind, g group) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		if kinds[name].group == g {
			names = append(names, name)
		}
	}
	return names
}

// plan draws faults by the seed: who, what and when. They come in series and overlap.
func (f *fleet) plan(seed uint64, length time.Duration) []fault {
	var out []fault
	for _, g := range []group{byItself, byWords, byOperator, byLimits} {
		out = append(out, f.draw(g, seed, length)...)
	}
	out = append(out, f.always(seed, length)...)
	slices.SortStableFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

// always are faults without which a promise may go unchecked: words of upstreams that a seed
// may not draw, or of ones that end right after.
func (f *fleet) always(seed uint64, length time.Duration) []fault {
	kinds := f.kinds()
	var out []fault
	for k, name := range []string{"evacuated", "upstream-leaves", "upstream-rests", "upstream-leaves"} {
		n := int(seed%1000) + 5*k
		out = append(out, fault{length * time.Duration(k+1) / 8, fmt.Sprintf("%s n=%d for 1s", name, n), func() { kinds[name].do(n, time.Second) }})
	}
	// The last one comes when the faults are over: none of them takes its upstream away.
	for k, at := range []time.Duration{length / 16, length * 3 / 16, length * 5 / 16, length} {
		const name = "upstream-limited"
		n := int(seed%1000) + 3*k
		out = append(out, fault{at, fmt.Sprintf("%s n=%d for 2s", name, n), func() { kinds[name].do(n, 2*time.Second) }})
	}
	return out
}

// draw draws faults of a group by a seed.
func (f *fleet) draw(g group, seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, uint64(g)))
	kinds := f.kinds()
	names := namesOf(kinds, g)
	var out []fault
	for at := time.Second; at < length; at += time.Duration(random.Int64N(int64(faultEvery))) {
		name := names[random.IntN(len(names))]
		n, d := random.IntN(1000), time.Duration(200+random.IntN(2500))*time.Millisecond
		out = append(out, fault{at, fmt.Sprintf("%s n=%d for %v", name, n, d), func() { kinds[name].do(n, d) }})
	}
	return out
}

// faultEvery is the longest time between two faults of a plan.
const faultEvery = 3 * time.Second

// excuse notes that a fault of the store excuses all VMs of what takes time.
func (f *fleet) excuse(d time.Duration) {
	for _, v := range f.vms {
		v.troubled(d)
	}
}

func (f *fleet) storeFault(x objects.Faults, d time.Duration) {
	f.excuse(d)
	f.store.SetFaults(x)
	time.AfterFunc(d, func() { f.store.SetFaults(objects.Faults{}) })
}

// rests has upstreams turn requests away and ask for rests of 1 to 3 s, for a time.
func (f *fleet) rests(places []*place, n int, d time.Duration) {
	f.upstreams.setRest(places, time.Duration(1+n%3)*time.Second)
	time.AfterFunc(d, func() { f.upstreams.setRest(places, 0) })
}

// storm writes a number of configurations within a time, each like the one before.
func (f *fleet) storm(n int, d time.Duration) {
	for k := range n {
		time.AfterFunc(d*time.Duration(k)/time.Duration(n), f.configure)
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PutService(deployment(f.version, f.keys...))
}

// evacuate has the operator empty a data centre, for longer than the bound.
func (f *fleet) evacuate(dc string, d time.Duration) {
	if !f.upstreams.evacuate(dc) {
		return // it is under way
	}
	f.store.Evacuate(dc)
	time.AfterFunc(evacuateWithin+contact+d, func() {
		f.upstreams.takeBack(dc)
		f.store.TakeBack(dc)
	})
}

// pause stops a VM's process and wakes it again.
func (f *fleet) pause(v *vm, d time.Duration) {
	v.troubled(d)
	v.signal(syscall.SIGSTOP)
	f.upstreams.words.begins(v.name)
	time.AfterFunc(d, func() {
		f.upstreams.words.begins(v.name)
		v.signal(syscall.SIGCONT)
	})
}

// restartAfter is how long a process that has ended stays away.
const restartAfter = 300 * time.Millisecond

// kill ends a VM's process at once; it is started again.
func (f *fleet) kill(v *vm) {
	v.troubled(restartAfter)
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	f.restart(v)
}

// planned stops a VM's process as planned; it is killed after its grace, and started again.
func (f *fleet) planned(v *vm) {
	v.troubled(grace)
	v.mu.Lock()
	if v.stopped {
		v.mu.Unlock()
		return
	}
	v.stopped = true
	command, ended := v.command, v.ended
	v.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM) // it may have ended
	time.AfterFunc(grace, func() {
		select {
		case <-ended:
		default:
			_ = command.Process.Kill() // beyond its grace
		}
	})
	f.restart(v)
}

// restart starts a VM again once its present process has ended, unless it was already.
func (f *fleet) restart(v *vm) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	go func() {
		<-ended
		time.Sleep(restartAfter)
		v.mu.Lock()
		again := v.ended != ended
		v.mu.Unlock()
		if again {
			return
		}
		v.troubled(0)
		if err := f.startVM(v); err != nil {
			f.tally.fault("VM does not start again: " + err.Error())
		}
	}()
}
