package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFleetKeepsBudget draws requests and repeated sends at uneven VMs that
// cannot hear one another: over every window the fleet stays within its bound.
// The naive way, the whole slack at each VM, does not.
func TestFleetKeepsBudget(t *testing.T) {
	const length = 10 * time.Second
	naiveOver := 0
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := float64(rapid.IntRange(0, 60).Draw(t, "slack"))
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		var windows []*Window
		for range vms {
			windows = append(windows, NewWindow(WindowOptions{Ratio: ratio, Slack: slack, Length: length}))
		}
		naive := NewWindow(WindowOptions{Ratio: ratio, Slack: slack, Length: length})
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				naive.Request(now)
				events = append(events, event{now, false})
				continue
			}
			purpose := Purpose(rapid.IntRange(0, 1).Draw(t, "purpose"))
			if w.Take(purpose, vms, now) {
				events = append(events, event{now, true})
			} else if naive.Take(ForRetry, 1, now) {
				naiveOver++
			}
		}
		for i, last := range events {
			requests, repeats := 0.0, 0.0
			for _, e := range events[:i+1] {
				// Requests count over the window and the one before it.
				if last.at.Sub(e.at) < 2*length && !e.repeat {
					requests++
				}
				if last.at.Sub(e.at) < length && e.repeat {
					repeats++
				}
			}
			if repeats > ratio*requests+slack+1e-9 {
				t.Fatalf("%v repeats for %v requests, ratio %v, slack %v", repeats, requests, ratio, slack)
			}
		}
	})
	is.New(t).True(naiveOver > 0)
}

// TestRetriesFindBudget checks that escalations leave some for faults.
func TestRetriesFindBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := NewWindow(WindowOptions{Ratio: 0.5, Slack: 0})
	for range 100 {
		w.Request(now)
	}
	for w.Take(ForEscalation, 1, now) {
	}
	retries := 0
	for w.Take(ForRetry, 1, now) {
		retries++
	}
	is.True(retries >= 10)
}

// TestWindowEdge shows that repeats at the end of a slot count until the whole
// window has passed since, and not only until their slot's beginning is that old.
func TestWindowEdge(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowOptions{Slack: 10, Length: 10 * time.Second})
	at := func(ms int64) time.Time { return time.UnixMilli(1_000_000 + ms) }
	taken := 0
	for w.Take(ForRetry, 1, at(490)) {
		taken++
	}
	is.Equal(taken, 8) // the slack less the margin
	is.True(!w.Take(ForRetry, 1, at(10_200)))
	is.True(w.Take(ForRetry, 1, at(10_600)))
	is.True(NewWindow(WindowOptions{Slack: 10}).Take(ForRetry, 1, time.Unix(0, 0))) // a clock that has just begun
}
