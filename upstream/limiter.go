package upstream

import "time"

// limitShare is the share of an upstream's rate limit that one VM may use.
type limitShare struct {
	// interval is the time between two requests within the limit.
	// burst is how many requests may be sent together after a pause.
	interval time.Duration
	burst    int
	// maxPerWindow is the maximum number of requests in any limitWindow.
	// minInterval is the corresponding time between two requests.
	// maxPerWindow and minInterval allow more requests than the rate limit,
	// but no more than the upstream tolerates.
	maxPerWindow int
	minInterval  time.Duration
}

// By the contract with the platform, a rate-limited upstream tolerates some requests beyond its
// limit: in any toleranceWindow (4 s), the upstream accepts toleranceFactor times the requests that
// its limit allows, plus toleranceExtra requests.
const (
	toleranceWindow = 4 * time.Second
	toleranceFactor = 1.5
	toleranceExtra  = 5
)

// Parameters of shares of a rate limit.
const (
	// probeInterval is how often an upstream gets at least one request even if its limit
	// allows less or nothing: only an answer reveals that the limit was lifted.
	probeInterval = time.Second
	// ownerBurst is how many requests an owner of an upstream (one of the few VMs that divide
	// its rate limit) may send together after a pause.
	ownerBurst = 2
	// limitWindow is the window in which requests are counted.
	// limitWindow exceeds toleranceWindow because requests may arrive closer together than they
	// were sent, if the first request waited for a connection.
	// Requests sent under a higher limit count until they leave the window.
	limitWindow = toleranceWindow + 400*time.Millisecond
	// plannedFraction is the fraction of the tolerated requests that the owners of an upstream
	// plan to send, minus reservedProbes requests. The remaining requests are reserved for
	// changes of owners and for probe requests from VMs that learn of no recent answer.
	plannedFraction = 0.9
	reservedProbes  = 1
)

// divideLimit returns how many of the given number of VMs own a rate limit (divide it among
// themselves), and the share of each owner. The number of owners is the largest at which each owner
// may send at least one request per second: with many owners, the loss of one owner costs little.
func divideLimit(perSecond float64, vms int) (owners int, s limitShare) {
	rate := sendRate(perSecond)
	owners = max(1, min(vms, int(rate)))
	s = limitShare{interval: time.Duration(float64(owners) / rate * float64(time.Second)), burst: ownerBurst}
	if perSecond < rate {
		s.burst = 1 // probes only: the upstream wants no more than that
	}
	tolerated := plannedFraction*(toleranceFactor*perSecond*toleranceWindow.Seconds()+toleranceExtra) - reservedProbes
	s.maxPerWindow = max(int(tolerated/float64(owners)), probeShare().maxPerWindow)
	s.minInterval = limitWindow / time.Duration(s.maxPerWindow)
	return owners, s
}

// maxSendRate returns the maximum requests per second that an upstream with a limit gets.
func maxSendRate(perSecond float64) float64 {
	_, s := divideLimit(perSecond, 1)
	return float64(s.maxPerWindow) / limitWindow.Seconds()
}

// probeShare returns the share of a rate limit for a VM that does not own the upstream and only
// probes it, or for a VM that does not know the other owners yet.
func probeShare() limitShare {
	return limitShare{interval: probeInterval, burst: 1, maxPerWindow: int(limitWindow / probeInterval), minInterval: probeInterval}
}

// sendRate returns how many requests per second an upstream with the given limit gets:
// at least one probe request per probeInterval.
func sendRate(perSecond float64) float64 { return max(perSecond, 1/probeInterval.Seconds()) }

// limiter tracks the requests that one VM has sent of its share of a rate limit.
// The zero value means that the VM has sent no request for a long time.
type limiter struct {
	// startedAt is when the limiter started, without unused requests for a burst.
	startedAt time.Time
	// limitTAT is the theoretical arrival time (GCRA) of the next request under the interval of
	// the share, and maxTAT the theoretical arrival time under the minInterval of the share.
	limitTAT, maxTAT time.Time
	// sentAt holds when requests were sent within limitWindow, in order.
	sentAt []time.Time
}

// wait returns the time until one more request stays within the maximum of the share.
// Zero means that the request may be sent now.
func (l *limiter) wait(s limitShare, now time.Time) time.Duration {
	l.dropExpired(now)
	wait := max(earliest(l.maxTAT, s.minInterval, s.burst).Sub(now), l.startedAt.Add(s.minInterval).Sub(now), 0)
	if over := len(l.sentAt) - s.maxPerWindow; over >= 0 {
		wait = max(wait, l.sentAt[over].Add(limitWindow).Sub(now))
	}
	return wait
}

// overLimit reports whether one more request now would exceed the rate limit.
// A request beyond the rate limit may still be within the tolerance of the upstream.
func (l *limiter) overLimit(s limitShare, now time.Time) bool {
	return earliest(l.limitTAT, s.interval, s.burst).After(now)
}

// earliest returns the earliest time for one more request, if burst requests may be sent
// together.
func earliest(next time.Time, interval time.Duration, burst int) time.Time {
	return next.Add(-time.Duration(burst-1) * interval)
}

// dropExpired removes requests that were sent longer than limitWindow ago.
func (l *limiter) dropExpired(now time.Time) {
	for len(l.sentAt) > 0 && now.Sub(l.sentAt[0]) >= limitWindow {
		l.sentAt = l.sentAt[1:]
	}
}

// record records a request that was sent at now.
func (l *limiter) record(s limitShare, now time.Time) {
	l.limitTAT = latest(l.limitTAT, now).Add(s.interval)
	l.maxTAT = latest(l.maxTAT, now).Add(s.minInterval)
	l.sentAt = append(l.sentAt, now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveBack reverts the record of a request that was not sent.
func (l *limiter) giveBack(s limitShare) {
	if len(l.sentAt) == 0 {
		return
	}
	l.limitTAT, l.maxTAT = l.limitTAT.Add(-s.interval), l.maxTAT.Add(-s.minInterval)
	l.sentAt = l.sentAt[:len(l.sentAt)-1]
}
