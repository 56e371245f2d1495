package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"woaddoor/internal/standin/replica"
)

// Limits on the requests that reach an upstream that advertises a rate limit,
// from all VMs together.
const (
	// limitLeeway is the time after a VM first receives an advertised limit during which its
	// requests do not count against the limit.
	limitLeeway = 500 * time.Millisecond
	// limitWindow is the time over which arrivals are counted. In each window may arrive at most
	// limitFactor times the requests that the advertised rate allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitValues are the limits that upstreams advertise, in requests per second.
var limitValues = []float64{2, 0, highestLimit, 0.4}

// highestLimit is the highest limit that an upstream advertises, in requests per second.
const highestLimit = 8.0

// limitTracker records the rate limits that upstreams advertise
// and checks the requests that arrive afterwards.
type limitTracker struct {
	notices *noticeTracker

	// mu guards the fields below.
	mu sync.Mutex
	// advertised holds the current limits by upstream incarnation.
	advertised map[int]*advertisedLimit
}

// advertisedLimit is a limit that one upstream incarnation advertises,
// and the requests that count against it.
type advertisedLimit struct {
	perSecond   float64
	firstSentAt time.Time // when an answer first carried the limit
	sentToVM    map[string]time.Time
	arrivals    []limitArrival
}

// limitArrival is a request that a VM incarnation sent.
type limitArrival struct {
	at            time.Time
	vmIncarnation string
}

// start makes an upstream incarnation advertise a limit.
func (l *limitTracker) start(incarnation int, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advertised[incarnation] = &advertisedLimit{perSecond: perSecond, sentToVM: make(map[string]time.Time)}
}

// stop makes an upstream incarnation advertise no limit any more.
func (l *limitTracker) stop(incarnation int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.advertised, incarnation)
}

// headers returns the header that advertises an upstream incarnation's limit in an answer to a VM,
// or nil if there is no limit.
func (l *limitTracker) headers(vmIncarnation string, incarnation int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.advertised[incarnation]
	if limit == nil {
		return nil
	}
	if limit.firstSentAt.IsZero() {
		limit.firstSentAt = time.Now()
	}
	if limit.sentToVM[vmIncarnation].IsZero() {
		limit.sentToVM[vmIncarnation] = time.Now()
	}
	return []string{replica.LimitHeader(limit.perSecond)}
}

// checkArrival checks a request that has reached an upstream incarnation through a link. The link
// is nil once the upstream has ended. A request does not count if its VM has been restarted or
// paused since the caller sent the request.
func (l *limitTracker) checkArrival(r *replica.Request, incarnation int, link *proxy) {
	vmIncarnation, now := r.Header.Get(headerVMIncarnation), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.advertised[incarnation]
	if limit == nil || limit.sentToVM[vmIncarnation].IsZero() || now.Sub(limit.sentToVM[vmIncarnation]) < limitLeeway {
		return
	}
	limit.arrivals = append(limit.arrivals, limitArrival{now, vmIncarnation})
	limit.arrivals = slices.DeleteFunc(limit.arrivals, func(a limitArrival) bool {
		return now.Sub(a.at) >= limitWindow || !l.notices.isCurrent(a.vmIncarnation)
	})
	if now.Sub(limit.firstSentAt) < settleTime || link == nil || !link.undisturbedSince(now.Add(-limitWindow)) {
		return
	}
	allowed := int(math.Ceil(limitFactor*limit.perSecond*limitWindow.Seconds() + limitSlack))
	l.notices.recorder.check(guaranteeRateLimit, len(limit.arrivals) <= allowed, r.ID(),
		fmt.Sprintf("request %d within %v from VMs that have received the limit of %g per second, %v after it was first advertised; %d are allowed", len(limit.arrivals), limitWindow, limit.perSecond, now.Sub(limit.firstSentAt), allowed))
}
