package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/quarantine"
	"woaddoor/upstream"
)

// probeTimeout limits the connection attempt that determines whether an upstream has crashed.
// A running machine responds within the network delay,
// or after one second if its first packet was lost.
// An upstream that has crashed is back after a few seconds.
const probeTimeout = 1500 * time.Millisecond

// staleConnectionWindow is the time after a send within which a broken connection does not prove
// that the upstream was running at the time of the send.
// If the connection no longer exists on the machine,
// the reset of the connection arrives within the network delay, a few milliseconds.
// When all connections to a data centre were refused, requests were tried on the idle connections
// of one upstream after another, and each attempt broke off within 2 ms.
const staleConnectionWindow = 25 * time.Millisecond

// recordBrokenConnection records that the connection to an upstream broke off
// while a request used the connection.
// One connection attempt to the address
// of the upstream determines whether the upstream has crashed.
// The caller holds mu.
func (r *Relay) recordBrokenConnection(j *job, e upstream.Entry) {
	now := r.opts.Now()
	if !j.upstreamSeen && now.Sub(j.sentAt) < staleConnectionWindow || !r.endIsUnplanned(e) {
		return
	}
	r.recordPossibleCrash(e, j.suspectRequest(now))
}

// suspectRequest describes the current attempt of a job, whose connection broke off at a time.
func (j *job) suspectRequest(brokenAt time.Time) quarantine.SuspectRequest {
	return quarantine.SuspectRequest{
		Fingerprint: j.contentFingerprint(), Request: j.ID, Service: j.service, Workspace: j.Workspace, Route: j.Route.Name,
		Parts: j.sharedParts(), SentAt: j.sentAt, BrokenAt: brokenAt, AnsweredFor: j.answeredFor(),
	}
}

// recordPossibleCrash records that the connection of a request to an upstream broke off, and probes
// the upstream unless a probe is in progress. The caller holds mu.
func (r *Relay) recordPossibleCrash(e upstream.Entry, s quarantine.SuspectRequest) {
	instance := e.Instance()
	probe, crashed := r.possibleCrashes.ConnectionBroke(instance, e.Address, s)
	if probe {
		done := make(chan struct{})
		r.probesRunning[instance] = done
		go r.probeUpstream(instance, e.Address, done)
	}
	if crashed {
		r.recordCrash(instance, "known", []quarantine.SuspectRequest{s})
	}
}

// endIsUnplanned reports whether the end of an upstream would be a crash.
// Upstreams that are leaving, and upstreams of a release
// that another release has replaced, end as planned.
// The caller holds mu.
func (r *Relay) endIsUnplanned(e upstream.Entry) bool {
	listed, ok := r.entries[e.ID]
	if !ok || listed.Incarnation != e.Incarnation || r.table.IsLeaving(e.ID) || r.rolledBack[e.Service][e.Release] {
		return false
	}
	completed := r.completedReleases[e.Service]
	return completed == "" || completed == e.Release
}

// Limits of the probes of an upstream that refuses connections while no other upstream can be reached.
const (
	undecidedInterval = 500 * time.Millisecond
	// undecidedProbes bounds the probes. Together they take less time than a possible crash is remembered.
	undecidedProbes = 8
)

// probeUpstream connects to the address of an upstream
// whose connections broke off, to determine whether it has crashed. It closes done after the first probe.
func (r *Relay) probeUpstream(instance contract.UpstreamInstance, address string, done chan struct{}) {
	defer func() { r.withLock(func() { r.possibleCrashes.ProbeEnded(instance) }) }()
	for n := range undecidedProbes {
		decided := r.probeOnce(instance, address)
		if n == 0 {
			r.withLock(func() { delete(r.probesRunning, instance) })
			close(done)
		}
		if decided {
			return
		}
		time.Sleep(undecidedInterval)
	}
	r.log.Info("crash-undecided", zap.String("upstream", string(instance.Upstream)), zap.String("why", "no connection to any other upstream can be established either"))
}

// probeOnce connects to the address of an upstream and reports whether that shows if it has crashed.
func (r *Relay) probeOnce(instance contract.UpstreamInstance, address string) (decided bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := exchange.Probe(ctx, r.opts.Dial, address)
	if !exchange.IsConnectionRefused(err) {
		r.log.Debug("upstream-reached", zap.String("upstream", string(instance.Upstream)), zap.Error(err))
		return true
	}
	if !r.refusalIsUpstreams(ctx, instance) {
		return false
	}
	r.withLock(func() { r.recordCrash(instance, "nothing listens", r.possibleCrashes.Confirm(instance)) })
	return true
}

// comparedUpstreams is the number of other upstreams that are probed before a refused connection
// counts as the crash of an upstream.
const comparedUpstreams = 3

// refusalIsUpstreams reports whether a refused connection shows that an upstream has crashed.
// If no other upstream can be reached either, this VM may have lost its path to all of them.
// Without another upstream there is nothing to compare with.
func (r *Relay) refusalIsUpstreams(ctx context.Context, instance contract.UpstreamInstance) bool {
	var others []upstream.Entry
	r.withLock(func() {
		for s := range r.poolsByRelease {
			others = append(others, r.randomUpstreams(s, comparedUpstreams, instance.Upstream, r.opts.Now())...)
		}
	})
	reached := make(chan bool, len(others))
	for _, e := range others {
		go func() { reached <- r.probePath(ctx, e) }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return len(others) == 0
}

// detectReplaced detects crashes from the upstream list:
// a new instance at the address of an upstream shows that the earlier instance has ended.
// The caller holds mu.
func (r *Relay) detectReplaced() {
	if !r.possibleCrashes.Any() {
		return
	}
	incarnations := make(map[string]contract.UpstreamInstance, len(r.entries))
	for _, e := range r.entries {
		incarnations[e.Address] = e.Instance()
	}
	incarnationAt := func(address string) (contract.UpstreamInstance, bool) {
		instance, ok := incarnations[address]
		return instance, ok
	}
	for _, instance := range r.possibleCrashes.ReplacedInstances(incarnationAt) {
		r.recordCrash(instance, "another incarnation is listed", r.possibleCrashes.Confirm(instance))
	}
}

// recordCrash records that an upstream crashed while it executed requests. The caller holds mu.
func (r *Relay) recordCrash(instance contract.UpstreamInstance, evidence string, suspects []quarantine.SuspectRequest) {
	for _, s := range suspects {
		r.recordSuspectParts(instance, s, s.BrokenAt)
	}
	for _, s := range suspects {
		r.recordSuspect(instance, s, s.BrokenAt)
		r.log.Warn("upstream-ended", zap.String("upstream", string(instance.Upstream)), zap.Int64("born", instance.Incarnation), zap.String("by", evidence),
			zap.String("request", string(s.Request)), zap.Stringer("print", s.Fingerprint), zap.String("route", s.Route),
			zap.String("workspace", string(s.Workspace)), zap.Int64("ran_ms", s.BrokenAt.Sub(s.SentAt).Milliseconds()),
			zap.Int("beside", len(suspects)-1), zap.Strings("parts", partTexts(s.Parts)), zap.Int64("answered_ms", s.AnsweredFor.Milliseconds()))
	}
	if len(suspects) > 0 {
		r.Metrics.upstreamsCrashed.Inc(1)
	}
}

// partTexts returns the fingerprints of parts as text.
func partTexts(parts []quarantine.Part) []string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = p.Fingerprint.String()
	}
	return texts
}

// answeredFor returns for how long the upstream has been answering the current attempt, up to its
// last data. It is negative if the answer has not begun.
func (j *job) answeredFor() time.Duration {
	if j.answerBeganAt.IsZero() {
		return -time.Millisecond
	}
	return j.answerDataAt.Sub(j.answerBeganAt)
}
