package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"woaddoor/internal/standin/replica"
)

// Bounds on what comes to an upstream that names a limit, from all VMs together.
const (
	// limitLeeway is how long after an answer has named it to a VM that VM's sends count.
	limitLeeway = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitMore   = 5
)

// limitsNamed are what upstreams name, in requests a second.
var limitsNamed = []float64{2, 0, 8, 0.4}

// limits are those that upstreams name, and what came to them all the same.
type limits struct {
	words *words

	// mu guards the fields below.
	mu sync.Mutex
	// spans are by the lives of upstreams.
	spans map[int]*limitSpan
}

// limitSpan is one limit that a life names.
type limitSpan struct {
	perSecond float64
	since     time.Time // when an answer first named it
	told      map[string]time.Time
	came      []limitArrival
}

// limitArrival is a request that came by a life of a VM.
type limitArrival struct {
	at  time.Time
	via string
}

// begin has a life name a limit from now on.
func (l *limits) begin(life int, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans[life] = &limitSpan{perSecond: perSecond, told: make(map[string]time.Time)}
}

// end has a life name none any more.
func (l *limits) end(life int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.spans, life)
}

// answers returns the header by which a life names its limit in an answer to a VM; none when
// it names none.
func (l *limits) answers(via string, life int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.spans[life]
	if s == nil {
		return nil
	}
	if s.since.IsZero() {
		s.since = time.Now()
	}
	if s.told[via].IsZero() {
		s.told[via] = time.Now()
	}
	return []string{replica.Limit(s.perSecond)}
}

// came checks a request that has come to a life over a link, which is nil once the upstream
// has ended. What came by VMs that have started anew or were paused since does not count.
func (l *limits) came(r *replica.Request, life int, link *proxy) {
	via, now := r.Header.Get(headerVia), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.spans[life]
	if s == nil || s.told[via].IsZero() || now.Sub(s.told[via]) < limitLeeway {
		return
	}
	s.came = append(s.came, limitArrival{now, via})
	s.came = slices.DeleteFunc(s.came, func(a limitArrival) bool {
		return now.Sub(a.at) >= limitWindow || !l.words.isPresent(a.via)
	})
	if now.Sub(s.since) < contact || link == nil || !link.calmSince(now.Add(-limitWindow)) {
		return
	}
	allowed := int(math.Ceil(limitTimes*s.perSecond*limitWindow.Seconds() + limitMore))
	l.words.tally.check(promiseLimit, len(s.came) <= allowed, r.ID(),
		fmt.Sprintf("the %d. within %v of VMs that were told of a limit of %g a second, %v after it was named; %d are allowed", len(s.came), limitWindow, s.perSecond, now.Sub(s.since), allowed))
}
