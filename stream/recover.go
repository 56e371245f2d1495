package stream

import (
	"time"

	"woaddoor/contract"
)

// Action is how to recover a broken stream.
type Action uint8

// Recovery actions.
const (
	// Resume asks the same engine for the rest of the same generation.
	Resume Action = iota
	// Restart sends the original request to another upstream. It is possible only
	// while the caller has received nothing.
	Restart
	// Continue sends the request to another upstream, for the same version, with
	// the text that the caller has already received as the start of the response.
	Continue
	// GiveUp ends the stream with the known outcome. An incomplete response is never
	// presented as complete.
	GiveUp
)

// Broken describes a stream that broke off.
type Broken struct {
	// Delivered is the number of chunks that the caller has received.
	Delivered int
	// Resumed is how often the engine was asked to resume since the last progress.
	Resumed int
	// Recovered is how often the stream was resumed or continued in total.
	Recovered int
	// Permitted is true if the version may still receive new work.
	Permitted bool
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Plain is true if the response is a single text. Other responses cannot be
	// continued.
	Plain    bool
	Deadline time.Time
}

// maxRecoveries limits how often a stream is resumed or continued.
const maxRecoveries = 4

// Decide returns how to recover a broken stream.
//
// Resuming gives the engine no new work, so it is tried first and is allowed even
// for requests that must not be repeated. Restarting or continuing on another
// upstream is new work: the version must still be permitted and the request
// repeatable.
func Decide(b Broken, now time.Time) Action {
	if !now.Before(b.Deadline) || b.Recovered >= maxRecoveries {
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

// Outcome returns the outcome to report for a stream that was given up.
func (b Broken) Outcome() contract.Outcome {
	if b.Delivered > 0 {
		return contract.Ran
	}
	return contract.Unknown
}
