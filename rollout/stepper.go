package rollout

import (
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Situation is what is known of a roll-out when its next step is decided.
type Situation struct {
	Rollout *config.Rollout
	// Progress is nil before the first step.
	Progress *config.Progress
	Evidence Evidence
	// Halted tells whether the version was halted anywhere.
	Halted bool
	// StepSince is when this VM first saw the present step; LastRating when the
	// evidence of the step last grew.
	StepSince, LastRating time.Time
	// CutOff tells whether a data centre has not been heard of: its evidence,
	// and its halts, would be missing.
	CutOff bool
	// Loaded tells whether an engine of each data centre holds the version.
	Loaded bool
}

// Reason says in a word why a step was decided.
type Reason string

// The reasons.
const (
	ReasonStart     Reason = "starts"
	ReasonPassed    Reason = "passed the test of its step"
	ReasonBad       Reason = "failed the test of its step"
	ReasonHalted    Reason = "halted by a VM"
	ReasonNoRatings Reason = "no ratings came"
	ReasonWaiting   Reason = "waits for ratings"
	ReasonCutOff    Reason = "a data centre is cut off"
	ReasonNotLoaded Reason = "not loaded everywhere"
	ReasonFinal     Reason = "is over"
)

// Next returns the progress that follows, or nil when nothing changes, and
// why. It is always one step from the given progress, so a decision that is
// written under the condition that the progress is still the same neither
// skips nor repeats a step, whoever makes it.
func Next(s Situation, now time.Time) (*config.Progress, Reason) {
	ro := s.Rollout
	if s.Progress == nil {
		if !s.Loaded {
			return nil, ReasonNotLoaded
		}
		return &config.Progress{Model: ro.Model, To: ro.To, State: config.Ramping}, ReasonStart
	}
	p := *s.Progress
	if p.State != config.Ramping {
		return nil, ReasonFinal
	}
	halt := func(why Reason) (*config.Progress, Reason) {
		p.State = config.Halted
		return &p, why
	}
	verdict := NewTest(ro).Judge(s.Evidence.Sum(ro.To, p.Step))
	switch {
	case s.Halted:
		return halt(ReasonHalted)
	case verdict == Bad:
		return halt(ReasonBad)
	case s.CutOff:
		return nil, ReasonCutOff // no step forward on partial evidence
	case now.Sub(later(s.StepSince, s.LastRating)) >= ro.RatingsWithin:
		return halt(ReasonNoRatings)
	case verdict == Undecided:
		return nil, ReasonWaiting
	}
	if p.Step+1 >= len(ro.Steps) {
		p.State = config.Done
		return &p, ReasonPassed
	}
	p.Step++
	return &p, ReasonPassed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Share returns the part of new work, 0 to 1, that a roll-out's new version
// gets now.
func Share(ro *config.Rollout, p *config.Progress) float64 {
	switch {
	case p == nil || p.To != ro.To || p.State == config.Halted:
		return 0
	case p.State == config.Done:
		return 1
	}
	return ro.Steps[min(p.Step, len(ro.Steps)-1)] / percent
}

const percent = 100

// Choose returns the version for new work of a model: the one that serves it,
// or the new one of a roll-out. point, from 0 to 1, places the work in the
// ramp; work with a lower point moves first.
func Choose(c *config.Config, m contract.ModelID, halted map[contract.VersionID]bool, point float64) contract.VersionID {
	model, ok := c.Models[m]
	if !ok {
		return ""
	}
	ro, ok := c.Rollouts[m]
	if !ok || halted[ro.To] {
		return model.Serve
	}
	if point < Share(ro, c.Progress[m]) {
		return ro.To
	}
	return ro.From
}
