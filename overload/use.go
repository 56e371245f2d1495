// Package overload tells how much of its processor and network link a VM uses, when it is short of one of
// them, and how many requests of callers it can carry. It is a pure state machine: its callers pass in
// readings of the operating system's counters.
package overload

import (
	"math"
	"time"
)

// Machine is what the machine gives the process. Zero means that a resource is not known.
type Machine struct {
	// Cores is the part of a processor core, and LinkBytesPerSecond the speed of the network link in
	// each direction.
	Cores              float64
	LinkBytesPerSecond float64
}

// Known reports whether the share of the processor is known. Without it no use can be computed.
func (m Machine) Known() bool { return m.Cores > 0 }

// Reading holds counters of the process at one moment. All but Running and Late count from its start.
type Reading struct {
	At time.Time
	// Processor is the processor time used.
	Processor time.Duration
	// LinkBytes counts the bytes of requests from callers and of answers to them. Each of them passes the
	// link in both directions, since the VM exchanges it with an upstream or another VM as well.
	LinkBytes int64
	// Running is the number of connections on which a request runs or is about to arrive.
	Running int
	// Late is how much later than planned the reading was taken.
	Late time.Duration
}

// Use is how much of its machine a VM uses, 1 being all, over the last averagingTime.
type Use struct {
	Processor, Link float64
	// Late is the least delay of the last lateReadings readings: for so long runnable work waits.
	Late time.Duration
	// Running is the mean number of connections on which a request runs.
	Running float64
}

const (
	// averagingTime is the time constant of the averages.
	averagingTime = 300 * time.Millisecond
	// lateReadings is how many readings in a row must be late. One alone may be late because the VM was
	// suspended or the garbage collector ran.
	lateReadings = 3
	// maxLate is the delay at which the processor counts as used up, whatever the process has got of it:
	// others may use what the machine states.
	maxLate = 20 * time.Millisecond
)

// Resource is what a VM may be short of.
type Resource uint8

// The resources.
const (
	Processor Resource = iota
	Link
	// Delay means that runnable work waits although the process has not used its share of the processor.
	Delay
)

// String returns the name of the resource as it appears in the log.
func (r Resource) String() string { return [...]string{"processor", "link", "processor-delay"}[r] }

// Most returns the use of the scarcest resource.
func (u Use) Most() (float64, Resource) {
	switch {
	case u.Late >= maxLate && u.Processor < 1 && u.Link < 1:
		return 1, Delay
	case u.Link > u.Processor:
		return u.Link, Link
	}
	return u.Processor, Processor
}

// Meter computes the use of a machine from readings. It is not safe for concurrent use.
type Meter struct {
	machine Machine
	last    Reading
	late    [lateReadings]time.Duration
	n       int // readings so far
	use     Use
}

// NewMeter returns the meter of a machine.
func NewMeter(m Machine) *Meter { return &Meter{machine: m} }

// Add adds a reading and returns the use.
func (m *Meter) Add(r Reading) Use {
	last, first := m.last, m.n == 0
	elapsed := r.At.Sub(last.At)
	m.late[m.n%lateReadings] = r.Late
	m.n++
	m.last = r
	if first || elapsed <= 0 || !m.machine.Known() {
		return m.use
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(averagingTime))
	average := func(value *float64, now float64) { *value += weight * (now - *value) }
	average(&m.use.Processor, float64(r.Processor-last.Processor)/float64(elapsed)/m.machine.Cores)
	average(&m.use.Running, float64(r.Running+last.Running)/2)
	if m.machine.LinkBytesPerSecond > 0 {
		average(&m.use.Link, float64(r.LinkBytes-last.LinkBytes)/elapsed.Seconds()/m.machine.LinkBytesPerSecond)
	}
	m.use.Late = min(m.late[0], m.late[1], m.late[2])
	return m.use
}
