package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/quarantine"
)

// printed has the content of a request hashed where any content is suspected: before mu
// is taken, since a body may be long.
func (r *Relay) printed(j *job) {
	suspecting := false
	r.locked(func() { suspecting = !r.cases.Empty() })
	if suspecting {
		j.print()
	}
}

// barred returns the refusal of a request whose content is held. It is asked before each
// attempt, whatever that is for: a first one, a retry, a larger model's, the rest of a
// stream. The caller holds mu.
func (r *Relay) barred(j *job, now time.Time) *contract.Refusal {
	if r.cases.Empty() || !r.cases.Bars(j.print(), now) {
		return nil
	}
	return held(j, r.cases.Case(j.print()))
}

// endsLast tells whether a request could end the last upstream of its service that takes
// requests: its content has ended those before. One upstream fewer serves the others
// worse, none serves nobody. The caller holds mu.
func (r *Relay) endsLast(j *job, id contract.UpstreamID, c candidates, now time.Time) bool {
	if r.cases.Empty() || r.cases.Ended(j.print()) < quarantine.Limit-1 {
		return false
	}
	but := []contract.UpstreamID{id}
	for _, e := range r.cases.Case(j.print()).Ends {
		if r.lives(e.Upstream, e.Born) { // listed still, and not there
			but = append(but, e.Upstream)
		}
	}
	return !r.table.Another(r.among(c, but), true, now)
}

// suspect takes in that an upstream ended under a request, and has other VMs told. The
// caller holds mu.
func (r *Relay) suspect(l contract.Life, s quarantine.Suspect, now time.Time) {
	about := quarantine.About{Service: s.Service, Workspace: s.Workspace, Route: s.Route, By: r.opts.Self.VM}
	if !r.cases.End(s.Print, about, quarantine.End{Life: l, Sent: s.Sent, Broke: s.Broke}, now) {
		return
	}
	c := r.cases.Case(s.Print)
	r.logCase(c, "own")
	if c.Urgent() {
		r.tellSuspected()
	}
}

// answeredWhole takes in that an upstream has run a request to a good end: its content
// ends nothing.
func (r *Relay) answeredWhole(j *job) {
	r.printed(j)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cases.Empty() {
		return
	}
	c := r.cases.Case(j.print())
	urgent := c != nil && c.Urgent()
	if !r.cases.Answered(j.print(), r.opts.Now()) {
		return
	}
	r.log.Info("suspect-cleared", zap.String("request", string(j.ID)), zap.Stringer("print", j.print()), zap.String("upstream", string(j.last.ID)))
	if urgent {
		r.tellSuspected()
	}
}

// tellSuspected has other VMs told at once. The caller holds mu.
func (r *Relay) tellSuspected() {
	if r.opts.Suspected != nil {
		r.opts.Suspected()
	}
}

// logCase says what has become of a content. The caller holds mu.
func (r *Relay) logCase(c *quarantine.Case, by string) {
	event := "suspect"
	if c.Held {
		event = "request-held"
	}
	var ended []contract.UpstreamID
	for _, e := range c.Ends {
		ended = append(ended, e.Upstream)
	}
	r.log.Warn(event, zap.Stringer("print", c.Print), zap.String("route", c.Route), zap.String("workspace", string(c.Workspace)),
		zap.String("service", string(c.Service)), zap.String("by", by), zap.String("first_seen_by", string(c.By)),
		zap.Strings("ended", idsOf(ended)), zap.Uint32("epoch", c.Epoch))
}

// Suspects returns what this VM tells others of contents that end upstreams.
func (r *Relay) Suspects() []quarantine.Told {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cases.Told(r.opts.Now())
}

// HearSuspects takes in what a VM tells of contents that end upstreams, and tells whether
// any of it is to be passed on at once.
func (r *Relay) HearSuspects(told []quarantine.Told, from contract.VMID) (urgent bool) {
	if len(told) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cases.Hear(told, r.opts.Now()) {
		r.logCase(c, string(from))
		urgent = urgent || c.Urgent()
	}
	return urgent
}

// SetHeld takes in contents that the store holds as held, and Released those that it does
// not hold any more as of a revision.
func (r *Relay) SetHeld(h quarantine.Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cases.Listed(h, r.opts.Now())
}

// Released takes in that the store does not hold a content any more as of a revision.
func (r *Relay) Released(p quarantine.Print, at contract.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cases.Unlisted(p, at, r.opts.Now()) {
		r.log.Info("request-released", zap.Stringer("print", p), zap.Int64("revision", int64(at)))
	}
}

// HeldButFor returns the contents that the store was known to hold and that are not among
// some.
func (r *Relay) HeldButFor(in map[quarantine.Print]bool) []quarantine.Print {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cases.ListedButFor(in)
}

// HeldNotes are what is to be written into the store of held contents.
type HeldNotes struct{ Store, Erase, Try []quarantine.Held }

// HeldNotes returns what is to be written now, by what this VM knows.
func (r *Relay) HeldNotes() HeldNotes {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cases.Empty() {
		return HeldNotes{}
	}
	return HeldNotes{r.cases.ToStore(), r.cases.ToErase(), r.cases.TrialsWanted()}
}

// Granted takes in whether the store has granted this VM a trial of a held content.
func (r *Relay) Granted(p quarantine.Print, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cases.Granted(p, ok, r.opts.Now())
	r.log.Info("held-trial", zap.Stringer("print", p), zap.Bool("granted", ok))
}

// Held returns how many contents are held.
func (r *Relay) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cases.Held()
}
