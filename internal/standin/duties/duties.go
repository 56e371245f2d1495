// Package duties is a stand-in for the platform's API that receives usage reports and scale
// orders, which one VM sends on behalf of all VMs. The stand-in accepts every fencing token and
// records violations of the protocol instead of rejecting them. Tests can inject faults.
package duties

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults of the platform, in effect until they are replaced.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// DropAnswers is how many of the next calls are processed but get no answer,
	// because the connection is closed.
	DropAnswers int
	// Refuse is the status that answers every call; zero for none.
	Refuse int
}

// UsageReport is the first report of the usage in a window.
type UsageReport struct {
	Counts map[string]int64
	At     time.Time
	Holder string
	// Count is how often the window was reported.
	Count int
}

// ScaleOrder is the latest ordered number of upstreams for a ScaleTarget.
type ScaleOrder struct {
	Count  int
	Holder string
}

// ScaleTarget identifies the upstreams that a scale order applies to.
type ScaleTarget struct {
	Service, DataCentre string
	Preemptible         bool
}

// Platform is the stand-in, an http.Handler. LeaseDuration is the shortest time that must pass
// between two calls of a VM for the same target if another VM made a call in between.
type Platform struct {
	LeaseDuration time.Duration

	mu          sync.Mutex
	faults      Faults
	reports     map[int64]*UsageReport
	scaleOrders map[ScaleTarget]ScaleOrder
	violations  []string
	calls       int
	// histories holds the earlier calls by the kind and the target of the call. A target is, for
	// example, a service in a data centre.
	histories map[string]*callHistory
}

// callHistory records which VMs made calls of one kind for the same target,
// and with which fencing tokens.
type callHistory struct {
	maxToken     uint64
	lastHolder   string
	tokenHolders map[uint64]string
	lastCalls    map[string]time.Time
}

// New returns a platform that has received no calls.
func New(lease time.Duration) *Platform {
	return &Platform{LeaseDuration: lease, reports: make(map[int64]*UsageReport), scaleOrders: make(map[ScaleTarget]ScaleOrder), histories: make(map[string]*callHistory)}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Reports returns the usage reports by window id.
func (p *Platform) Reports() map[int64]UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make(map[int64]UsageReport, len(p.reports))
	for w, r := range p.reports {
		reports[w] = *r
	}
	return reports
}

// ScaleOrders returns the latest order for each target.
func (p *Platform) ScaleOrders() map[ScaleTarget]ScaleOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.scaleOrders)
}

// Violations returns a description of each violation of the protocol.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

// CallCount returns how many calls were received.
func (p *Platform) CallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	holder := r.Header.Get("X-Duty-Holder")
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || holder == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case p.faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case p.faults.Refuse != 0:
		w.WriteHeader(p.faults.Refuse)
		return
	}
	switch r.URL.Path {
	case "/usage":
		p.serveUsage(w, r, holder, token)
	case "/scale":
		p.serveScale(w, r, holder, token)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if p.faults.DropAnswers > 0 {
		p.faults.DropAnswers--
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
}

func (p *Platform) serveUsage(w http.ResponseWriter, r *http.Request, holder string, token uint64) {
	var body struct {
		WindowId int64
		Counts   map[string]int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.recordCall("usage", holder, token)
	report, ok := p.reports[body.WindowId]
	if !ok {
		p.reports[body.WindowId] = &UsageReport{Counts: body.Counts, At: time.Now(), Holder: holder, Count: 1}
		return
	}
	report.Count++
	if !maps.Equal(report.Counts, body.Counts) {
		p.recordViolation("window %d was reported as %v and as %v", body.WindowId, report.Counts, body.Counts)
	}
}

func (p *Platform) serveScale(w http.ResponseWriter, r *http.Request, holder string, token uint64) {
	var body struct {
		Service, Zone string
		DesiredCount  int
		Preemptible   bool
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.recordCall("scale "+body.Service+" "+body.Zone, holder, token)
	p.scaleOrders[ScaleTarget{body.Service, body.Zone, body.Preemptible}] = ScaleOrder{body.DesiredCount, holder}
}

// recordCall records a call, and any violation of the protocol by it. duty names the kind of call
// and its target. The caller holds mu.
func (p *Platform) recordCall(duty, holder string, token uint64) {
	history := p.histories[duty]
	if history == nil {
		history = &callHistory{tokenHolders: make(map[uint64]string), lastCalls: make(map[string]time.Time)}
		p.histories[duty] = history
	}
	now := time.Now()
	if token < history.maxToken {
		p.recordViolation("%s: fencing token %d of %s came after %d of %s", duty, token, holder, history.maxToken, history.lastHolder)
	}
	if other := history.tokenHolders[token]; other != "" && other != holder {
		p.recordViolation("%s: fencing token %d was used by %s and %s", duty, token, other, holder)
	}
	if lastCall, ok := history.lastCalls[holder]; ok && history.lastHolder != holder && now.Sub(lastCall) < p.LeaseDuration {
		p.recordViolation("%s: %s acted, then %s, then %s again within %v", duty, holder, history.lastHolder, holder, now.Sub(lastCall))
	}
	history.maxToken, history.lastHolder = max(history.maxToken, token), holder
	history.tokenHolders[token], history.lastCalls[holder] = holder, now
}

// recordViolation records a violation of the protocol. The caller holds mu.
func (p *Platform) recordViolation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}
