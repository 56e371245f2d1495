// Package duties is a stand-in for the platform that takes the calls which one VM makes
// for all, by its published protocol, without a look at the number that they carry. It
// notes what breaks the protocol's promises, and shows faults that a test sets.
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

// Faults are what the platform does wrong until they are changed.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// LoseAnswers carries out that many calls and cuts their connections.
	LoseAnswers int
	// Refuse answers every call with this status, if it is set.
	Refuse int
}

// Report is the usage of a window as it was first reported.
type Report struct {
	Counts map[string]int64
	At     time.Time
	Holder string
	// Times is how often it came.
	Times int
}

// Order is how many upstreams were ordered last of one kind.
type Order struct {
	Count  int
	Holder string
}

// Subject is what an order is for.
type Subject struct {
	Service, DataCentre string
	Preemptible         bool
}

// Platform is the stand-in. It is an http.Handler. Lease is how long a VM may not act, then
// another, then it again.
type Platform struct {
	Lease time.Duration

	mu      sync.Mutex
	faults  Faults
	reports map[int64]*Report
	orders  map[Subject]Order
	broken  []string
	calls   int
	// subjects are the calls of each duty and subject.
	subjects map[string]*acted
}

// acted is who has acted for one duty and subject.
type acted struct {
	last    uint64
	holder  string
	numbers map[uint64]string
	at      map[string]time.Time
}

// New returns a platform that has taken nothing.
func New(lease time.Duration) *Platform {
	return &Platform{Lease: lease, reports: make(map[int64]*Report), orders: make(map[Subject]Order), subjects: make(map[string]*acted)}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Reports returns the reports by window.
func (p *Platform) Reports() map[int64]Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[int64]Report, len(p.reports))
	for w, r := range p.reports {
		out[w] = *r
	}
	return out
}

// Orders returns what was ordered last.
func (p *Platform) Orders() map[Subject]Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.orders)
}

// Broken returns which promises were broken.
func (p *Platform) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.broken...)
}

// Calls returns how many calls came.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	holder := r.Header.Get("X-Duty-Holder")
	number, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
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
		p.usage(w, r, holder, number)
	case "/scale":
		p.scale(w, r, holder, number)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request, holder string, number uint64) {
	var body struct {
		WindowId int64
		Counts   map[string]int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.act("usage", holder, number)
	had, ok := p.reports[body.WindowId]
	if !ok {
		p.reports[body.WindowId] = &Report{Counts: body.Counts, At: time.Now(), Holder: holder, Times: 1}
		return
	}
	had.Times++
	if !maps.Equal(had.Counts, body.Counts) {
		p.breaks("window %d was reported as %v and as %v", body.WindowId, had.Counts, body.Counts)
	}
}

func (p *Platform) scale(w http.ResponseWriter, r *http.Request, holder string, number uint64) {
	var body struct {
		Service, Zone string
		DesiredCount  int
		Preemptible   bool
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.act("scale "+body.Service+" "+body.Zone, holder, number)
	p.orders[Subject{body.Service, body.Zone, body.Preemptible}] = Order{body.DesiredCount, holder}
}

// act notes a call for a duty and subject. The caller holds mu.
func (p *Platform) act(subject, holder string, number uint64) {
	a := p.subjects[subject]
	if a == nil {
		a = &acted{numbers: make(map[uint64]string), at: make(map[string]time.Time)}
		p.subjects[subject] = a
	}
	now := time.Now()
	if number < a.last {
		p.breaks("%s: number %d of %s came after %d of %s", subject, number, holder, a.last, a.holder)
	}
	if other := a.numbers[number]; other != "" && other != holder {
		p.breaks("%s: number %d was used by %s and %s", subject, number, other, holder)
	}
	if before, ok := a.at[holder]; ok && a.holder != holder && now.Sub(before) < p.Lease {
		p.breaks("%s: %s acted, then %s, then %s again within %v", subject, holder, a.holder, holder, now.Sub(before))
	}
	a.last, a.holder = max(a.last, number), holder
	a.numbers[number], a.at[holder] = holder, now
}

// breaks notes a broken promise. The caller holds mu.
func (p *Platform) breaks(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}
