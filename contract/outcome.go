package contract

// Outcome is what is known about whether a request ran. A caller decides by it
// whether another try is safe, so NotRun is only ever said with a proof.
type Outcome uint8

// The three outcomes. Unknown is the zero value: knowledge has to be shown.
const (
	// Unknown means that bytes of the request may have reached an upstream.
	Unknown Outcome = iota
	// NotRun means that no upstream has received the request, nor will.
	NotRun
	// Ran means that an upstream has answered the request.
	Ran
)

// String returns the words used in answers to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Worse returns the outcome that holds for both of two attempts at one
// request: it is not run only when neither ran.
func (o Outcome) Worse(other Outcome) Outcome {
	if o == other {
		return o
	}
	if o == Ran || other == Ran {
		return Ran
	}
	return Unknown
}
