package relay

import (
	"time"

	"woaddoor/rollout"
)

// pace is how long the first answers of a route take, by the model that makes
// them.
type pace struct {
	mean, deviation float64 // seconds
	seen            int
}

// Parameters of pace.
const (
	paceWeight = 0.05
	// paceDeviations is how far above the mean an upstream counts as silent.
	paceDeviations = 6
	// Parts of the objective between which an upstream counts as silent. Less
	// would be taken for a busy one. Where all are slow, the pace tells, and a
	// request that is taken from one queue to the end of another only adds work;
	// silentFirst holds before the pace is known.
	silentFrom  = 0.4
	silentFirst = 0.8
	silentTo    = 4.0
	// paceKnown is how many times a pace rests on before it is believed.
	paceKnown = 10
)

// pace returns the pace of a job: of its route and model, or of all prompts, for
// which it is how much later answers begin than is expected. The caller holds mu.
func (r *Relay) pace(j *job) *pace {
	key := j.Route.Name + "|" + string(j.model)
	if j.PromptTokens > 0 {
		key = prompts
	}
	p, ok := r.paces[key]
	if !ok {
		p = &pace{}
		r.paces[key] = p
	}
	return p
}

// prompts is the key of the pace of all prompts.
const prompts = ""

// limit returns how long an upstream may be silent before its first answer.
func (p *pace) limit(objective time.Duration) time.Duration {
	seconds := silentFirst * objective.Seconds()
	if p.seen >= paceKnown {
		slow := p.mean + paceDeviations*p.deviation
		seconds = min(max(slow, silentFrom*objective.Seconds()), silentTo*objective.Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

func (p *pace) observe(took time.Duration) {
	p.seen++
	if p.seen == 1 {
		p.mean, p.deviation = took.Seconds(), took.Seconds()/2
		return
	}
	off := took.Seconds() - p.mean
	p.mean += paceWeight * off
	p.deviation += paceWeight * (max(off, -off) - p.deviation)
}

// paced notes the time to a first answer, from the send on.
func (r *Relay) paced(j *job, took time.Duration) {
	r.locked(func() { r.pace(j).observe(max(took-j.waits.expected.First(), 0)) })
}

// observe hands an answer to the verdict on a release on trial.
func (r *Relay) observe(j *job, a *attempt, bad bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.canaries[a.entry.Service]
	if c == nil {
		return
	}
	answer := rollout.Answer{OnTrial: a.entry.Release == c.Order().Release, Failed: bad, Times: a.times}
	before, _ := c.Counts()
	if c.Observe(answer, r.opts.Now()) {
		r.logVerdict(c)
		r.wake()
	}
	if after, _ := c.Counts(); after.Bad > before.Bad && r.opts.BadAnswer != nil {
		r.opts.BadAnswer()
	}
}

// Kinds of times that are compared between releases.
const (
	kindFirst = "|first"
	kindEvent = "|event"
)

// took notes a time of an answer, for the verdict on a release on trial.
func (a *attempt) took(j *job, kind string, d time.Duration) {
	a.times = append(a.times, rollout.Time{Kind: j.Route.Name + "|" + string(j.model) + kind, Seconds: d.Seconds()})
}
