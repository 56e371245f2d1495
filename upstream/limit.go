package upstream

import (
	"time"

	"woaddoor/contract"
)

// Limit is what an answer says of how much its upstream takes.
type Limit struct {
	Word LimitWord `cbor:"1,keyasint"`
	// PerSecond is how many requests a second it takes from all VMs together.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// LimitWord tells whether an answer says anything of a limit.
type LimitWord uint8

const (
	// LimitUntold says nothing either way: a refusal, a failure, or a word that is not
	// understood.
	LimitUntold LimitWord = iota
	// LimitNone says that there is none: the upstream has served a request and names none.
	LimitNone
	// LimitNamed says that there is one.
	LimitNamed
)

// over tells which of two words of one version holds: the stricter.
func (a Limit) over(b Limit) bool {
	if a.Word != b.Word {
		return a.Word > b.Word
	}
	return a.PerSecond < b.PerSecond
}

// LimitKnown is what a VM knows of the limit of a life, as VMs tell each other. It binds all:
// the upstream has said how much it takes from all of them.
type LimitKnown struct {
	Life  contract.Life `cbor:"1,keyasint"`
	Limit Limit         `cbor:"2,keyasint"`
	// Version orders what VMs know of a life, whatever way it came: who learns something
	// new of an answer gives it the next one.
	Version uint64 `cbor:"3,keyasint"`
}

// limit is what a life of an upstream is known to take. The zero value is no limit.
type limit struct {
	Limit
	version uint64
	// learnt is when this VM learnt it: an answer to a request that was sent before tells
	// nothing newer.
	learnt time.Time
	// heard is when an answer has last named it, here or at a VM that told, or when this VM
	// last sent a request that asks for one.
	heard time.Time
	// told and toldFar are when others were last told, in this data centre and in all, by
	// this VM or by another.
	told, toldFar time.Time
	pace          pace
}

// Times of telling what holds still.
const (
	// tellAgain is after how long VMs of the data centre hear once more that a limit holds.
	tellAgain = 2 * time.Second
	// tellFarAgain is the same for other data centres, which ask only when nobody does here.
	tellFarAgain = 10 * time.Second
	// tellChange is the least time between two changes of a number that others are told of
	// at once: an upstream may name another one in each answer.
	tellChange = 250 * time.Millisecond
)

// LimitNews is what the word of an answer changes.
type LimitNews struct {
	Known  LimitKnown
	Before Limit
	// Changed tells that another limit holds, Tell that others are to hear of it, and Far
	// that those of other data centres are.
	Changed, Tell, Far bool
}

// takeWord takes in what the answer to a request says that was sent at a time.
func (l *limit) takeWord(said Limit, sent, now time.Time) (n LimitNews) {
	if said.Word == LimitUntold || sent.Before(l.learnt) {
		return LimitNews{}
	}
	n.Before = l.Limit
	if said != l.Limit {
		ends := said.Word != l.Word
		l.become(said, l.version+1, now)
		n.Changed = true
		n.Far = ends || now.Sub(l.told) >= tellChange
		n.Tell = n.Far
	}
	if said.Word == LimitNamed {
		l.heard = now
		n.Far = n.Far || now.Sub(l.toldFar) >= tellFarAgain
		n.Tell = n.Tell || n.Far || now.Sub(l.told) >= tellAgain
	}
	l.noteTold(n.Tell, n.Far, now)
	return n
}

// merge takes in what another VM knows, and tells whether it holds from now on. The newer
// holds, and of one version the stricter, in whatever order and however often VMs tell.
// fresh tells that it is of an answer just heard.
func (l *limit) merge(told LimitKnown, fresh bool, now time.Time) (changed bool) {
	switch {
	case told.Version < l.version:
		return false
	case told.Version > l.version || told.Limit.over(l.Limit):
		changed = told.Limit != l.Limit
		l.become(told.Limit, told.Version, now)
	case told.Limit != l.Limit || !fresh:
		return false
	}
	l.heard = now
	l.noteTold(true, false, now)
	return changed
}

// become has another limit hold. Who did not know of one has no part of it saved.
func (l *limit) become(next Limit, version uint64, now time.Time) {
	if l.Word != LimitNamed {
		l.pace = pace{from: now}
	}
	l.Limit, l.version, l.learnt = next, version, now
}

func (l *limit) noteTold(near, far bool, now time.Time) {
	if near {
		l.told = now
	}
	if far {
		l.toldFar = now
	}
}
