package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/reading"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

func isStream(r *Request) bool { return r.Route.Kind == route.Stream }

// pick chooses the upstream of the next attempt and counts the request there.
func (r *Relay) pick(j *job) (upstream.Entry, *contract.Refusal) {
	r.printed(j)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if refused := r.barred(j, now); refused != nil {
		return upstream.Entry{}, refused
	}
	if j.failures > 0 && r.cutOff(j.service, now) {
		return upstream.Entry{}, r.noUpstream(j, now) // the others would be tried in vain
	}
	for _, pools := range r.eligible(j, now) {
		id, err := r.table.Pick(r.query(j, pools, now), now, r.random)
		if err != nil {
			continue
		}
		if r.endsLast(j, id, pools, now) {
			return upstream.Entry{}, lastOne(j)
		}
		r.noteSend(id, now)
		r.noteClaim(j, r.entries[id].Life())
		r.table.Sent(id)
		r.expect(j, id, now)
		j.release = pools.release
		if j.release == "" {
			j.release = r.entries[id].Release
		}
		j.last, j.sentAt, j.there = r.entries[id], now, false
		return j.last, nil
	}
	return upstream.Entry{}, r.noUpstream(j, now)
}

// any tells whether any upstream would be chosen for the next attempt. The caller holds
// mu.
func (r *Relay) any(j *job, now time.Time) bool {
	return slices.ContainsFunc(r.eligible(j, now), func(c candidates) bool {
		return r.table.Any(r.among(c, j.exclude), now)
	})
}

// outlook returns what the upstreams that a request may go to say of their next time. The
// caller holds mu.
func (r *Relay) outlook(j *job, now time.Time) upstream.Outlook {
	var ids []contract.PoolID
	for _, c := range r.eligible(j, now) {
		ids = append(ids, c.ids...)
	}
	if len(ids) == 0 {
		return upstream.Outlook{} // no pools would mean all
	}
	return r.table.Outlook(upstream.Query{Kind: config.EnginePool, Pools: ids}, now)
}

// another tells whether an upstream other than those that were tried could take
// the request, one that is suspected only if that will do.
func (r *Relay) another(j *job, suspected bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	exclude := append(slices.Clone(j.exclude), j.last.ID)
	return slices.ContainsFunc(r.eligible(j, now), func(c candidates) bool {
		return r.table.Another(r.among(c, exclude), suspected, now)
	})
}

// candidates are pools to choose from; release is empty when they are of any.
type candidates struct {
	release string
	ids     []contract.PoolID
}

// eligible returns the pools that the request may go to, in the order in which
// they are tried. The caller holds mu.
func (r *Relay) eligible(j *job, now time.Time) []candidates {
	byRelease := r.releases[j.service]
	canary := r.canaries[j.service]
	if canary == nil {
		return r.spared(j, []candidates{{ids: all(byRelease, nil)}}, now)
	}
	target := canary.Order().Release
	onTrial := candidates{release: target, ids: byRelease[target]}
	out := maps.Clone(r.undone[j.service])
	out[target] = true
	var others []candidates
	if settled := r.settled[j.service]; settled != "" && !out[settled] {
		others = append(others, candidates{ids: byRelease[settled]})
	}
	others = append(others, candidates{ids: all(byRelease, out)})
	order := others
	switch {
	case !j.began && j.failures > 0 && j.release == target && canary.Suspected():
		order = append(others, onTrial)
	case j.began && j.release == target: // a stream stays on its release
		order = append([]candidates{onTrial}, others...)
	case !j.began && canary.Choose(j.Session, now):
		order = append([]candidates{onTrial}, others...)
	case canary.Moving(now):
		order = append(others, onTrial)
	}
	return r.spared(j, order, now)
}

// all returns the pools of every release but some.
func all(byRelease map[string][]contract.PoolID, but map[string]bool) []contract.PoolID {
	var ids []contract.PoolID
	for release, pools := range byRelease {
		if !but[release] {
			ids = append(ids, pools...)
		}
	}
	return ids
}

// ended notes how an attempt ended; first is the time to its first answer.
func (r *Relay) ended(j *job, e upstream.Entry, result upstream.Result, first time.Duration) {
	r.locked(func() {
		r.dropped(j)
		if r.lives(e.ID, e.Born) {
			r.table.Done(e.ID, result, first, r.opts.Now())
			r.logCold()
		}
		if result == upstream.Broken {
			r.broke(j, e)
		}
	})
}

// query returns what the job needs of an upstream among candidates. The caller
// holds mu.
func (r *Relay) query(j *job, c candidates, now time.Time) upstream.Query {
	q := r.among(c, j.exclude)
	q.Prefix, q.Work = j.Subject, r.work(j, now)
	return q
}

// among returns the query for any upstream among candidates but some.
func (r *Relay) among(c candidates, exclude []contract.UpstreamID) upstream.Query {
	return upstream.Query{Kind: config.EnginePool, Pools: c.ids, DataCentre: r.opts.DataCentre, Exclude: exclude}
}

// work returns what a request asks of an upstream with the job's model. The
// caller holds mu.
func (r *Relay) work(j *job, now time.Time) upstream.Work {
	return upstream.Work{
		Prompt:    reading.Prompt{Model: j.model, Tokens: j.PromptTokens, Parts: j.Parts},
		Objective: j.Route.Objective, Elapsed: now.Sub(j.Arrived),
	}
}

// expect notes the work that an attempt leaves to an upstream. The caller holds
// mu.
func (r *Relay) expect(j *job, id contract.UpstreamID, now time.Time) {
	j.waits = waits{}
	if j.PromptTokens == 0 {
		return // a call to a plain service, which reads nothing
	}
	j.waits = waits{upstream: id, born: r.entries[id].Born, work: r.work(j, now), since: now}
	j.waits.expected, j.waits.ticket = r.table.Expect(id, j.waits.work, r.opts.DataCentre, now)
	r.Metrics.prompt(j.waits.work, j.waits.expected, r.table.Price(j.waits.expected))
	r.reads(j.service, j.waits.expected.Reading, now)
	if e := j.waits.expected; e.Reading >= leastTold && r.opts.Sent != nil {
		r.opts.Sent(Sent{
			Upstream: id, Born: j.waits.born, Model: j.model, Tokens: j.PromptTokens, Parts: j.Parts,
			Takes: e.Reading, Token: r.table.TokenTime(j.model),
		})
	}
}

// begun notes that the answer of the attempt has begun. The caller holds mu.
func (r *Relay) begun(j *job) {
	w := j.waits
	j.waits.upstream = ""
	if w.upstream != "" && r.lives(w.upstream, w.born) {
		now := r.opts.Now()
		r.table.Begun(w.upstream, w.ticket, w.work, w.expected, now.Sub(w.since), now)
	}
}

// dropped notes that the attempt has ended before its answer began. The caller
// holds mu.
func (r *Relay) dropped(j *job) {
	w := j.waits
	j.waits.upstream = ""
	if w.upstream != "" && r.lives(w.upstream, w.born) {
		r.table.Dropped(w.upstream, w.ticket, r.opts.Now())
	}
}

// again decides on another attempt, and takes it out of the budget. It returns
// why there is none, or "".
func (r *Relay) again(j *job, repeatable bool) retry.Reason {
	now := r.opts.Now()
	a := retry.Attempt{Number: j.sends, Outcome: j.outcome, Repeatable: repeatable, Deadline: j.Deadline, Expected: minLeft}
	if why := a.Barred(max(j.Route.MaxAttempts, 1), now); why != "" {
		return why
	}
	if j.failures >= maxUnsent+j.Route.MaxAttempts {
		return retry.Attempts
	}
	if j.sends == 0 {
		return "" // no upstream has seen it, so nothing is repeated
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.any(j, now) {
		return retry.NoOther // others may want what is left of the budget
	}
	if !r.budget(j.service).Take(retry.ForRetry, r.opts.VMs(), now) {
		return retry.OverBudget
	}
	return ""
}

// minLeft is the time that an attempt needs at least to be worth a send: a link
// and the shortest answer.
const minLeft = 30 * time.Millisecond

// note takes a failed attempt into what is known of the request.
func (j *job) note(o contract.Outcome, sent bool) {
	j.failures++
	if sent {
		j.sends++
	}
	j.outcome = j.outcome.Worse(o)
	j.exclude = append(j.exclude, j.last.ID)
}

// failed notes an attempt that got no head of an answer.
func (r *Relay) failed(j *job, err error, began time.Time) {
	var x *exchange.Error
	sent, outcome := true, contract.Unknown
	if errors.As(err, &x) {
		sent, outcome = x.Sent, x.Outcome()
	}
	result := upstream.Failed
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, errDeadline):
		result = upstream.Abandoned // the caller's doing
	case errors.Is(err, errTakesNone):
		result = upstream.Abandoned // nothing was learnt of the upstream
	case errors.Is(err, exchange.ErrBusy):
		result = upstream.Full
	case !sent && exchange.NothingListens(err):
		result = upstream.Down
	case !sent:
		result = upstream.Unreachable
	case x != nil:
		result, j.there = upstream.Broken, x.Fresh
	}
	if !sent {
		r.giveBack(j)
	}
	took := r.opts.Now().Sub(began)
	r.ended(j, j.last, result, took)
	if errors.Is(err, errSilent) {
		r.paced(j, took) // it would have taken that long at least
		r.doubt(j.last)
	}
	j.note(outcome, sent)
}
