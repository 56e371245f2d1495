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
	plannedFraction = 0.93
	// Fractions of the planned share of requests for the trial, the two steps and the final stage.
	trialFraction, stepsFraction, finalFraction = 0.2, 0.1, 0.7
	// maxTrialShare limits the fraction of sessions in the trial.
	maxTrialShare = 0.10
	// firstStepShare and secondStepShare are the fractions of sessions that use the release
	// in the two steps between the trial and the final stage.
	firstStepShare, secondStepShare = 0.25, 0.5
	// completionFraction is the fraction of the final stage after which the rollout is marked
	// completed. Requests at the other releases end before that moment.
	// The rest of the final stage leaves time to store the outcome.
	completionFraction = 0.2
)

// stage is a part of a release rollout. The stage begins at start, a fraction of the rollout's
// duration. From the start on, share is the fraction of the sessions that use the release.
type stage struct{ start, share float64 }

// planStages returns the stages of a release rollout, and the fraction of the rollout's duration
// at which the rollout is completed. The parameter share is the largest fraction of the service's
// requests that the release may get.
func planStages(share float64) (stages []stage, completion float64) {
	finalLength := finalFraction * plannedFraction * share
	stepLength := stepsFraction * plannedFraction * share / (firstStepShare + secondStepShare)
	finalStart := 1 - finalLength
	firstStepStart := finalStart - 2*stepLength
	trialShare := min(trialFraction*plannedFraction*share/(firstStepStart-trialStart), maxTrialShare)
	return []stage{{trialStart, trialShare}, {firstStepStart, firstStepShare}, {finalStart - stepLength, secondStepShare}, {finalStart, 1}}, finalStart + completionFraction*finalLength
}
