package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// machine is what a VM has: a share of a core, the speed of its network link and memory.
// Zero means that a resource is not limited.
type machine struct {
	cores    float64
	linkMbps float64
	memoryMB int
}

// settings returns the [machine] section of the settings file of a VM.
func (m machine) settings() string {
	return fmt.Sprintf("\n[machine]\nmemory-mb = %d\ndescriptors = 4100\ncpu-share = %v\ncores = 1\nlink-mbps = %v\n", m.memoryMB, m.cores, m.linkMbps)
}

// Timing of the limits on the processor.
const (
	processorTick = 2 * time.Millisecond
	// processorBurst is how much processor time a VM may use at once after it has used less than its share.
	processorBurst = 20 * time.Millisecond
)

// limitedVM is a VM whose process gets no more of the processor than its machine has.
type limitedVM struct {
	*vm
	machine   machine
	pid       int
	lastUsed  time.Duration // processor time of the process at the last tick
	allowance time.Duration // processor time that it may still use; negative while it is stopped
	stopped   bool
	// suspendedUntil is the end of a suspension by the trial.
	suspendedUntil time.Time
	link           *networkLink

	// mu guards the counters below, which are reset when they are read.
	mu         sync.Mutex
	used, held time.Duration // processor time, and time for which the process was stopped
}

// limitProcessors stops and continues the processes of VMs so that each uses its share of the processor,
// until ctx ends.
func limitProcessors(ctx context.Context, vms []*limitedVM) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(processorTick)
		now := time.Now()
		for _, v := range vms {
			v.limitProcessor(now, now.Sub(last))
		}
		last = now
	}
	for _, v := range vms {
		v.signal(syscall.SIGCONT)
	}
}

// limitProcessor accounts for the time since the last tick, and stops or continues the process.
func (v *limitedVM) limitProcessor(now time.Time, elapsed time.Duration) {
	pid := v.process()
	used, err := processorTime(pid)
	if err != nil {
		return // the process has ended
	}
	if pid != v.pid { // a new process
		v.pid, v.lastUsed, v.allowance, v.stopped = pid, 0, processorBurst, false
	}
	spent := used - v.lastUsed
	v.lastUsed = used
	v.allowance = min(v.allowance+time.Duration(v.machine.cores*float64(elapsed)), processorBurst) - spent
	v.mu.Lock()
	v.used += spent
	if v.stopped {
		v.held += elapsed
	}
	suspended := now.Before(v.suspendedUntil)
	v.mu.Unlock()
	if stop := suspended || v.machine.cores > 0 && v.allowance < 0; stop != v.stopped {
		v.stopped = stop
		v.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[stop])
	}
}

// suspend stops the process for a duration.
func (v *limitedVM) suspend(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspendedUntil = time.Now().Add(d)
}

// takeUsage returns and resets the processor time used and the time for which the process was stopped.
func (v *limitedVM) takeUsage() (used, held time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	used, held = v.used, v.held
	v.used, v.held = 0, 0
	return used, held
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	const processClock = 2 // CPUCLOCK_SCHED of the kernel: the scheduler's count for the whole process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processClock), &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// residentMB returns the resident memory of a process in megabytes, or 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// networkLink is the network link of a VM. A request and its answer pass a VM's link twice, once in each
// direction: between the caller and the VM, and between the VM and the upstream or another VM. So each
// byte between callers and the VM uses the speed of one direction.
type networkLink struct {
	bytesPerSecond float64 // 0 means unlimited

	mu     sync.Mutex
	freeAt time.Time // when the bytes that are queued have passed
	bytes  int       // that have passed since the last call of takeBytes
}

func newNetworkLink(mbps float64) *networkLink { return &networkLink{bytesPerSecond: mbps * 1e6 / 8} }

// pass waits until n more bytes have passed the link. If that is later than the deadline, the bytes are
// not sent.
func (l *networkLink) pass(n int, deadline time.Time) error {
	l.mu.Lock()
	if l.bytesPerSecond == 0 {
		l.bytes += n
		l.mu.Unlock()
		return nil
	}
	passed := time.Now()
	if l.freeAt.After(passed) {
		passed = l.freeAt
	}
	passed = passed.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	if passed.After(deadline) {
		l.mu.Unlock()
		time.Sleep(time.Until(deadline))
		return os.ErrDeadlineExceeded
	}
	l.freeAt = passed
	l.bytes += n
	l.mu.Unlock()
	time.Sleep(time.Until(passed))
	return nil
}

// takeBytes returns and resets the number of bytes that have passed.
func (l *networkLink) takeBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.bytes
	l.bytes = 0
	return n
}
