package upstream

import (
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Entry is one upstream in the platform's list of upstreams.
type Entry struct {
	ID      contract.UpstreamID
	Service contract.ServiceID
	// Address is the upstream's IP address and port. Another upstream may use the same address
	// later.
	Address    string
	DataCentre contract.DataCentreID
	// Release is the software version of the upstream.
	Release string
	Slots   int
	// CacheTokens is the capacity of the engine's prompt cache in tokens; zero if unknown or for
	// a plain service.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream; zero if unknown.
	EventTokens int
	// Leaving means that the upstream is about to stop and gets no new work.
	Leaving bool
	// Preemptible means that the upstream costs less, but that the platform may remove it at
	// any moment.
	Preemptible bool
	// Cold is how long the upstream stays cold (still warming up), counted from when the
	// upstream wrote the entry.
	Cold time.Duration
	// Incarnation distinguishes two instances with the same ID. It is the start time by the
	// upstream's own clock, in milliseconds since 1970, or zero if the upstream does not
	// provide it. Since that clock may jump, a higher Incarnation is not necessarily the
	// later instance.
	Incarnation int64
	// Revision is the revision of the entry in the platform's object store.
	Revision contract.Revision
}

// List is a set of list entries together with the settings that apply to them.
type List struct {
	Entries []Entry
	// Connections returns how many concurrent requests this VM may have at one upstream of a
	// service. Cold returns the bound for a cold upstream of a service. Cold may be nil.
	Connections func(contract.ServiceID) int
	Cold        func(contract.ServiceID) ColdBound
	Now         time.Time
	// Incomplete means that further upstreams exist that the list does not contain yet.
	Incomplete bool
}

// PoolID returns the ID of the pool of an entry: the upstreams of one service and release in
// one data centre.
func (e Entry) PoolID() contract.PoolID { return PoolID(e.Service, e.Release, e.DataCentre) }

// Instance returns the instance that an entry describes.
func (e Entry) Instance() contract.UpstreamInstance {
	return contract.UpstreamInstance{Upstream: e.ID, Incarnation: e.Incarnation}
}

// PoolID returns the ID of a pool of listed upstreams.
func PoolID(s contract.ServiceID, release string, dc contract.DataCentreID) contract.PoolID {
	return contract.PoolID(string(s) + "|" + release + "|" + string(dc))
}

// ApplyList replaces the known upstreams with the upstreams of a list.
// An upstream that restarted under the same ID is a new instance:
// the state of the previous instance is discarded.
func (t *Table) ApplyList(l List) {
	pools := make(map[contract.PoolID]*config.Pool)
	for _, e := range l.Entries {
		if s := t.states[e.ID]; s != nil && s.incarnation != e.Incarnation {
			delete(t.states, e.ID)
		}
		id := e.PoolID()
		if pools[id] == nil {
			pools[id] = newPool(e, l)
		}
		pools[id].Slots = max(pools[id].Slots, e.Slots)
		pools[id].Upstreams = append(pools[id].Upstreams, config.Upstream{ID: e.ID, URL: e.Address})
	}
	before := t.states
	t.Configure(pools)
	for _, p := range pools {
		p.Upstreams = nil // the states hold the upstreams
	}
	for _, e := range l.Entries {
		s := t.states[e.ID]
		t.applyEntry(s, e, l, before[e.ID] != s)
	}
	t.refreshLimited()
	t.listReceived = t.listReceived || len(l.Entries) > 0 && !l.Incomplete
}

// newPool returns the pool of an entry, without upstreams.
func newPool(e Entry, l List) *config.Pool {
	return &config.Pool{ID: e.PoolID(), Kind: config.EnginePool, DataCentre: e.DataCentre, MaxConnections: l.Connections(e.Service), Slots: 1}
}

// applyEntry updates the state of an upstream from its entry. isNew means that this VM did not
// know the upstream before.
func (t *Table) applyEntry(s *state, e Entry, l List, isNew bool) {
	s.prefixCache.SetCapacity(e.CacheTokens)
	s.eventTokens = e.EventTokens
	s.incarnation, s.slots, s.service = e.Incarnation, e.Slots, e.Service
	s.notices = t.notices[e.Instance()]
	t.inheritBrittleness(s, l.Now)
	if isNew {
		s.listedAt = l.Now
	}
	s.leavingIncarnation = 0
	if e.Leaving {
		s.leavingIncarnation = 1
	}
	if l.Cold != nil {
		t.applyEntryColdness(s, e, l.Cold(e.Service), isNew, l.Now)
	}
}

// RecordAnswerLoad records the load that an upstream reported in an answer.
func (t *Table) RecordAnswerLoad(id contract.UpstreamID, running, waiting int, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.sentSinceReport, s.doneSinceReport = 0, 0
	s.averageReport(contract.LoadReport{Running: running, Waiting: waiting}, now.Sub(s.reportedAt))
	s.reportedAt = now
}

// RecordAccepted records that an upstream has begun to answer a request,
// so the upstream no longer rejects requests.
func (t *Table) RecordAccepted(id contract.UpstreamID) {
	if s, ok := t.states[id]; ok {
		s.health.rejectedSkip = 0
	}
}

// hasFreeConnection reports whether this VM may have one more request in flight at an upstream.
func (s *state) hasFreeConnection() bool {
	return s.pool.MaxConnections == 0 || s.inFlight < s.pool.MaxConnections
}

// lastResort returns the upstream with the lowest failure rate if no upstream is healthy enough for
// a normal selection: trying an upstream that may have recovered is better than refusing the
// request without a try.
func (t *Table) lastResort(q Query, now time.Time) (contract.UpstreamID, error) {
	if !t.opts.Listed {
		return "", ErrNone
	}
	best := t.leastFailed(q, now)
	if best == nil {
		return "", ErrNone
	}
	t.recordPick(best, now)
	return best.upstream.ID, nil
}

// leastFailed returns the upstream with the lowest failure rate among the upstreams that the query
// allows and that accept work, regardless of their health.
// It returns nil if there is no such upstream.
func (t *Table) leastFailed(q Query, now time.Time) *state {
	var best *state
	for _, s := range t.states {
		if !q.allows(s) || !s.acceptsWork(now) || !s.hasFreeConnection() || !t.withinBounds(s, now) {
			continue
		}
		if best == nil || s.health.failureRate < best.health.failureRate || s.health.failureRate == best.health.failureRate && s.upstream.ID < best.upstream.ID {
			best = s
		}
	}
	return best
}

// withinBounds reports whether this VM may send one more request to an upstream now according
// to the bounds that all VMs share: the cold bound, the rate limit and the room of a brittle upstream.
func (t *Table) withinBounds(s *state, now time.Time) bool {
	return t.withinColdBound(s, now) && t.withinLimit(s, now) && t.withinRoom(s, now)
}

// recordPick counts a request to an upstream against the bounds that all VMs share.
func (t *Table) recordPick(s *state, now time.Time) {
	s.cold.recordSend(now)
	t.claimShare(s, now)
}

// CanPick reports whether Pick would return an upstream.
func (t *Table) CanPick(q Query, now time.Time) bool {
	if t.opts.Listed {
		return t.leastFailed(q, now) != nil
	}
	return len(t.candidates(q, now)) > 0
}

// HasAlternative reports whether any upstream could accept the request. Upstreams that are suspected of
// failing count only if suspected is set.
func (t *Table) HasAlternative(q Query, suspected bool, now time.Time) bool {
	for _, s := range t.states {
		if q.allows(s) && t.usable(s, "", now) && (suspected || s.health.failureRate < suspectThreshold) && !t.inUnreachableCentre(s, q, now) {
			return true
		}
	}
	return false
}

// health is what the results of this VM's own requests show about a listed upstream.
type health struct {
	// failureRate is the exponentially weighted fraction of recent requests that failed.
	failureRate float64
	backoff     time.Duration
	skipUntil   time.Time // until then, the upstream gets no new work except as a last resort
	// rejectedSkip is how long the upstream was skipped after it last rejected a request.
	// The duration is zero once the upstream has begun to answer a later request.
	rejectedSkip time.Duration
	// connectFailed is set if no connection could be established at the last attempt.
	connectFailed         bool
	firstAnswerTime       time.Duration
	othersFirstAnswerTime time.Duration // mean firstAnswerTime of the other upstreams in the pool
	// firstAnswerRatio is the mean ratio of the time until the answer to a prompt began to the
	// estimate of that time. The ratio is zero before the first answer.
	firstAnswerRatio float64
}

// Parameters of health.
const (
	// failureWeight is the weight of the newest result in the failure rate.
	// Three failures in a row, or two failures soon after an earlier failure,
	// raise the failure rate to suspectThreshold. If one in seven answers of a service fails
	// whichever upstream answers, an upstream reaches suspectThreshold about once in 400
	// requests.
	failureWeight    = 0.2
	suspectThreshold = 0.45
	// An upstream that is suspected of failing gets one probe request after each back-off
	// (pause) of probeBackoffBase to probeBackoffMax.
	probeBackoffBase = 300 * time.Millisecond
	probeBackoffMax  = 2 * time.Second
	// fullSkip is how long a full upstream is skipped: about the time until one of its slots
	// becomes free.
	fullSkip = 60 * time.Millisecond
	// maxRejectedSkip limits how long an upstream that rejects consecutive requests is skipped.
	// The time doubles with each rejected request. Compared with a constant fullSkip,
	// the value of the answers was 0.011 higher (mean of 12 pairs of simulated days) when half
	// of the upstreams rejected a fraction of 0.4 of their requests, and a third of the
	// upstreams rejected 0.9 of their requests in a burst.
	maxRejectedSkip = 960 * time.Millisecond
	// firstAnswerWeight is the weight of the newest sample of the time until an answer begins.
	firstAnswerWeight = 0.1
	// An upstream counts as slow if its answers take slowThreshold times as long to begin as
	// the mean of the other upstreams, or as the estimate.
	// maxFirstAnswerRatio limits the effect of a single answer.
	slowThreshold       = 2.5
	maxFirstAnswerRatio = 10
)

// available reports whether the upstream may get new work as far as its health is concerned.
func (h *health) available(now time.Time) bool { return !now.Before(h.skipUntil) }

// recordPick records that a request goes to the upstream.
// An upstream that is suspected of failing gets one request per back-off (pause).
func (h *health) recordPick(now time.Time) {
	if h.failureRate >= suspectThreshold {
		h.startBackoff(now)
	}
}

// startBackoff starts a back-off, in which the upstream is skipped.
// The back-off lasts twice as long as the previous back-off, from probeBackoffBase to
// probeBackoffMax.
func (h *health) startBackoff(now time.Time) {
	h.backoff = min(max(2*h.backoff, probeBackoffBase), probeBackoffMax)
	h.skipUntil = now.Add(h.backoff)
}

// skipFor skips the upstream for the duration d. It does not shorten a skip in progress.
func (h *health) skipFor(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(h.skipUntil) {
		h.skipUntil = until
	}
}

// recordResult applies the outcome of a request to a listed upstream.
// took is the time until the answer began.
func (s *state) recordResult(r Result, took time.Duration, now time.Time) {
	h := &s.health
	h.connectFailed = r == Unreachable || r == ConnectionRefused || h.connectFailed && r == Abandoned
	switch r {
	case Succeeded:
		h.failureRate -= failureWeight * h.failureRate
		if h.failureRate >= suspectThreshold {
			h.failureRate = suspectThreshold / 2 // a probe succeeded
		}
		h.backoff = 0
		h.skipUntil = time.Time{}
		if h.firstAnswerTime == 0 {
			h.firstAnswerTime = took
		}
		h.firstAnswerTime += time.Duration(firstAnswerWeight * float64(took-h.firstAnswerTime))
	case Failed, Broken:
		h.failureRate += failureWeight * (1 - h.failureRate)
		if h.failureRate >= suspectThreshold {
			h.startBackoff(now)
		}
	case Unreachable, ConnectionRefused:
		h.failureRate = max(h.failureRate, suspectThreshold)
		h.startBackoff(now)
	case NoConnection:
		h.skipFor(fullSkip, now)
	case Rejected:
		h.rejectedSkip = min(max(2*h.rejectedSkip, fullSkip), maxRejectedSkip)
		h.skipFor(h.rejectedSkip, now)
	case Abandoned:
	}
}

// CompareUpstreams compares the upstreams of each pool with each other,
// so that slow upstreams are detected. The caller invokes CompareUpstreams periodically.
func (t *Table) CompareUpstreams(dc contract.DataCentreID, now time.Time) {
	t.countActiveEngines(now)
	t.updateMeanWait(dc, now)
	t.updateMeanPaces()
	t.dropStaleNotices(now)
	t.expireBrittleServices(now)
	for _, states := range t.pools {
		total, n := time.Duration(0), 0
		for _, s := range states {
			if s.health.firstAnswerTime > 0 {
				total += s.health.firstAnswerTime
				n++
			}
		}
		for _, s := range states {
			s.health.othersFirstAnswerTime = 0
			if n > 1 && s.health.firstAnswerTime > 0 {
				s.health.othersFirstAnswerTime = (total - s.health.firstAnswerTime) / time.Duration(n-1)
			}
		}
	}
}

// slownessVsPool returns how many times slower an upstream is than the other upstreams of its pool,
// or 1 if that factor is below slowThreshold.
func (h *health) slownessVsPool() float64 {
	if h.othersFirstAnswerTime == 0 || float64(h.firstAnswerTime) < slowThreshold*float64(h.othersFirstAnswerTime) {
		return 1
	}
	return float64(h.firstAnswerTime) / float64(h.othersFirstAnswerTime)
}

// SetModelPrices sets the prices of the models, from which prefill times are estimated as long as
// there are no measurements.
func (t *Table) SetModelPrices(costs map[contract.ModelID]float64) { t.prefillRates.SetCosts(costs) }

// RecordDecodeTime records how long an upstream worked on a prompt after its answer began.
func (t *Table) RecordDecodeTime(d time.Duration) {
	if t.meanDecodeTime == 0 {
		t.meanDecodeTime = d
	}
	t.meanDecodeTime += time.Duration(decodeTimeWeight * float64(d-t.meanDecodeTime))
}

// decodeTimeWeight is the weight of the newest sample in Table.meanDecodeTime.
const decodeTimeWeight = 0.05

// recordFirstAnswer updates firstAnswerRatio with the time until the answer to a prompt began,
// and with the estimate of that time.
func (h *health) recordFirstAnswer(took, expected time.Duration) {
	ratio := min(float64(took)/float64(expected), maxFirstAnswerRatio)
	if h.firstAnswerRatio == 0 {
		h.firstAnswerRatio = 1
	}
	h.firstAnswerRatio += firstAnswerWeight * (ratio - h.firstAnswerRatio)
}

// slownessVsEstimate returns how many times slower a model engine is than estimated from its queue
// and its prompts, or 1 if that factor is below slowThreshold.
func (h *health) slownessVsEstimate() float64 {
	if h.firstAnswerRatio < slowThreshold {
		return 1
	}
	return h.firstAnswerRatio
}

// InFlight returns the number of this VM's requests in flight for each upstream that has any.
func (t *Table) InFlight() map[contract.UpstreamID]int {
	running := make(map[contract.UpstreamID]int)
	for id, s := range t.states {
		if s.inFlight > 0 {
			running[id] = s.inFlight
		}
	}
	return running
}
