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

// fault is one planned fault and its time after the start of the run.
type fault struct {
	after  time.Duration
	name   string
	inject func()
}

// faultGroup is the cause that several kinds of faults have in common. Each group has its own
// stream of random numbers, identified by the group's value. Adding kinds of faults to one group
// therefore does not change the faults that a seed draws from the other groups.
type faultGroup uint64

const (
	failureGroup  faultGroup = iota + 2 // processes and links fail
	noticeGroup                         // upstreams announce that they are leaving or ask for a back-off
	operatorGroup                       // the operator changes something
	limitGroup                          // upstreams advertise rate limits
	returnGroup                         // the store returns from an older copy, and entries say that upstreams drain
)

// faultKind is a kind of fault. The argument n selects the target of the fault, d is its duration.
type faultKind struct {
	group  faultGroup
	inject func(n int, d time.Duration)
}

// faultKinds returns the kinds of faults that a plan is drawn from, by name.
func (f *fleet) faultKinds() map[string]faultKind {
	vmAt := func(n int) *vm { return f.vms[n%len(f.vms)] }
	return map[string]faultKind{
		"vm-paused":      {failureGroup, func(n int, d time.Duration) { f.pause(vmAt(n), d) }},
		"vm-killed":      {failureGroup, func(n int, _ time.Duration) { f.kill(vmAt(n)) }},
		"vm-stopped":     {failureGroup, func(n int, _ time.Duration) { f.terminate(vmAt(n)) }},
		"vm-reloaded":    {failureGroup, func(n int, _ time.Duration) { vmAt(n).signal(syscall.SIGHUP) }},
		"vms-killed":     {failureGroup, func(int, time.Duration) { f.killAll() }},
		"callers-reset":  {failureGroup, func(n int, _ time.Duration) { vmAt(n).callerLink.resetOpen() }},
		"callers-silent": {failureGroup, func(n int, _ time.Duration) { vmAt(n).callerLink.silenceOpen() }},
		"callers-slow": {failureGroup, func(n int, d time.Duration) {
			vmAt(n).callerLink.setFault(50*time.Millisecond, false)
			time.AfterFunc(d, func() { vmAt(n).callerLink.setFault(0, false) })
		}},
		"store-down":    {failureGroup, func(_ int, d time.Duration) { f.injectStoreFault(objects.Faults{Down: true}, d) }},
		"store-silent":  {failureGroup, func(_ int, d time.Duration) { f.injectStoreFault(objects.Faults{Hang: true}, d) }},
		"store-loses":   {failureGroup, func(int, time.Duration) { f.store.SetFaults(objects.Faults{DropAnswers: 3}) }},
		"store-forgets": {failureGroup, func(int, time.Duration) { f.store.Compact() }},
		"store-cut": {failureGroup, func(_ int, d time.Duration) {
			f.exemptAll(d)
			f.storeLink.setFault(0, true)
			time.AfterFunc(d, func() { f.storeLink.setFault(0, false) })
		}},
		"store-links-silent": {failureGroup, func(int, time.Duration) { f.exemptAll(0); f.storeLink.silenceOpen() }},
		"upstream-ends": {failureGroup, func(n int, d time.Duration) {
			if position := f.upstreams.pick(n); position != nil {
				f.upstreams.kill(position, d)
			}
		}},
		"upstreams-fail": {failureGroup, func(_ int, d time.Duration) {
			f.upstreams.setFailing(true)
			time.AfterFunc(d, func() { f.upstreams.setFailing(false) })
		}},
		"upstream-leaves": {noticeGroup, func(n int, d time.Duration) {
			if position := f.upstreams.pick(n); position != nil {
				f.upstreams.startDrain(position, d)
			}
		}},
		"upstream-rests": {noticeGroup, func(n int, d time.Duration) {
			if position := f.upstreams.pick(n); position != nil {
				f.backOff([]*upstreamPosition{position}, n, 2*d)
			}
		}},
		"upstream-limited": {limitGroup, func(n int, d time.Duration) { f.limitUpstream(f.upstreams.pick(n), limitValues[n%len(limitValues)], d) }},
		"upstreams-rest":   {noticeGroup, func(n int, d time.Duration) { f.backOff(f.upstreams.positions, n, d/2) }},
		"configurations":   {operatorGroup, func(n int, d time.Duration) { f.writeConfigurations(2+n%10, d) }},
		"evacuated":        {operatorGroup, func(n int, d time.Duration) { f.evacuate(dataCentre(n), d) }},
		"store-returns":    {returnGroup, func(n int, _ time.Duration) { f.returnStore(n) }},
		"upstream-drains": {returnGroup, func(n int, _ time.Duration) {
			if position := f.upstreams.pick(n); position != nil {
				f.upstreams.drainByEntry(position)
			}
		}},
		"upstream-mute": {failureGroup, func(n int, d time.Duration) {
			if position := f.upstreams.pick(n); position != nil {
				f.upstreams.setHanging(position, true)
				time.AfterFunc(d, func() { f.upstreams.setHanging(position, false) })
			}
		}},
		"upstream-link-cut": {failureGroup, func(n int, d time.Duration) {
			links := f.upstreams.links()
			link := links[n%len(links)]
			link.setFault(0, true)
			time.AfterFunc(d, func() { link.setFault(0, false) })
		}},
		"upstream-links-reset":  {failureGroup, func(n int, _ time.Duration) { links := f.upstreams.links(); links[n%len(links)].resetOpen() }},
		"upstream-links-silent": {failureGroup, func(n int, _ time.Duration) { links := f.upstreams.links(); links[n%len(links)].silenceOpen() }},
	}
}

// kindNames returns the names of the kinds of faults in a group. They are sorted, so that a seed
// always draws the same kinds.
func kindNames(kinds map[string]faultKind, group faultGroup) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		if kinds[name].group == group {
			names = append(names, name)
		}
	}
	return names
}

// plan draws the faults for a seed: kind, target and time. Faults may overlap.
func (f *fleet) plan(seed uint64, length time.Duration) []fault {
	var faults []fault
	for _, g := range []faultGroup{failureGroup, noticeGroup, operatorGroup, limitGroup, returnGroup} {
		faults = append(faults, f.drawFaults(g, seed, length)...)
	}
	faults = append(faults, f.fixedFaults(seed, length)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.after, b.after) })
	return faults
}

// fixedFaults returns the faults that every run includes. Without fixed faults a guarantee could
// go unchecked, because a seed may not draw the kind of fault that the check needs, or may draw
// this kind of fault only for upstreams that end right afterwards.
func (f *fleet) fixedFaults(seed uint64, length time.Duration) []fault {
	kinds := f.faultKinds()
	var faults []fault
	for i, name := range []string{"evacuated", "upstream-leaves", "upstream-rests", "upstream-leaves"} {
		n := int(seed%1000) + 5*i
		faults = append(faults, fault{length * time.Duration(i+1) / 8, fmt.Sprintf("%s n=%d for 1s", name, n), func() { kinds[name].inject(n, time.Second) }})
	}
	// Changes come right after a return, while revisions are given out again.
	returned := length * 5 / 8
	for i, name := range []string{"store-returns", "configurations", "upstream-drains"} {
		n := int(seed%1000) + 7*i
		faults = append(faults, fault{returned + time.Duration(i)*200*time.Millisecond, fmt.Sprintf("%s n=%d for 1s", name, n), func() { kinds[name].inject(n, time.Second) }})
	}
	for i, after := range []time.Duration{length / 16, length * 3 / 16, length * 5 / 16} {
		const name = "upstream-limited"
		n := int(seed%1000) + 3*i
		faults = append(faults, fault{after, fmt.Sprintf("%s n=%d for 2s", name, n), func() { kinds[name].inject(n, 2*time.Second) }})
	}
	// The last fixed fault comes after all other faults, so that no other fault ends its upstream. The
	// limit is checked when a request arrives, so the upstream is one in use and its limit a high one.
	n := int(seed%1000) + 9
	faults = append(faults, fault{length, fmt.Sprintf("upstream-limited n=%d to %g per second for 2s", n, highestLimit), func() {
		f.limitUpstream(f.upstreams.pickInUse(n), highestLimit, 2*time.Second)
	}})
	return faults
}

// drawFaults draws the faults of one group for a seed.
func (f *fleet) drawFaults(group faultGroup, seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, uint64(group)))
	kinds := f.faultKinds()
	names := kindNames(kinds, group)
	var faults []fault
	for after := time.Second; after < length; after += time.Duration(random.Int64N(int64(maxFaultInterval))) {
		name := names[random.IntN(len(names))]
		n, duration := random.IntN(1000), time.Duration(200+random.IntN(2500))*time.Millisecond
		faults = append(faults, fault{after, fmt.Sprintf("%s n=%d for %v", name, n, duration), func() { kinds[name].inject(n, duration) }})
	}
	return faults
}

// maxFaultInterval is the upper bound on the time between two faults of a group.
const maxFaultInterval = 3 * time.Second

// exemptAll exempts all VMs from the time limits while a fault
// of the store lasts, and for settleTime after it.
func (f *fleet) exemptAll(duration time.Duration) {
	for _, v := range f.vms {
		v.exempt(duration)
	}
}

func (f *fleet) injectStoreFault(storeFaults objects.Faults, duration time.Duration) {
	f.exemptAll(duration)
	f.store.SetFaults(storeFaults)
	time.AfterFunc(duration, func() { f.store.SetFaults(objects.Faults{}) })
}

// backOff makes upstreams reject requests and ask for back-offs of 1 to 3 s, for the duration d.
func (f *fleet) backOff(positions []*upstreamPosition, n int, d time.Duration) {
	f.upstreams.setBackoff(positions, time.Duration(1+n%3)*time.Second)
	time.AfterFunc(d, func() { f.upstreams.setBackoff(positions, 0) })
}

// limitUpstream makes the upstream at a position, if there is one, advertise a rate limit in requests
// per second. The limit outlasts by 2 d the time after which it is checked.
func (f *fleet) limitUpstream(position *upstreamPosition, perSecond float64, d time.Duration) {
	if position != nil {
		f.upstreams.advertiseLimit(position, perSecond, settleTime+limitWindow+2*d)
	}
}

// writeConfigurations writes n versions of the configuration spread over the duration d. They
// differ only in their version number.
func (f *fleet) writeConfigurations(n int, d time.Duration) {
	for k := range n {
		time.AfterFunc(d*time.Duration(k)/time.Duration(n), f.writeConfiguration)
	}
}

// writeConfiguration writes the next version of the configuration.
func (f *fleet) writeConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	deployment := newDeployment(f.configVersion, f.workspaceKeys...)
	deployment.MaxConnections = f.maxConnections
	f.store.PutDeployment(deployment)
	f.versions.accepted(f.configVersion)
}

// evacuate makes the operator evacuate a data centre, for longer than evacuationTimeout.
func (f *fleet) evacuate(dataCentre string, d time.Duration) {
	if !f.upstreams.startEvacuation(dataCentre) {
		return // an evacuation of the data centre is already under way
	}
	f.store.StartEvacuation(dataCentre)
	time.AfterFunc(evacuationTimeout+settleTime+d, func() {
		f.upstreams.endEvacuation(dataCentre)
		f.store.EndEvacuation(dataCentre)
	})
}

// pause suspends a VM's process and resumes it after the duration d.
func (f *fleet) pause(v *vm, d time.Duration) {
	v.exempt(d)
	v.signal(syscall.SIGSTOP)
	f.upstreams.notices.startIncarnation(v.name)
	time.AfterFunc(d, func() {
		f.upstreams.notices.startIncarnation(v.name)
		v.signal(syscall.SIGCONT)
	})
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// kill kills a VM's process, which is then restarted.
func (f *fleet) kill(v *vm) {
	v.exempt(restartDelay)
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	f.restart(v)
}

// killAll kills all VMs, unless the store has just returned from an older copy.
// What only the VMs knew, and were about to write again, would then be known to nobody.
func (f *fleet) killAll() {
	f.mu.Lock()
	justReturned := time.Since(f.returnedAt) < settleTime
	if !justReturned {
		f.killedAllAt = time.Now()
	}
	f.mu.Unlock()
	if justReturned {
		return
	}
	for _, v := range f.vms {
		f.kill(v)
	}
}

// terminate asks a VM's process to shut down, kills it once the grace period is over,
// and restarts it.
func (f *fleet) terminate(v *vm) {
	v.exempt(gracePeriod)
	v.mu.Lock()
	if v.terminating {
		v.mu.Unlock()
		return
	}
	v.terminating = true
	command, exited := v.command, v.exited
	v.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM) // fails if it has already exited
	time.AfterFunc(gracePeriod, func() {
		select {
		case <-exited:
		default:
			_ = command.Process.Kill() // the grace period is over
		}
	})
	f.restart(v)
}

// restart starts a VM again once its current process has exited, unless that has happened already.
func (f *fleet) restart(v *vm) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	go func() {
		<-exited
		time.Sleep(restartDelay)
		v.mu.Lock()
		restarted := v.exited != exited
		v.mu.Unlock()
		if restarted {
			return
		}
		v.exempt(0)
		if err := f.startVM(v); err != nil {
			f.recorder.recordFault("a VM cannot be restarted: " + err.Error())
		}
	}()
}
