package bill

import (
	"errors"
	"time"
)

// ErrFull means that a process holds as many unfiled records as it may.
var ErrFull = errors.New("holds as many unfiled bill records as it may")

// Holder holds the records of one entry process that are not yet filed: its
// own, and copies for peers. It is a pure state machine; its owner locks it.
type Holder struct {
	self   Origin
	max    int
	held   map[key]*held
	grace  time.Duration
	atRisk int
}

type held struct {
	record Record
	since  time.Time
	copied bool
}

// copyGrace is how long a peer's record is held before it is filed here too.
// Its own VM files within a second or two; later means that it may be gone.
const copyGrace = 10 * time.Second

// NewHolder returns a holder of at most max records.
func NewHolder(self Origin, max int) *Holder {
	return &Holder{self: self, max: max, held: make(map[key]*held), grace: copyGrace}
}

// Len returns the number of records held.
func (h *Holder) Len() int { return len(h.held) }

// AtRisk returns how many own records are held by no peer and are not filed.
func (h *Holder) AtRisk() int { return h.atRisk }

// Full tells whether no further record can be held. It is asked before work
// starts: what could not be billed is not begun.
func (h *Holder) Full() bool { return len(h.held) >= h.max }

// Keep holds a record, own or of a peer. Keeping one twice is harmless.
func (h *Holder) Keep(r Record, now time.Time) error {
	if _, had := h.held[r.key()]; had {
		return nil
	}
	if h.Full() {
		return ErrFull
	}
	h.held[r.key()] = &held{record: r, since: now, copied: r.Origin != h.self}
	if r.Origin == h.self {
		h.atRisk++
	}
	return nil
}

// Copied notes that a peer holds an own record.
func (h *Holder) Copied(r Record) {
	e, ok := h.held[r.key()]
	if ok && !e.copied {
		e.copied = true
		h.atRisk--
	}
}

// Risky returns own records that no peer is known to hold, at most limit.
func (h *Holder) Risky(limit int) []Record {
	var risky []Record
	for _, e := range h.held {
		if len(risky) == limit {
			break
		}
		if !e.copied {
			risky = append(risky, e.record)
		}
	}
	return risky
}

// Due returns the records to file now, at most limit: own ones at once, those
// of peers once their VM had its time. They stay held until Filed.
func (h *Holder) Due(now time.Time, limit int) []Record {
	var due []Record
	for _, e := range h.held {
		if len(due) == limit {
			break
		}
		if e.record.Origin == h.self || now.Sub(e.since) >= h.grace {
			due = append(due, e.record)
		}
	}
	return due
}

// Filed drops records that the platform holds. It may come late, twice, or
// for records never held.
func (h *Holder) Filed(records []Record) {
	for _, r := range records {
		e, ok := h.held[r.key()]
		if !ok {
			continue
		}
		if !e.copied {
			h.atRisk--
		}
		delete(h.held, r.key())
	}
}
