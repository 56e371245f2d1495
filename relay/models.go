package relay

import (
	"time"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// escalateBefore is the part of the objective that may have passed when an
// answer is given up for a larger model's: later the larger one is not on time.
const escalateBefore = 0.6

// chooseModel names the model that answers first. The caller holds mu.
func (r *Relay) chooseModel(j *job) {
	models := j.Route.Models
	if !j.ChooseModel || len(models) == 0 {
		return
	}
	now := r.opts.Now()
	largest := cascade.Room(r.expected(j, now))
	if j.Route.Repeatable() && j.Route.MaxAttempts > 1 { // else it could not be given up for another
		largest *= cascade.LargestFirst(r.budget(j.service).Steady(retry.ForEscalation), r.wanted.Rate())
	}
	j.model = models[0]
	if r.random.Float64() < largest {
		j.model = models[len(models)-1]
	}
}

// escalates decides whether the answer that begins with a head is given up for
// one of the largest model, and takes that send out of the budget.
func (r *Relay) escalates(j *job, h *Head) bool {
	models := j.Route.Models
	if !j.ChooseModel || j.began || !j.Route.Repeatable() || len(models) == 0 || j.model == models[len(models)-1] || j.sends+1 >= j.Route.MaxAttempts {
		return false
	}
	now := r.opts.Now()
	if now.Sub(j.Arrived) > time.Duration(escalateBefore*float64(j.Route.Objective)) {
		return false
	}
	up := false
	r.locked(func() {
		w := r.budget(j.service)
		vms := r.opts.VMs()
		poor := bar.GiveUp(cascade.Answer{Confidence: h.Confidence, Priority: j.Route.Priority, Expected: r.expected(j, now)})
		r.wanted.Observe(poor)
		up = poor && w.Take(retry.ForEscalation, vms, now)
	})
	return up
}

// expected returns when the largest model's answer to a job is expected to
// begin, as a part of the objective. The caller holds mu.
func (r *Relay) expected(j *job, now time.Time) float64 {
	larger := *j
	larger.model = j.Route.Models[len(j.Route.Models)-1]
	begins := now.Sub(j.Arrived).Seconds() + r.pace(&larger).mean
	return begins / max(j.Route.Objective.Seconds(), minObjective)
}

// minObjective, in seconds, stands in for that of a route without any.
const minObjective = 0.1

// bar is the opinion below which an answer is given up; docs/design/platform.md
// has the measurements.
var bar = cascade.Bar{At: 0.57, PerRank: 0.06}

// escalated moves the job to the largest model.
func (r *Relay) escalated(j *job, a *attempt) {
	r.Metrics.escalations.Inc(1)
	r.ended(j, a.entry, upstream.Abandoned, 0)
	r.observe(j, a, false)
	j.sends++
	j.outcome = contract.Ran
	j.model = j.Route.Models[len(j.Route.Models)-1]
	j.escalated, j.givenUp = true, a.head.Confidence
}
