package rollout

import (
	"time"

	"woaddoor/contract"
)

// OrderState is the state of a release rollout: its outcome, or OrderOpen while it is in progress.
type OrderState string

// States of a release rollout.
const (
	OrderOpen       OrderState = ""
	OrderCompleted  OrderState = "completed"
	OrderRolledBack OrderState = "rolled back"
)

// ReleaseOrder is a release rollout: an operator's request to move the requests of a
// service to a new release. The release's upstreams run alongside those of the other
// releases until the rollout ends.
type ReleaseOrder struct {
	Service contract.ServiceID
	Release string
	// IssuedAt is when the operator requested the rollout, on this VM's clock. Duration is how
	// long the rollout may take.
	IssuedAt time.Time
	Duration time.Duration
	State    OrderState
	// Name is the name of the rollout's object in the store (the platform's object store).
	Name string
	// StartedAt is the wall-clock time at which a VM first saw the rollout. That VM stores
	// StartedAt for VMs that start later. StartedAt is zero until then.
	StartedAt time.Time
	// Revision is the revision of the rollout's object in the platform's object store.
	Revision contract.Revision
}

// Stages of a release rollout, as fractions of the rollout's duration. Sessions may move to the
// release only in the second half of the rollout. Before that half, a VM sends no request to the
// release, because the VM does not know which sessions are active at other VMs.
// The trial (the first stage, with few sessions) may miss a release that turns bad later or fails
// only under more load. Even such a release must get no more than its allowed share of
// all requests of the rollout. The allowed share therefore limits the durations of the trial,
// of the two steps and of the final stage, in which all sessions use the release.
const (
	trialStart = 0.52
	// plannedFraction is the fraction of the allowed share of requests that the stages use.
	// The rest covers VMs that see the rollout at different times, and rising traffic.
	plannedFraction = 0.84
	// Fractions of the planned share of requests for the trial, the two steps, the final stage until the
	// rollout may be completed, and the time after that, which leaves time to store the outcome.
	trialFraction, firstStepFraction, secondStepFraction, fullFraction, storeFraction = 0.18, 0.08, 0.11, 0.14, 0.49
	// maxTrialShare limits the fraction of sessions in the trial.
	maxTrialShare = 0.10
	// firstStepShare and secondStepShare are the fractions of sessions that use the release
	// in the two steps between the trial and the final stage.
	firstStepShare, secondStepShare = 0.25, 0.5
	// decideFraction is the fraction of the time after the rollout may be completed in which the VMs wait for
	// evidence that the release is good.
	decideFraction = 0.6
)

// stage is a part of a release rollout. The stage begins at start, a fraction of the rollout's
// duration. From the start on, share is the fraction of the sessions that use the release.
type stage struct{ start, share float64 }

// plan is the schedule of a release rollout, in fractions of its duration.
type plan struct {
	stages [stageCount]stage
	// completeAt is when the rollout is completed if the release has been found good.
	// decideBy is when it is completed if nothing speaks against the release.
	completeAt, decideBy float64
}

// stageCount is the number of stages: the parts of the trial, two steps and the final stage.
const (
	trialStages = 3
	fullStage   = trialStages + 2
	stageCount  = fullStage + 1
)

// newPlan returns the schedule of a release rollout. The parameter share is the largest fraction of the
// service's requests that the release may get.
func newPlan(share float64) plan {
	planned := plannedFraction * share
	p := plan{completeAt: 1 - storeFraction*planned}
	p.decideBy = p.completeAt + decideFraction*(1-p.completeAt)
	fullStart := p.completeAt - fullFraction*planned
	secondStart := fullStart - secondStepFraction*planned/secondStepShare
	firstStart := secondStart - firstStepFraction*planned/firstStepShare
	trialShare := min(trialFraction*planned/(firstStart-trialStart), maxTrialShare)
	for i := range trialStages {
		p.stages[i] = stage{trialStart + float64(i)*(firstStart-trialStart)/trialStages, trialShare}
	}
	copy(p.stages[trialStages:], []stage{{firstStart, firstStepShare}, {secondStart, secondStepShare}, {fullStart, 1}})
	return p
}

// shareAt returns the fraction of the sessions that use the release.
func (p plan) shareAt(elapsed float64) float64 {
	if elapsed < p.stages[0].start {
		return 0
	}
	return p.stages[p.stageAt(elapsed)].share
}

// stageAt returns the stage that has begun last, or the first.
func (p plan) stageAt(elapsed float64) (index uint8) {
	for i, s := range p.stages {
		if elapsed >= s.start {
			index = uint8(i)
		}
	}
	return index
}

// trialShare returns the fraction of the sessions that use the release in the trial.
func (p plan) trialShare() float64 { return p.stages[0].share }
