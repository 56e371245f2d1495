package bill

import (
	"errors"
	"time"
)

// ErrFull means that a Holder already holds the maximum number of unfiled records.
// Its text is the detail of the problem document that the client receives.
var ErrFull = errors.New("holds as many unfiled bill records as it may")

// RecordBuffer holds the unfiled bill records of one entry process: its own records, and
// copies of the records of peers. It does no I/O and is not safe for concurrent use.
type RecordBuffer struct {
	self       Origin
	maxRecords int
	records    map[recordKey]*heldRecord
	peerDelay  time.Duration
	atRisk     int
}

// heldRecord is an unfiled record. copied is true if a peer holds it too.
type heldRecord struct {
	record    Record
	heldSince time.Time
	copied    bool
}

// peerFilingDelay is how long the copy of a peer's record is held before this process
// files it. The peer's VM normally files it within a second or two; after the delay,
// that VM may be gone.
const peerFilingDelay = 10 * time.Second

// NewRecordBuffer returns an empty Holder for the process self that holds at most
// maxRecords records.
func NewRecordBuffer(self Origin, maxRecords int) *RecordBuffer {
	return &RecordBuffer{self: self, maxRecords: maxRecords, records: make(map[recordKey]*heldRecord), peerDelay: peerFilingDelay}
}

// Len returns the number of records held.
func (h *RecordBuffer) Len() int { return len(h.records) }

// AtRiskCount returns the number of own records that are neither filed nor known to be
// held by a peer.
func (h *RecordBuffer) AtRiskCount() int { return h.atRisk }

// Full returns whether the Holder cannot take another record. Callers check it before
// they start a request, so that no request runs that could not be billed.
func (h *RecordBuffer) Full() bool { return len(h.records) >= h.maxRecords }

// Add adds an own record or the copy of a peer's record. Adding a record twice has
// no effect.
func (h *RecordBuffer) Add(r Record, now time.Time) error {
	if _, exists := h.records[r.key()]; exists {
		return nil
	}
	if h.Full() {
		return ErrFull
	}
	h.records[r.key()] = &heldRecord{record: r, heldSince: now, copied: r.Origin != h.self}
	if r.Origin == h.self {
		h.atRisk++
	}
	return nil
}

// MarkCopied marks an own record as held by a peer.
func (h *RecordBuffer) MarkCopied(r Record) {
	e, ok := h.records[r.key()]
	if ok && !e.copied {
		e.copied = true
		h.atRisk--
	}
}

// Uncopied returns at most limit own records that no peer is known to hold.
func (h *RecordBuffer) Uncopied(limit int) []Record {
	var uncopied []Record
	for _, e := range h.records {
		if len(uncopied) == limit {
			break
		}
		if !e.copied {
			uncopied = append(uncopied, e.record)
		}
	}
	return uncopied
}

// Due returns at most limit records to file now. Own records are due immediately,
// records of peers after peerFilingDelay. Records stay in the Holder until Filed is
// called for them.
func (h *RecordBuffer) Due(now time.Time, limit int) []Record {
	var due []Record
	for _, e := range h.records {
		if len(due) == limit {
			break
		}
		if e.record.Origin == h.self || now.Sub(e.heldSince) >= h.peerDelay {
			due = append(due, e.record)
		}
	}
	return due
}

// MarkFiled removes records that the platform has stored. It may be called late, more
// than once, or for records that the Holder never had.
func (h *RecordBuffer) MarkFiled(records []Record) {
	for _, r := range records {
		e, ok := h.records[r.key()]
		if !ok {
			continue
		}
		if !e.copied {
			h.atRisk--
		}
		delete(h.records, r.key())
	}
}
