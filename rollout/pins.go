package rollout

import "time"

// Pins remembers the release that each session was on last. Its owner locks
// it.
type Pins struct {
	within time.Duration
	// now and before hold the sessions of the present and the former period, so
	// that old ones are forgotten without a look at each.
	now, before map[uint64]pin
	turned      time.Time
}

type pin struct {
	release string
	at      time.Time
}

// pinSlack is added to the time within which requests of a session follow one
// another, for the time that the requests themselves take.
const pinSlack = 2 * time.Second

// maxPins bounds the sessions remembered in one period.
const maxPins = 1 << 16

// NewPins returns pins of sessions whose requests follow one another within a
// time.
func NewPins(within time.Duration) *Pins {
	return &Pins{within: within + pinSlack, now: make(map[uint64]pin), before: make(map[uint64]pin)}
}

// Note notes that a session was on a release.
func (p *Pins) Note(session uint64, release string, now time.Time) {
	if session == 0 || release == "" {
		return
	}
	if now.Sub(p.turned) > p.within || len(p.now) >= maxPins {
		p.before, p.now, p.turned = p.now, make(map[uint64]pin), now
	}
	p.now[session] = pin{release, now}
}

// Last returns the release that a session was on last, or "".
func (p *Pins) Last(session uint64, now time.Time) string {
	if session == 0 {
		return ""
	}
	last, ok := p.now[session]
	if !ok {
		last, ok = p.before[session]
	}
	if !ok || now.Sub(last.at) > p.within {
		return ""
	}
	return last.release
}
