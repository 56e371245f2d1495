package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/quarantine"
)

// prepareFingerprint computes the fingerprint of the request's content
// if any content is suspected of crashing upstreams.
// prepareFingerprint runs before mu is acquired, because the body may be long.
func (r *Relay) prepareFingerprint(j *job) {
	if r.suspectsAny() {
		j.fingerprints()
	}
}

// suspectsAny reports whether any content or part is suspected of crashing upstreams.
func (r *Relay) suspectsAny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.quarantineCases.Empty()
}

// checkQuarantine returns a refusal if the request's content or a part of its prompt is quarantined.
// The check runs before each attempt: a first attempt,
// a retry, an escalation, or the resumption of a stream.
// The caller holds mu.
func (r *Relay) checkQuarantine(j *job, now time.Time) *contract.Refusal {
	if r.quarantineCases.Empty() {
		return nil
	}
	r.settleSuspects(now)
	c := r.quarantineCases.BlockedBy(j.fingerprints(), now)
	if c == nil {
		return nil
	}
	j.heldBy = c.Fingerprint
	return refuseQuarantined(j, c)
}

// settleSuspects quarantines the parts whose time for an answer has passed. The caller holds mu.
func (r *Relay) settleSuspects(now time.Time) {
	for _, c := range r.quarantineCases.Settle(now) {
		r.recordCase(c, "own")
	}
	r.logExcused()
}

// recordCase logs a record that has changed, and reports it to the other VMs and to the site as far
// as its state requires. The caller holds mu.
func (r *Relay) recordCase(c *quarantine.Record, reporter string) {
	r.logCase(c, reporter)
	if c.Urgent() {
		r.notifySuspected()
	}
	r.notifyIfQuarantined(c)
}

// logExcused logs what is no longer quarantined because a part explains its crashes.
// The caller holds mu.
func (r *Relay) logExcused() {
	for _, c := range r.quarantineCases.TakeExcused() {
		r.log.Info("suspect-excused", zap.Stringer("print", c.Fingerprint), zap.String("part", c.Part), zap.String("route", c.Route), zap.Uint32("epoch", c.Epoch))
		r.notifySuspected()
	}
}

// risksLastUpstream reports whether a request could crash the last available upstream
// of its service, because the content of the request has crashed other upstreams before.
// A service with one upstream fewer serves other requests less well;
// a service without any upstream serves none.
// The caller holds mu.
func (r *Relay) risksLastUpstream(j *job, id contract.UpstreamID, c candidatePools, now time.Time) bool {
	if r.quarantineCases.Empty() || r.quarantineCases.CrashCount(j.contentFingerprint()) < quarantine.CrashLimit-1 {
		return false
	}
	excluded := []contract.UpstreamID{id}
	for _, e := range r.quarantineCases.Record(j.contentFingerprint()).Crashes {
		if r.isCurrent(e.Upstream, e.Incarnation) { // still in the upstream list although it has crashed
			excluded = append(excluded, e.Upstream)
		}
	}
	return !r.table.HasAlternative(r.poolQuery(c, excluded), true, now)
}

// recordSuspect records that an upstream crashed while it executed a request,
// and notifies the other VMs at once if the report is urgent.
// The caller holds mu.
func (r *Relay) recordSuspect(instance contract.UpstreamInstance, suspect quarantine.SuspectRequest, now time.Time) {
	source := quarantine.Source{Service: suspect.Service, Workspace: suspect.Workspace, Route: suspect.Route, ObservedBy: r.opts.Self.VM}
	if !r.quarantineCases.RecordCrash(suspect.Fingerprint, source, quarantine.Crash{UpstreamInstance: instance, SentAt: suspect.SentAt, BrokenAt: suspect.BrokenAt}, now) {
		return
	}
	r.recordCase(r.quarantineCases.Record(suspect.Fingerprint), "own")
}

// recordSuspectParts records that an upstream crashed while it executed a request, against the parts
// of the request's prompt. An upstream that had been answering for long has survived the parts.
// The caller holds mu.
func (r *Relay) recordSuspectParts(instance contract.UpstreamInstance, suspect quarantine.SuspectRequest, now time.Time) {
	if suspect.AnsweredFor >= quarantine.PartCrashWindow {
		return
	}
	crash := quarantine.Crash{UpstreamInstance: instance, SentAt: suspect.SentAt, BrokenAt: suspect.BrokenAt, Content: suspect.Fingerprint.Prefix()}
	for _, p := range suspect.Parts {
		source := quarantine.Source{Service: suspect.Service, Workspace: suspect.Workspace, Route: suspect.Route, ObservedBy: r.opts.Self.VM, Part: p.Name}
		if r.quarantineCases.RecordCrash(p.Fingerprint, source, crash, now) {
			r.recordCase(r.quarantineCases.Record(p.Fingerprint), "own")
		}
		r.logUncounted(p, crash, suspect)
	}
}

// logUncounted logs why a crash does not count against a part. The caller holds mu.
func (r *Relay) logUncounted(p quarantine.Part, crash quarantine.Crash, suspect quarantine.SuspectRequest) {
	c := r.quarantineCases.Record(p.Fingerprint)
	if c == nil {
		return
	}
	for _, e := range r.quarantineCases.Weigh(c) {
		if e.UpstreamInstance == crash.UpstreamInstance && !e.Weight.Counts() {
			r.log.Info("crash-not-counted", zap.String("upstream", string(crash.Upstream)), zap.Int64("born", crash.Incarnation), zap.String("why", string(e.Weight)),
				zap.Stringer("print", p.Fingerprint), zap.String("part", p.Name), zap.String("request", string(suspect.Request)))
		}
	}
}

// logSuspectSend logs that a request is sent although one more crash may quarantine what it has: the
// only trace of who sent it while the verdict was open. The caller holds mu.
func (r *Relay) logSuspectSend(j *job) {
	if r.quarantineCases.Empty() {
		return
	}
	for _, p := range j.fingerprints() {
		c := r.quarantineCases.Record(p)
		if c == nil || !c.Quarantined && len(c.Crashes) < c.Limit()-1 {
			continue
		}
		r.log.Info("suspect-sent", zap.String("request", string(j.ID)), zap.Stringer("print", p), zap.String("part", c.Part), zap.String("upstream", string(j.lastUpstream.ID)),
			zap.Int("counted", r.quarantineCases.CrashCount(p)), zap.Int("known", len(c.Crashes)), zap.String("state", string(r.quarantineCases.StateOf(c))))
	}
}

// notifyIfQuarantined reports newly quarantined content to the site. The caller holds mu.
func (r *Relay) notifyIfQuarantined(c *quarantine.Record) {
	if c.Quarantined && r.opts.OnQuarantined != nil {
		r.opts.OnQuarantined()
	}
}

// notifySuspected requests that the other VMs be notified at once of suspected content.
// The caller holds mu.
func (r *Relay) notifySuspected() {
	if r.opts.OnSuspect != nil {
		r.opts.OnSuspect()
	}
}

// logCase logs the state of a content or part that is suspected of crashing upstreams. The many that
// merely ran on one upstream that crashed are left out. The caller holds mu.
func (r *Relay) logCase(c *quarantine.Record, reporter string) {
	if !c.Urgent() {
		return
	}
	event := "suspect"
	if c.Quarantined {
		event = "request-held"
	}
	var crashed []contract.UpstreamID
	var weights []string
	for _, e := range r.quarantineCases.Weigh(c) {
		crashed, weights = append(crashed, e.Upstream), append(weights, string(e.Weight))
	}
	r.log.Warn(event, zap.Stringer("print", c.Fingerprint), zap.String("part", c.Part), zap.String("route", c.Route), zap.String("workspace", string(c.Workspace)),
		zap.String("service", string(c.Service)), zap.String("by", reporter), zap.String("first_seen_by", string(c.ObservedBy)),
		zap.Strings("ended", idStrings(crashed)), zap.Strings("counted_as", weights), zap.String("state", string(r.quarantineCases.StateOf(c))), zap.Uint32("epoch", c.Epoch))
}

// Suspects returns what this VM reports to others about content that crashes upstreams.
func (r *Relay) Suspects() []quarantine.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settleSuspects(r.opts.Now())
	return r.quarantineCases.Updates(r.opts.Now())
}

// MergeSuspects merges another VM's reports about content that crashes upstreams, and reports
// whether any of these reports must be forwarded at once.
func (r *Relay) MergeSuspects(updates []quarantine.Update, from contract.VMID) (urgent bool) {
	if len(updates) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.quarantineCases.Merge(updates, r.opts.Now()) {
		if c.Quarantined {
			r.logCase(c, string(from))
		}
		r.notifyIfQuarantined(c)
		urgent = urgent || c.Urgent()
	}
	r.logExcused()
	return urgent
}

// SetQuarantined records that content is marked as quarantined in the platform's object store.
func (r *Relay) SetQuarantined(h quarantine.QuarantinedContent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantineCases.SetStored(h, r.opts.Now())
	r.logExcused()
}

// ReplaceQuarantined records which content is marked as quarantined in the platform's
// object store after the store has returned from an older copy.
func (r *Relay) ReplaceQuarantined(stored []quarantine.QuarantinedContent, at contract.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantineCases.ReplaceStored(stored, at, r.opts.Now())
}

// RemoveQuarantined records that content is no longer marked as quarantined
// in the platform's object store, as of a revision of the store.
func (r *Relay) RemoveQuarantined(p quarantine.Fingerprint, at contract.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quarantineCases.RemovedFromStore(p, at, r.opts.Now()) {
		r.log.Info("request-released", zap.Stringer("print", p), zap.Stringer("revision", at))
	}
}

// QuarantinedExcept returns the quarantined content that this VM knew
// to be in the platform's object store but that is not in the given set.
func (r *Relay) QuarantinedExcept(stored map[quarantine.Fingerprint]bool) []quarantine.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantineCases.StoredExcept(stored)
}

// QuarantineUpdates are the changes to be written to the records
// of quarantined content in the platform's object store.
// Add holds the content to quarantine, Suspects the content of which one more crash may be enough, Confirm
// the suspected content that is quarantined now, and Remove the content to release.
// Trials holds the content for which to request a trial, that is, one attempt to execute it.
type QuarantineUpdates struct {
	Add, Suspects, Confirm, Remove, Trials []quarantine.QuarantinedContent
}

// QuarantineUpdates returns the changes that this VM must now write
// to the records of quarantined content in the platform's object store.
func (r *Relay) QuarantineUpdates() QuarantineUpdates {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quarantineCases.Empty() {
		return QuarantineUpdates{}
	}
	t := r.quarantineCases
	return QuarantineUpdates{
		Add: t.ToStore(), Suspects: t.SuspectsToStore(r.opts.Now()), Confirm: t.ToConfirm(), Remove: t.ToDelete(), Trials: t.TrialRequests(),
	}
}

// SetTrialGranted records whether the platform's object store has granted this VM a trial
// of quarantined content, that is, one attempt to execute it.
func (r *Relay) SetTrialGranted(p quarantine.Fingerprint, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantineCases.TrialDecided(p, ok, r.opts.Now())
	r.log.Info("held-trial", zap.Stringer("print", p), zap.Bool("granted", ok))
}

// CountQuarantinedParts returns how many parts of prompts are quarantined.
func (r *Relay) CountQuarantinedParts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantineCases.CountQuarantinedParts()
}

// CountQuarantined returns how many request contents and parts of prompts are quarantined.
func (r *Relay) CountQuarantined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantineCases.CountQuarantined()
}
