package upstream

import (
	"time"

	"woaddoor/contract"
)

// Limit is what an answer says of how much its upstream takes.
type Limit struct {
	Word LimitWord
	// PerSecond is how many requests a second it takes from all VMs together.
	PerSecond float64
}

// LimitWord tells whether an answer says anything of a limit.
type LimitWord uint8

const (
	// LimitUntold says nothing either way: a refusal of something before the upstream, or
	// a word that is not understood.
	LimitUntold LimitWord = iota
	// LimitNone says that there is none: the upstream has answered and names none.
	LimitNone
	// LimitNamed says that there is one.
	LimitNamed
)

// limit is what a life of an upstream is known to take. The zero value is no limit.
type limit struct {
	named     bool
	perSecond float64
	// learnt is when this VM learnt it: an answer to a request that was sent before tells
	// nothing newer.
	learnt time.Time
}

// takeWord takes in what the answer to a request says that was sent at a time, and tells
// whether the limit has changed.
func (l *limit) takeWord(said Limit, sent, now time.Time) bool {
	if said.Word == LimitUntold || sent.Before(l.learnt) {
		return false
	}
	named := said.Word == LimitNamed
	if named == l.named && (!named || said.PerSecond == l.perSecond) {
		return false
	}
	*l = limit{named: named, perSecond: said.PerSecond, learnt: now}
	return true
}

// limited tells whether a life has named a limit that holds; nil has said nothing.
func (h *heldTo) limited() bool { return h != nil && h.limit.named }

// TakeLimit takes in what the answer of a life says of its limit, to a request that was
// sent at a time. It returns the limit before, and whether it has changed.
func (t *Table) TakeLimit(l contract.Life, said Limit, sent, now time.Time) (before Limit, changed bool) {
	h := t.said[l]
	if h == nil && said.Word != LimitNamed {
		return Limit{}, false
	}
	h = t.hold(l, now)
	before = h.limit.told()
	return before, h.limit.takeWord(said, sent, now)
}

// told returns the limit as an answer would name it.
func (l *limit) told() Limit {
	if !l.named {
		return Limit{Word: LimitNone}
	}
	return Limit{LimitNamed, l.perSecond}
}

// Limited tells whether a listed upstream has named a limit that holds.
func (t *Table) Limited(id contract.UpstreamID) bool {
	s, ok := t.states[id]
	return ok && s.said.limited()
}

// CountLimited returns how many of the listed upstreams have named a limit that holds.
func (t *Table) CountLimited() int {
	n := 0
	for _, s := range t.ordered {
		if s.said.limited() {
			n++
		}
	}
	return n
}
