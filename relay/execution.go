package relay

import "woaddoor/contract"

// execution is what is known of whether a request has run. It follows from the attempts that have begun and from how each
// has ended, so an attempt whose end is not recorded counts as one that may have run: a refusal then promises nothing.
// The zero value promises nothing either.
type execution struct {
	ended contract.Outcome // of all attempts that have ended
	open  int              // attempts that have begun and not ended
}

// newExecution returns the state of a request without attempts.
func newExecution() execution { return execution{ended: contract.OutcomeNotRun} }

// begin records that an attempt has begun: from now on an upstream may receive it.
func (e *execution) begin() { e.open++ }

// end records how an attempt has ended.
func (e *execution) end(o contract.Outcome) {
	e.open = max(e.open-1, 0)
	e.add(o)
}

// add records the outcome of an attempt that was not begun here, such as one of another VM.
func (e *execution) add(o contract.Outcome) { e.ended = e.ended.Combine(o) }

// outcome returns the outcome of the request.
func (e *execution) outcome() contract.Outcome {
	if e.open > 0 {
		return e.ended.Combine(contract.OutcomeUnknown)
	}
	return e.ended
}

// outcome returns what is known of whether the request has run.
func (j *job) outcome() contract.Outcome { return j.execution.outcome() }
