package upstream

import (
	"time"

	"woaddoor/contract"
)

// clockWindow is the span over which the shortest delay of a sender's reports is taken. It is
// longer than a data centre is cut off (5.5 s) or a link is disturbed, and short enough that
// clock drift (100 ppm) stays under 2 ms and that a sender that was suspended recovers.
const clockWindow = 10 * time.Second

// senderClock relates the clock of a VM that sends reports to the clock of this VM. The report
// that took the shortest time, among those of the last one to two windows, is taken as immediate.
// The age of any other report is its delay beyond that.
type senderClock struct {
	// windowStart is when the current window began. current and previous are the earliest
	// times, on the clock of this VM, at which the sender's clock may have been at zero.
	windowStart       time.Time
	current, previous time.Time
}

// timeOf returns when a report that has just arrived was made, on the clock of this VM.
func (o *overflowReports) timeOf(r OverflowReport, now time.Time) time.Time {
	if o.senders == nil {
		o.senders = make(map[contract.VMInstance]*senderClock)
	}
	c := o.senders[r.From]
	if c == nil {
		o.dropSilentSenders(now)
		c = &senderClock{}
		o.senders[r.From] = c
	}
	return c.observe(time.Duration(r.MadeAt)*time.Millisecond, now)
}

// observe records a report that the sender made at the given time on its clock and that has just
// arrived. It returns when the report was made on the clock of this VM.
func (c *senderClock) observe(madeAt time.Duration, now time.Time) time.Time {
	zero := now.Add(-madeAt)
	if now.Sub(c.windowStart) >= clockWindow {
		c.previous, c.current, c.windowStart = c.current, zero, now
	}
	if zero.Before(c.current) {
		c.current = zero
	}
	earliest := c.current
	if !c.previous.IsZero() && c.previous.Before(earliest) {
		earliest = c.previous
	}
	return earliest.Add(madeAt)
}

// dropSilentSenders discards the clocks of VMs from which nothing has come for two windows.
func (o *overflowReports) dropSilentSenders(now time.Time) {
	for from, c := range o.senders {
		if now.Sub(c.windowStart) >= 2*clockWindow {
			delete(o.senders, from)
		}
	}
}
