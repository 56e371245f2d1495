package relay

import (
	"testing"

	"pgregory.net/rapid"

	"woaddoor/contract"
)

// TestUnrecordedEndPromisesNothing guards against a refusal that promises that a request has not run while the end of one
// of its attempts was not recorded, or although an attempt may have run.
func TestUnrecordedEndPromisesNothing(t *testing.T) {
	outcomes := []contract.Outcome{contract.OutcomeNotRun, contract.OutcomeUnknown, contract.OutcomeRan}
	rapid.Check(t, func(t *rapid.T) {
		e := newExecution()
		open, provedNotRun, ran := 0, true, false
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			switch step := rapid.SampledFrom([]string{"begin", "end", "other VM"}).Draw(t, "step"); {
			case step == "begin":
				e.begin()
				open++
				continue
			case step == "end" && open > 0:
				e.end(outcome)
				open--
			default:
				e.add(outcome)
			}
			provedNotRun = provedNotRun && outcome == contract.OutcomeNotRun
			ran = ran || outcome == contract.OutcomeRan
		}
		if got := e.outcome(); (got == contract.OutcomeNotRun) != (provedNotRun && open == 0) || (got == contract.OutcomeRan) != ran {
			t.Fatalf("outcome %v with %d open attempts, all others proved not run: %v, one ran: %v", got, open, provedNotRun, ran)
		}
	})
	if (&execution{}).outcome() != contract.OutcomeUnknown {
		t.Fatal("the zero value promises something")
	}
}
