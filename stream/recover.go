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
	// Restart sends the original request to another upstream.
	// Restart is possible only while the caller has received nothing.
	Restart
	// Continue sends the request to another upstream that serves the same version.
	// The request includes the text that the caller
	// has already received as the start of the response.
	Continue
	// GiveUp ends the stream and reports the known outcome.
	// An incomplete response is never presented as complete.
	GiveUp
)

// Interruption describes a stream that broke off.
type Interruption struct {
	// DeliveredChunks is the number of chunks that the caller has received.
	DeliveredChunks int
	// ResumeAttempts is how often the engine was asked to resume since the last progress.
	ResumeAttempts int
	// Recoveries is how often the stream was resumed or continued in total.
	Recoveries int
	// Permitted is true if the version that serves the stream may still receive new work.
	Permitted bool
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// SingleText is true if the response is a single text. Other responses cannot be continued.
	SingleText bool
	Deadline   time.Time
}

// maxRecoveries limits how often a stream is resumed or continued.
const maxRecoveries = 4

// NextAction returns how to recover a broken stream.
//
// Resuming gives the engine no new work, so it is tried first
// and is allowed even for requests that must not be repeated.
// Restarting or continuing on another upstream is new work.
// New work requires that the version may still receive new work and that the request is repeatable.
func NextAction(b Interruption, now time.Time) Action {
	if !now.Before(b.Deadline) || b.Recoveries >= maxRecoveries {
		return GiveUp
	}
	if b.ResumeAttempts == 0 && b.DeliveredChunks > 0 {
		return Resume
	}
	if !b.Repeatable || !b.Permitted {
		return GiveUp
	}
	if b.DeliveredChunks == 0 {
		return Restart
	}
	if b.SingleText {
		return Continue
	}
	return GiveUp
}

// Outcome returns the outcome to report for a stream that was given up:
// the request ran if the caller received part of the response.
func (b Interruption) Outcome() contract.Outcome {
	if b.DeliveredChunks > 0 {
		return contract.OutcomeRan
	}
	return contract.OutcomeUnknown
}
