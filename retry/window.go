package retry

import (
	"cmp"
	"time"
)

// ResendWindowOptions configures a ResendWindow.
type ResendWindowOptions struct {
	// Ratio is the number of resends that each request adds to the allowance.
	Ratio float64
	// Slack is the number of additional resends that the whole fleet may make per sliding window.
	Slack float64
	// Length is the length of the sliding window. Zero means 10 s.
	Length time.Duration
	// Margin is the fraction of the allowance that stays unused, because the windows of
	// different VMs, and of anyone who checks the limit, are not aligned. Zero means 0.15.
	Margin float64
	// Reserve is the fraction of the allowance that only retries may use,
	// so that escalations (resends to a larger model) leave some resends for failures.
	// Zero means 0.25.
	Reserve float64
}

// Defaults of ResendWindowOptions, and the number of slots of a window.
const (
	defaultWindowLength = 10 * time.Second
	defaultMargin       = 0.15
	defaultReserve      = 0.25
	windowSlots         = 20
	// ringSlots is one more than windowSlots:
	// the newest slot (part of the window) has only just begun,
	// so the oldest slot is still partly inside the window.
	ringSlots = windowSlots + 1
)

// ResendWindow limits the resends (retries and escalations) of one VM to one service over a sliding
// window. Each VM's allowance comes from its own requests and from its part of the slack (resends
// that the whole fleet may make in addition). The fleet thus stays within its limit without
// communication between VMs.
//
// ResendWindow is not safe for concurrent use; the caller holds a lock.
type ResendWindow struct {
	opts   ResendWindowOptions
	slots  [ringSlots]slot
	newest int64 // number of the newest slot
}

// slot counts the requests and resends of one part of the sliding window.
type slot struct{ requests, resends float64 }

// NewResendWindow returns an empty window.
func NewResendWindow(opts ResendWindowOptions) *ResendWindow {
	opts.Length = cmp.Or(opts.Length, defaultWindowLength)
	opts.Margin = cmp.Or(opts.Margin, defaultMargin)
	opts.Reserve = cmp.Or(opts.Reserve, defaultReserve)
	return &ResendWindow{opts: opts}
}

// slot returns the ring entry for the given slot number.
func (w *ResendWindow) slot(number int64) *slot {
	return &w.slots[(number%ringSlots+ringSlots)%ringSlots]
}

// advance clears the slots between the newest slot and the time now, and returns the slot of now.
func (w *ResendWindow) advance(now time.Time) *slot {
	current := now.UnixNano() / int64(w.opts.Length/windowSlots)
	for n := 0; w.newest < current && n < ringSlots; n++ {
		w.newest++
		*w.slot(w.newest) = slot{}
	}
	if w.newest < current { // more than a window has passed and all slots are empty
		w.newest = current
	}
	return w.slot(w.newest)
}

// RecordRequest records a request of a caller.
func (w *ResendWindow) RecordRequest(now time.Time) { w.advance(now).requests++ }

// Purpose is the reason for a resend.
type Purpose uint8

// Purposes of a resend.
const (
	// ForRetry is a resend after a failed attempt.
	ForRetry Purpose = iota
	// ForEscalation is a resend to a larger model after a complete answer.
	ForEscalation
)

// Take spends one resend from the allowance of this VM.
// The parameter vms is the number of VMs that share the slack equally.
// If vms is zero, this VM has no part of the slack.
// Take returns false if the allowance is used up.
func (w *ResendWindow) Take(p Purpose, vms int, now time.Time) bool {
	if !w.CanTake(p, vms, now) {
		return false
	}
	w.advance(now).resends++
	return true
}

// CanTake reports whether Take would return true.
func (w *ResendWindow) CanTake(p Purpose, vms int, now time.Time) bool {
	w.advance(now)
	return w.used()+1 <= w.allowanceFor(p, vms)
}

// UnusedShare returns the unused fraction of this VM's resend allowance, from 0 to 1.
func (w *ResendWindow) UnusedShare(vms int, now time.Time) float64 {
	w.advance(now)
	limit := w.allowance(vms)
	if limit <= 0 {
		return 0
	}
	return max(0, 1-w.used()/limit)
}

// UsedShare returns the used fraction of the resend allowance for a purpose, from 0 to 1.
func (w *ResendWindow) UsedShare(p Purpose, vms int, now time.Time) float64 {
	w.advance(now)
	limit := w.allowanceFor(p, vms)
	if limit <= 0 {
		return 1
	}
	return min(w.used()/limit, 1)
}

// allowanceFor returns the part of the resend allowance that is available for a purpose.
func (w *ResendWindow) allowanceFor(p Purpose, vms int) float64 {
	if p == ForEscalation {
		return (1 - w.opts.Reserve) * w.allowance(vms)
	}
	return w.allowance(vms)
}

// allowance returns how many resends this VM may make per sliding window.
func (w *ResendWindow) allowance(vms int) float64 {
	requests := 0.0
	for number := w.newest; number > w.newest-windowSlots; number-- { // slots that lie completely inside the window
		requests += w.slot(number).requests
	}
	slack := 0.0
	if vms > 0 {
		slack = w.opts.Slack / float64(vms)
	}
	return (1 - w.opts.Margin) * (w.opts.Ratio*requests + slack)
}

// used returns how many resends this VM made in the sliding window.
func (w *ResendWindow) used() float64 {
	used := 0.0
	for _, s := range w.slots {
		used += s.resends
	}
	return used
}
