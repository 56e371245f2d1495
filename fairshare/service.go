package fairshare

import (
	"time"

	"woaddoor/contract"
	"woaddoor/retry"
)

// Request is a request that asks for admission.
type Request struct {
	Class
	// Work is the expected work of the request.
	Work float64
	// Objective is the objective of the request. A request without an objective is not refused.
	Objective time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Jitter returns a random number from 0 to 1, which spreads the return of refused callers.
	// It is called only for a refused request.
	Jitter func() float64
}

// Decision is the result of Decide, with its inputs.
type Decision struct {
	// Refused means that the request is beyond the share of its workspace.
	// RetryAfter is then the time after which the caller should return.
	Refused    bool
	RetryAfter time.Duration
	// Short is set while the upstreams are short. Changed is set if this decision has changed Short.
	// ShortFor is the time since the upstreams became short.
	Short, Changed bool
	ShortFor       time.Duration
	// BeginFraction is the time until the request would begin, as a fraction of the longest
	// objective of the service.
	BeginFraction float64
	// Plan is the division of the capacity, which was made PlanAge ago.
	Plan    Plan
	PlanAge time.Duration
	// AdmitFraction is the fraction of the class's requests that is admitted.
	// Credit is the accumulated credit of the class after this decision, see spendCredit.
	AdmitFraction, Credit float64
	// OthersKnown is set if the demand of other VMs is known, with the age OthersAge.
	OthersKnown bool
	OthersAge   time.Duration
}

// Expiry times of the state of a Service.
const (
	// OthersExpiry is how long the demand of other VMs is used. Without a newer report, the VM has
	// ended or is cut off.
	OthersExpiry = 2 * time.Second
	// maxPlanAge is the age at which a decision makes a new plan itself. Usually Refresh has made
	// one before, so that few requests wait for it.
	maxPlanAge = Averaging / 2
	// creditExpiry is how long credit is kept from one shortage to the next.
	creditExpiry = 10 * time.Second
	// objectiveExpiry is how long an objective counts after the last request that had it.
	objectiveExpiry = 10 * time.Second
)

// Service decides on the admission to one service at one VM.
// A Service is not safe for concurrent use; the caller holds a lock.
type Service struct {
	counter  counter
	shortage shortage
	// others is the demand at the other VMs, received at othersAt.
	others   ServiceDemand
	othersAt time.Time
	// busyAt is when enough slots were last in use for the demand to be reported.
	busyAt time.Time
	// longestObjective is the longest objective of recent requests. The engines begin urgent
	// requests first, so that only the requests that may wait longest show a shortage.
	longestObjective   time.Duration
	longestObjectiveAt time.Time
	plan               Plan
	planAt             time.Time
	// credits holds the accumulated credit of each class, see spendCredit.
	credits map[Class]float64
	// schedules holds the reserved return times of refused callers.
	schedules map[Class]*retry.RetryScheduler
}

// NewService returns a Service without any counts.
func NewService() *Service {
	return &Service{counter: make(counter), credits: make(map[Class]float64), schedules: make(map[Class]*retry.RetryScheduler)}
}

// Decide counts the offered work of a request and decides whether the request is admitted.
// weight returns the weight of a workspace; nil means equal weights.
func (s *Service) Decide(r Request, u Upstreams, weight func(contract.WorkspaceID) float64, now time.Time) Decision {
	rates := s.counter.of(r.Class)
	rates.offered.add(r.Work, now)
	rates.requests.add(1, now)
	if u.busy() {
		s.busyAt = now
	}
	s.recordObjective(r.Objective, now)
	wasShort := s.shortage.short
	if r.Objective > 0 {
		s.shortage.observe(u, s.longestObjective, s.othersKnown(now) && s.others.Pressure == Short, now)
	}
	d := Decision{Short: s.shortage.short, Changed: wasShort != s.shortage.short, AdmitFraction: 1}
	if s.longestObjective > 0 {
		d.BeginFraction = u.Begin.Seconds() / s.longestObjective.Seconds()
	}
	if !s.shortage.short {
		return d
	}
	if now.Sub(s.planAt) > creditExpiry {
		clear(s.credits)
	}
	s.decideWhileShort(&d, r, weight, now)
	return d
}

// recordObjective updates the longest objective.
func (s *Service) recordObjective(objective time.Duration, now time.Time) {
	if objective <= 0 {
		return
	}
	if objective >= s.longestObjective || now.Sub(s.longestObjectiveAt) > objectiveExpiry {
		s.longestObjective, s.longestObjectiveAt = objective, now
	}
}

// decideWhileShort decides on a request by the share of its workspace.
func (s *Service) decideWhileShort(d *Decision, r Request, weight func(contract.WorkspaceID) float64, now time.Time) {
	if s.planAt.Before(s.shortage.since) || now.Sub(s.planAt) >= maxPlanAge {
		s.updatePlan(weight, now)
	}
	d.ShortFor, d.Plan, d.PlanAge = now.Sub(s.shortage.since), s.plan, now.Sub(s.planAt)
	d.OthersKnown, d.OthersAge = s.othersKnown(now), now.Sub(s.othersAt)
	d.AdmitFraction = s.plan.Fraction(r.Class)
	refusable := r.Objective > 0 && d.BeginFraction >= beginsInTime
	d.Refused, d.Credit = s.spendCredit(r.Class, d.AdmitFraction, refusable)
	if d.Refused {
		d.RetryAfter = s.retryAfter(r, d.AdmitFraction, now)
	}
}

// spendCredit decides on one request of a class. It adds the admitted fraction to the credit of the
// class. The request costs 1 and is refused if the credit is lower, unless it is not refusable.
// Credit spaces the admitted requests regularly, while random admission would refuse some sessions
// many times in a row. Requests count and not their work, so that long prompts are not refused
// more often. A class starts with credit for one request.
func (s *Service) spendCredit(class Class, fraction float64, refusable bool) (refused bool, credit float64) {
	credit, ok := s.credits[class]
	if !ok {
		credit = 1 - fraction
	}
	credit += fraction
	if refused = refusable && credit < 1-creditTolerance; !refused {
		credit = max(credit-1, -maxDebt)
	}
	s.credits[class] = credit
	return refused, credit
}

// maxDebt limits how many requests of a class are refused later because others that were expected
// to begin in time were admitted beyond its fraction.
const maxDebt = 4

// creditTolerance keeps rounding from refusing a request of a class that is fully admitted.
const creditTolerance = 1e-6

// Refresh divides the capacity anew while the upstreams are short. A shortage without recent
// estimates ends, and Refresh reports that it has ended.
// Refresh is called several times a second.
func (s *Service) Refresh(weight func(contract.WorkspaceID) float64, now time.Time) (ended bool) {
	if !s.shortage.short {
		return false
	}
	if now.Sub(s.shortage.updated) > maxGap {
		s.shortage = shortage{}
		return true
	}
	s.updatePlan(weight, now)
	return false
}

// updatePlan divides the capacity anew.
func (s *Service) updatePlan(weight func(contract.WorkspaceID) float64, now time.Time) {
	demand := s.counter.demand(now)
	capacity := s.shortage.capacity(demand.Sum().Admitted, s.longestObjective)
	if s.othersKnown(now) {
		demand.Add(s.others.Classes)
		capacity += s.others.Capacity
	}
	s.plan, s.planAt = NewPlan(demand, max(capacity, minCapacityShare*demand.Sum().Offered), weight), now
}

// Admitted counts the work of a request that was admitted and is sent on.
func (s *Service) Admitted(class Class, work float64, now time.Time) {
	s.counter.of(class).admitted.add(work, now)
}

// othersKnown reports whether the demand of other VMs is known.
func (s *Service) othersKnown(now time.Time) bool {
	return !s.othersAt.IsZero() && now.Sub(s.othersAt) <= OthersExpiry
}

// SetOthers sets the demand at all other VMs.
func (s *Service) SetOthers(d ServiceDemand, now time.Time) { s.others, s.othersAt = d, now }

// Demand returns the demand at this VM. ok is set if other VMs need it, because the upstreams are
// busy at this VM or at another one.
func (s *Service) Demand(now time.Time) (d ServiceDemand, ok bool) {
	if !s.busyAt.IsZero() && now.Sub(s.busyAt) <= OthersExpiry {
		d.Pressure = Busy
		if s.shortage.short {
			d.Pressure = Short
		}
	}
	if d.Pressure == Relaxed && !(s.othersKnown(now) && s.others.Pressure > Relaxed) {
		return ServiceDemand{}, false
	}
	d.Classes = s.counter.demand(now)
	d.Capacity = s.shortage.capacity(d.Classes.Sum().Admitted, s.longestObjective)
	return d, true
}

// Limits of the return of refused callers.
const (
	// maxReturn is the longest time after which a refused caller returns.
	maxReturn = 5 * time.Second
	// honouredShare is the part of its remaining time for which a caller waits at most.
	honouredShare = 1.0 / 3
)

// retryAfter returns when a refused caller should return. The callers of a class are spread over the
// time in which the admitted part of the class serves what it has refused.
// Callers for which that is too late are spread over the time for which they wait.
func (s *Service) retryAfter(r Request, fraction float64, now time.Time) time.Duration {
	schedule, ok := s.schedules[r.Class]
	if !ok {
		schedule = &retry.RetryScheduler{}
		s.schedules[r.Class] = schedule
	}
	served := fraction * s.counter.of(r.Class).requests.at(now)
	jitter := r.Jitter()
	delay := schedule.NextDelay(served, maxReturn, jitter, now)
	longest := time.Duration(honouredShare * float64(r.Remaining))
	if delay > longest {
		delay = longest - time.Duration(jitter/2*float64(longest))
	}
	return max(delay, 0)
}
