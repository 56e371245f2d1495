package rollout

import (
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// StepInput is the input for deciding the next step of a rollout.
type StepInput struct {
	Rollout *config.Rollout
	// Progress is nil before the first step of the rollout.
	Progress *config.Progress
	Evidence Evidence
	// Halted is true if any VM has halted the version.
	Halted bool
	// StepSince is the time at which this VM first saw the current step of the rollout.
	// LastRating is the time at which the counts of good and bad responses of that step last grew.
	StepSince, LastRating time.Time
	// DataCentreUnreachable is true if a data centre cannot be reached.
	// The counts and the halts of that data centre may then be missing.
	DataCentreUnreachable bool
	// Loaded is true if an engine in each data centre has loaded the version.
	Loaded bool
}

// Reason is a short explanation of a decision, for logs and the configuration history.
type Reason string

// Reasons of a decision.
const (
	ReasonStart                 Reason = "starts"
	ReasonPassed                Reason = "passed the test of its step"
	ReasonBad                   Reason = "failed the test of its step"
	ReasonHalted                Reason = "halted by a VM"
	ReasonRatingsTimeout        Reason = "no ratings came"
	ReasonAwaitingRatings       Reason = "waits for ratings"
	ReasonDataCentreUnreachable Reason = "a data centre is cut off"
	ReasonNotLoaded             Reason = "not loaded everywhere"
	ReasonEnded                 Reason = "is over"
)

// Next returns the next progress of a rollout, or nil if nothing changes, and the reason.
// The returned progress is at most one step ahead of s.Progress.
// If the caller writes the returned progress only on condition that
// the stored progress is unchanged,
// no step is skipped or repeated, whichever VM writes.
func Next(s StepInput, now time.Time) (*config.Progress, Reason) {
	ro := s.Rollout
	if s.Progress == nil {
		if !s.Loaded {
			return nil, ReasonNotLoaded
		}
		return &config.Progress{Model: ro.Model, To: ro.To, State: config.Ramping}, ReasonStart
	}
	p := *s.Progress
	if p.State != config.Ramping {
		return nil, ReasonEnded
	}
	halt := func(reason Reason) (*config.Progress, Reason) {
		p.State = config.Halted
		return &p, reason
	}
	verdict := NewSequentialTest(ro).Evaluate(s.Evidence.Sum(ro.To, p.Step))
	switch {
	case s.Halted:
		return halt(ReasonHalted)
	case verdict == Bad:
		return halt(ReasonBad)
	case s.DataCentreUnreachable:
		return nil, ReasonDataCentreUnreachable // partial evidence must not advance the rollout
	case now.Sub(laterOf(s.StepSince, s.LastRating)) >= ro.RatingTimeout:
		return halt(ReasonRatingsTimeout)
	case verdict == Undecided:
		return nil, ReasonAwaitingRatings
	}
	if p.Step+1 >= len(ro.Steps) {
		p.State = config.Done
		return &p, ReasonPassed
	}
	p.Step++
	return &p, ReasonPassed
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NewVersionShare returns the fraction of new work, 0 to 1, that the new version of a rollout gets.
func NewVersionShare(ro *config.Rollout, p *config.Progress) float64 {
	switch {
	case p == nil || p.To != ro.To || p.State == config.Halted:
		return 0
	case p.State == config.Done:
		return 1
	}
	return ro.Steps[min(p.Step, len(ro.Steps)-1)] / percent
}

// percent converts the percentages of config.Rollout.Steps to fractions.
const percent = 100

// ChooseVersion returns the version for new work of a model: the version that serves the model,
// or one of the two versions of a rollout.
// The parameter point, from 0 to 1, is the position of the work in the rollout.
// Work with a lower point moves to the new version first.
func ChooseVersion(c *config.Config, m contract.ModelID, halted map[contract.VersionID]bool, point float64) contract.VersionID {
	model, ok := c.Models[m]
	if !ok {
		return ""
	}
	ro, ok := c.Rollouts[m]
	if !ok || halted[ro.To] {
		return model.ServingVersion
	}
	if point < NewVersionShare(ro, c.Progress[m]) {
		return ro.To
	}
	return ro.From
}
