package overload

import (
	"math"
	"time"
)

// Bounds of the limit.
const (
	// targetUse is the use of the scarcest resource that the limit aims at.
	targetUse = 0.8
	// fleetMargin is how much more than the other VMs this VM may use: turning connections away helps their
	// callers only if the others have more room.
	fleetMargin = 0.2
	// fullUse is the target from which there is no limit: the whole fleet is short.
	fullUse = 0.95
	// maxShort is the part of the other VMs that may be short. A caller whom one VM has turned away tries few others.
	maxShort = 0.25
	// limitBegins is the use from which the limit is in force. Below it a count of requests tells nothing:
	// they may be many because upstreams are slow.
	limitBegins = 0.65
	// limitHolds is how long the limit stays in force after the use was last above limitBegins, or
	// connections were last turned away.
	limitHolds = 2 * time.Second
	// minRunning is the least limit: some new connections are always accepted.
	minRunning = 4
	// costTime is the time constant of the lasting average of the use per request.
	costTime = 5 * time.Second
	// costMinRunning and costMaxUse bound the readings that enter that average: with less running, the use
	// is for other work than requests, and with more use, requests need more than they get.
	costMinRunning, costMaxUse = 1, 0.9
)

// Others is what a VM knows of the other VMs of its data centre.
type Others struct {
	// Live is the number of those that live, and VMs the number of those whose use is known: none at the start.
	Live, VMs int
	// Use is the mean of their use, and Short the number of those that are short.
	Use   float64
	Short int
}

// target returns the use that the limit aims at, or false if there is no limit.
func (o Others) target() (float64, bool) {
	if o.Live == 0 || o.VMs == 0 || float64(o.Short) > maxShort*float64(o.VMs) {
		return 0, false
	}
	target := max(targetUse, o.Use+fleetMargin)
	return target, target < fullUse
}

// IsShort reports whether a VM with this use is short of a resource.
func (u Use) IsShort() bool {
	most, _ := u.Most()
	return most >= limitBegins
}

// Limiter limits the number of requests that run at a VM while it is short of a resource and other VMs are
// not. It computes the limit from the use per running request: requests add to the use for as long as they run, so
// their number shows what has been taken on before it is used. A Limiter is not safe for concurrent use.
type Limiter struct {
	// cost is the lasting average of the use per running request; zero while it is not known.
	cost  float64
	last  time.Time
	until time.Time // end of the time in which the limit is in force
}

// Limits are how many requests may run; 0 means that there is no limit.
type Limits struct {
	// Now is the limit in force. Stale is in force while there is no recent reading: after a suspension many
	// connections have arrived, and nothing shows yet what they use.
	Now, Stale int
}

// Limit returns how many requests may run. The argument turnedAway tells whether connections have been turned away
// since the last call.
func (l *Limiter) Limit(u Use, o Others, turnedAway bool, now time.Time) Limits {
	most, _ := u.Most()
	l.recordCost(u, most, now)
	target, limited := o.target()
	if !limited {
		l.until = time.Time{}
		return Limits{}
	}
	if u.IsShort() || turnedAway && now.Before(l.until) {
		l.until = now.Add(limitHolds)
	}
	limits := Limits{Stale: running(target, l.cost)}
	if !now.Before(l.until) {
		return limits
	}
	cost := l.cost
	if u.Running >= costMinRunning {
		cost = max(cost, most/u.Running)
	}
	limits.Now = max(running(target, cost), minRunning)
	return limits
}

// running returns how many requests may run for a use, or 0 if the use per running request is not known.
func running(target, cost float64) int {
	if cost == 0 {
		return 0
	}
	return max(int(math.Floor(target/cost)), minRunning)
}

// recordCost records the use per running request.
func (l *Limiter) recordCost(u Use, most float64, now time.Time) {
	elapsed := now.Sub(l.last)
	l.last = now
	if u.Running < costMinRunning || most > costMaxUse {
		return
	}
	if l.cost == 0 {
		l.cost = most / u.Running
		return
	}
	l.cost += (1 - math.Exp(-float64(elapsed)/float64(costTime))) * (most/u.Running - l.cost)
}
