package retry

import (
	"cmp"
	"time"
)

// WindowOptions set up a Window.
type WindowOptions struct {
	// Ratio is how many repeated sends each request pays for.
	Ratio float64
	// Slack is how many more the whole fleet may make in a window.
	Slack float64
	// Length is that of the sliding window. Zero means 10 s.
	Length time.Duration
	// Margin is the part of the allowance that is left unused, since the
	// windows of VMs and of whoever counts do not begin together. Zero means
	// 0.15.
	Margin float64
	// Reserve is the part of the allowance that only retries may use, so that
	// escalations to another model leave some for faults. Zero means 0.25.
	Reserve float64
}

// Defaults of WindowOptions.
const (
	defaultWindow  = 10 * time.Second
	defaultMargin  = 0.15
	defaultReserve = 0.25
	windowSlots    = 20
	// keptSlots are one more: the newest slot has only begun, so the oldest one
	// is still partly in the window.
	keptSlots = windowSlots + 1
)

// Window bounds the repeated sends of one VM to one service over a sliding
// window. Each VM pays from its own requests and its part of the slack, so the
// sum over all VMs keeps the bound of the fleet without a word between them.
// Its owner locks it.
type Window struct {
	opts  WindowOptions
	slots [keptSlots]slot
	at    int64 // number of the newest slot
}

type slot struct{ requests, repeats float64 }

// NewWindow returns an empty window.
func NewWindow(opts WindowOptions) *Window {
	opts.Length = cmp.Or(opts.Length, defaultWindow)
	opts.Margin = cmp.Or(opts.Margin, defaultMargin)
	opts.Reserve = cmp.Or(opts.Reserve, defaultReserve)
	return &Window{opts: opts}
}

// slot returns the place of a slot by its number.
func (w *Window) slot(at int64) *slot { return &w.slots[(at%keptSlots+keptSlots)%keptSlots] }

func (w *Window) turn(now time.Time) *slot {
	at := now.UnixNano() / int64(w.opts.Length/windowSlots)
	for n := 0; w.at < at && n < keptSlots; n++ {
		w.at++
		*w.slot(w.at) = slot{}
	}
	if w.at < at { // all slots are empty, whichever is the newest
		w.at = at
	}
	return w.slot(w.at)
}

// Request notes a request of a caller.
func (w *Window) Request(now time.Time) { w.turn(now).requests++ }

// Purpose says what a repeated send is for.
type Purpose uint8

// The purposes.
const (
	// ForRetry is a send after one that failed.
	ForRetry Purpose = iota
	// ForEscalation is a send to a larger model after a whole answer.
	ForEscalation
)

// Take takes one repeated send out of the allowance, which is shared by vms
// VMs, or returns false.
func (w *Window) Take(p Purpose, vms int, now time.Time) bool {
	newest := w.turn(now)
	if w.used()+1 > w.allowanceFor(p, vms) {
		return false
	}
	newest.repeats++
	return true
}

// Left returns the part of the allowance that is unused, 0 to 1.
func (w *Window) Left(vms int, now time.Time) float64 {
	w.turn(now)
	allowed := w.allowance(vms)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-w.used()/allowed)
}

// Used returns the part of the allowance for a purpose that is used, 0 to 1.
func (w *Window) Used(p Purpose, vms int, now time.Time) float64 {
	w.turn(now)
	allowed := w.allowanceFor(p, vms)
	if allowed <= 0 {
		return 1
	}
	return min(w.used()/allowed, 1)
}

// allowanceFor returns the part of the allowance that a purpose may use.
func (w *Window) allowanceFor(p Purpose, vms int) float64 {
	if p == ForEscalation {
		return (1 - w.opts.Reserve) * w.allowance(vms)
	}
	return w.allowance(vms)
}

func (w *Window) allowance(vms int) float64 {
	requests := 0.0
	for at := w.at; at > w.at-windowSlots; at-- { // those that are in the window whole
		requests += w.slot(at).requests
	}
	return (1 - w.opts.Margin) * (w.opts.Ratio*requests + w.opts.Slack/float64(max(vms, 1)))
}

func (w *Window) used() float64 {
	used := 0.0
	for _, s := range w.slots {
		used += s.repeats
	}
	return used
}
