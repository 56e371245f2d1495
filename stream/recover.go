package stream

import (
	"time"

	"woaddoor/contract"
)

// Action is how a broken stream goes on.
type Action uint8

// The actions.
const (
	// Resume asks the same engine for the rest of the same generation.
	Resume Action = iota
	// Restart sends the request anew, elsewhere. Only possible while the caller
	// has received nothing.
	Restart
	// Continue sends the request elsewhere, on the same version, with what the
	// caller has already received as the start of the answer.
	Continue
	// GiveUp ends the stream with what is known; it is never passed as whole.
	GiveUp
)

// Broken is what is known of a stream that broke.
type Broken struct {
	// Delivered is how many chunks the caller has received.
	Delivered int
	// Resumed is how often the engine was asked to resume without progress.
	Resumed int
	// Recovered is how often this stream was resumed or continued in all.
	Recovered int
	// Permitted tells whether the version may still be given new work.
	Permitted bool
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// Plain tells whether the answer is one text, which alone can be continued.
	Plain    bool
	Deadline time.Time
}

// maxRecovered bounds how often one stream is taken up again.
const maxRecovered = 4

// Decide returns how a broken stream goes on.
//
// Resuming gives the engine no new work, so it comes first and is allowed even
// for requests that may not be repeated. Continuing elsewhere is new work: the
// version has to be permitted still, and the request repeatable.
func Decide(b Broken, now time.Time) Action {
	if !now.Before(b.Deadline) || b.Recovered >= maxRecovered {
		return GiveUp
	}
	if b.Resumed == 0 && b.Delivered > 0 {
		return Resume
	}
	if !b.Repeatable || !b.Permitted {
		return GiveUp
	}
	if b.Delivered == 0 {
		return Restart
	}
	if b.Plain {
		return Continue
	}
	return GiveUp
}

// Outcome returns what to say of a stream that was given up.
func (b Broken) Outcome() contract.Outcome {
	if b.Delivered > 0 {
		return contract.Ran
	}
	return contract.Unknown
}
