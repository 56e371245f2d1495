package rollout

import "time"

// independentRequests counts this VM's independent requests (those that belong to no session) during a rollout. Such a
// request may run on any release at any time, so they need not follow the plan's steps: from the last part of the trial on
// all of them go to the release, once it may get as many until the deadline. A service with few requests then shows how the
// release answers under the load that it will bear.
type independentRequests struct {
	// share is the fraction of its requests, and slack the number beside it, that this VM may send to the release.
	share, slack float64
	// seen counts the requests since the rollout was ordered, and sent those that were sent to the release.
	seen, sent float64
}

// spentFraction is the fraction of what a VM may send that it plans to send. The rest covers requests that are sent again
// and traffic that falls.
const spentFraction = 0.92

// SetSlack sets how many requests this VM may send to the release beyond its share of the requests.
func (c *Canary) SetSlack(requests float64) { c.independent.slack = requests }

// IndependentShare returns the fraction of the independent requests that use the release at now.
func (c *Canary) IndependentShare(now time.Time) float64 {
	share, elapsed := c.Share(now), c.elapsedFraction(now)
	if share == 0 || c.order.State != OrderOpen || elapsed < c.plan.stages[trialStages-1].start || elapsed >= 1 {
		return share
	}
	trial := c.plan.trialShare()
	heldBack := share <= trial && (c.lacksTrialResults() || c.isUndecided(now)) // a larger share is not held back
	if heldBack || !c.independent.mayRunAll(elapsed) {
		return min(share, trial)
	}
	return 1
}

// mayRunAll reports whether this VM may send all requests to the release from now to the deadline of the rollout. The
// parameter elapsed is a part of the rollout's duration.
func (i *independentRequests) mayRunAll(elapsed float64) bool {
	perDuration := i.seen / elapsed
	allowed := spentFraction * (i.share*perDuration + i.slack)
	return i.sent+perDuration*(1-elapsed) <= allowed && i.sent+1 <= allowed
}

// count counts an independent request.
func (i *independentRequests) count(onTrial bool) {
	i.seen++
	if onTrial {
		i.sent++
	}
}
