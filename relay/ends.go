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

// tryWithin bounds the try that tells whether an upstream has ended: a machine that is
// there answers within a link's delay, or after a second where its first packet was lost;
// an upstream that ended is back after some seconds.
const tryWithin = 1500 * time.Millisecond

// print returns the content of a request by its hash.
func (j *job) print() quarantine.Print {
	if j.printed == nil {
		p := quarantine.PrintOf(j.Workspace, j.Host, j.URI, j.Body)
		j.printed = &p
	}
	return *j.printed
}

// thereAfter is how long after a send over a kept connection its end shows that the
// upstream was there when the request came: the answer of a machine on which nothing has
// the connection any more takes a link's delay, some milliseconds. Where a data centre
// was cut off by refusals, requests were tried over the kept connections of one upstream
// after the other, and each broke off within 2 ms.
const thereAfter = 25 * time.Millisecond

// broke takes in that the connection of a request to an upstream broke off. Whether the
// upstream ended with it is found by one try of its address. The caller holds mu.
func (r *Relay) broke(j *job, e upstream.Entry) {
	now := r.opts.Now()
	if !j.there && now.Sub(j.sentAt) < thereAfter || !r.mayCrash(e) {
		return
	}
	life := e.Life()
	s := quarantine.Suspect{
		Print: j.print(), Request: j.ID, Service: j.service, Workspace: j.Workspace, Route: j.Route.Name, Sent: j.sentAt, Broke: now,
	}
	try, ended := r.doubts.Broke(life, e.Address, s)
	if try {
		go r.tryLife(life, e.Address)
	}
	if ended {
		r.noteEnds(life, "known", []quarantine.Suspect{s})
	}
}

// mayCrash tells whether the end of an upstream would be a crash: those that leave, and
// those of a release that another has taken the place of, end as planned. The caller
// holds mu.
func (r *Relay) mayCrash(e upstream.Entry) bool {
	listed, ok := r.entries[e.ID]
	if !ok || listed.Born != e.Born || r.table.Leaves(e.ID) || r.undone[e.Service][e.Release] {
		return false
	}
	settled := r.settled[e.Service]
	return settled == "" || settled == e.Release
}

// tryLife tries the address of an upstream whose connections broke off.
func (r *Relay) tryLife(l contract.Life, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), tryWithin)
	defer cancel()
	err := exchange.Reach(ctx, address)
	if !exchange.NothingListens(err) {
		r.log.Debug("upstream-reached", zap.String("upstream", string(l.Upstream)), zap.Error(err))
		return
	}
	r.locked(func() { r.noteEnds(l, "nothing listens", r.doubts.Ended(l)) })
}

// noteReplaced looks which doubted upstreams have ended by the list. The caller holds
// mu.
func (r *Relay) noteReplaced() {
	if !r.doubts.Any() {
		return
	}
	lives := make(map[string]contract.Life, len(r.entries))
	for _, e := range r.entries {
		lives[e.Address] = e.Life()
	}
	at := func(address string) (contract.Life, bool) {
		l, ok := lives[address]
		return l, ok
	}
	for _, l := range r.doubts.Replaced(at) {
		r.noteEnds(l, "another life is listed", r.doubts.Ended(l))
	}
}

// noteEnds takes in that an upstream has ended under requests. The caller holds mu.
func (r *Relay) noteEnds(l contract.Life, by string, suspects []quarantine.Suspect) {
	for _, s := range suspects {
		r.suspect(l, s, s.Broke)
		r.log.Warn("upstream-ended", zap.String("upstream", string(l.Upstream)), zap.Int64("born", l.Born), zap.String("by", by),
			zap.String("request", string(s.Request)), zap.Stringer("print", s.Print), zap.String("route", s.Route),
			zap.String("workspace", string(s.Workspace)), zap.Int64("ran_ms", s.Broke.Sub(s.Sent).Milliseconds()),
			zap.Int("beside", len(suspects)-1))
	}
	if len(suspects) > 0 {
		r.Metrics.upstreamsEnded.Inc(1)
	}
}
