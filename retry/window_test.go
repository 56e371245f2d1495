package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFleetStaysWithinRetryBudget is a property test with random requests and resends on VMs that
// do not communicate and have uneven load. The fleet must stay within its limit over every window.
// Giving each VM the whole slack must exceed the limit in at least one run.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	const length = 10 * time.Second
	baselineViolations := 0
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := float64(rapid.IntRange(0, 60).Draw(t, "slack"))
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		var windows []*ResendWindow
		for range vms {
			windows = append(windows, NewResendWindow(ResendWindowOptions{Ratio: ratio, Slack: slack, Length: length}))
		}
		baseline := NewResendWindow(ResendWindowOptions{Ratio: ratio, Slack: slack, Length: length})
		type event struct {
			at     time.Time
			resend bool
		}
		var events []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				baseline.RecordRequest(now)
				events = append(events, event{now, false})
				continue
			}
			purpose := Purpose(rapid.IntRange(0, 1).Draw(t, "purpose"))
			if w.Take(purpose, vms, now) {
				events = append(events, event{now, true})
			} else if baseline.Take(ForRetry, 1, now) {
				baselineViolations++
			}
		}
		for i, last := range events {
			requests, resends := 0.0, 0.0
			for _, e := range events[:i+1] {
				// A resend may use the allowance of requests from the
				// current and the previous window.
				if last.at.Sub(e.at) < 2*length && !e.resend {
					requests++
				}
				if last.at.Sub(e.at) < length && e.resend {
					resends++
				}
			}
			if resends > ratio*requests+slack+1e-9 {
				t.Fatalf("%v resends for %v requests, ratio %v, slack %v", resends, requests, ratio, slack)
			}
		}
	})
	is.New(t).True(baselineViolations > 0)
}

// TestEscalationsLeaveBudgetForRetries checks that escalations cannot use up the allowance
// that is reserved for retries.
func TestEscalationsLeaveBudgetForRetries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := NewResendWindow(ResendWindowOptions{Ratio: 0.5, Slack: 0})
	for range 100 {
		w.RecordRequest(now)
	}
	for w.Take(ForEscalation, 1, now) {
	}
	retries := 0
	for w.Take(ForRetry, 1, now) {
		retries++
	}
	is.True(retries >= 10)
}

// TestResendsCountForFullWindow checks that a resend at the end of a slot counts for a full
// window. Counting from the start of its slot would free its allowance too early.
func TestResendsCountForFullWindow(t *testing.T) {
	is := is.New(t)
	w := NewResendWindow(ResendWindowOptions{Slack: 10, Length: 10 * time.Second})
	at := func(ms int64) time.Time { return time.UnixMilli(1_000_000 + ms) }
	taken := 0
	for w.Take(ForRetry, 1, at(490)) {
		taken++
	}
	is.Equal(taken, 8) // the slack minus the margin
	is.True(!w.Take(ForRetry, 1, at(10_200)))
	is.True(w.Take(ForRetry, 1, at(10_600)))
	is.True(NewResendWindow(ResendWindowOptions{Slack: 10}).Take(ForRetry, 1, time.Unix(0, 0))) // works at Unix time zero
}

// TestUncountedVMHasNoSlack guards against a VM that the others do not count resending more than its own
// requests allow: the others divide the whole slack among themselves.
func TestUncountedVMHasNoSlack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := NewResendWindow(ResendWindowOptions{Ratio: 0.5, Slack: 100})
	is.True(!w.Take(ForRetry, 0, now))
	for range 10 {
		w.RecordRequest(now)
	}
	resends := 0
	for w.Take(ForRetry, 0, now) {
		resends++
	}
	is.Equal(resends, 4) // half of the requests minus the margin
	is.True(w.Take(ForRetry, 2, now))
}
