package contract

// Outcome records what is known about whether an upstream executed a request.
// Clients decide by the outcome whether a retry is safe, so OutcomeNotRun is only set if it is
// proven that no upstream executed the request.
type Outcome uint8

// The three outcomes. OutcomeUnknown is the zero value, so that an outcome that is never set claims
// nothing.
const (
	// OutcomeUnknown means that bytes of the request may have reached an upstream.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no upstream has executed the request or will execute it.
	OutcomeNotRun
	// OutcomeRan means that an upstream has responded to the request.
	OutcomeRan
)

// String returns the name of the outcome as it appears in responses to clients.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Combine combines the outcomes of two attempts at the same request.
// The result is OutcomeRan if either attempt ran, OutcomeNotRun only if neither attempt ran,
// and OutcomeUnknown otherwise.
func (o Outcome) Combine(other Outcome) Outcome {
	if o == other {
		return o
	}
	if o == OutcomeRan || other == OutcomeRan {
		return OutcomeRan
	}
	return OutcomeUnknown
}
