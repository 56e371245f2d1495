package bill

import (
	"errors"
	"time"
)

// ErrFull means that a RecordBuffer already holds the maximum number of unfiled bill records.
// The error text is the detail of the problem document that the client receives.
var ErrFull = errors.New("holds as many unfiled bill records as it may")

// RecordBuffer holds the unfiled bill records of one entry process: the process's own records,
// and copies of the records of peers. RecordBuffer does no I/O and is not safe for concurrent use.
type RecordBuffer struct {
	self       Origin
	maxRecords int
	records    map[recordKey]*unfiledRecord
	peerDelay  time.Duration
	atRisk     int
}

// unfiledRecord is a bill record that possibly has not been filed yet.
// The field copied is true if another process holds the record too.
type unfiledRecord struct {
	record  Record
	addedAt time.Time
	copied  bool
}

// peerFilingDelay is the time after which this process files its copy of a peer's bill record.
// The peer normally files its own record within a second or two.
// If the peer has not filed the record after the delay, the peer's VM may have ended.
const peerFilingDelay = 10 * time.Second

// NewRecordBuffer returns an empty RecordBuffer for the process self that holds at most
// maxRecords records.
func NewRecordBuffer(self Origin, maxRecords int) *RecordBuffer {
	return &RecordBuffer{self: self, maxRecords: maxRecords, records: make(map[recordKey]*unfiledRecord), peerDelay: peerFilingDelay}
}

// Len returns the number of unfiled records in the buffer.
func (b *RecordBuffer) Len() int { return len(b.records) }

// AtRiskCount returns the number of this process's own bill records that are neither filed nor
// known to be held by a peer.
func (b *RecordBuffer) AtRiskCount() int { return b.atRisk }

// Full returns whether the buffer cannot take another bill record.
// Callers check Full before they start a request, so that no request runs that could not be billed.
func (b *RecordBuffer) Full() bool { return len(b.records) >= b.maxRecords }

// Add adds a bill record of this process, or the copy of a peer's record.
// Adding a record twice has no effect.
func (b *RecordBuffer) Add(r Record, now time.Time) error {
	if _, exists := b.records[r.key()]; exists {
		return nil
	}
	if b.Full() {
		return ErrFull
	}
	b.records[r.key()] = &unfiledRecord{record: r, addedAt: now, copied: r.Origin != b.self}
	if r.Origin == b.self {
		b.atRisk++
	}
	return nil
}

// MarkCopied marks a bill record of this process as held by a peer.
func (b *RecordBuffer) MarkCopied(r Record) {
	e, ok := b.records[r.key()]
	if ok && !e.copied {
		e.copied = true
		b.atRisk--
	}
}

// Uncopied returns at most limit bill records of this process that no peer is known to hold.
func (b *RecordBuffer) Uncopied(limit int) []Record {
	var uncopied []Record
	for _, e := range b.records {
		if len(uncopied) == limit {
			break
		}
		if !e.copied {
			uncopied = append(uncopied, e.record)
		}
	}
	return uncopied
}

// Due returns at most limit bill records to file now.
// This process's own records are due immediately, and records of peers after peerFilingDelay.
// Records stay in the buffer until MarkFiled is called for them.
func (b *RecordBuffer) Due(now time.Time, limit int) []Record {
	var due []Record
	for _, e := range b.records {
		if len(due) == limit {
			break
		}
		if e.record.Origin == b.self || now.Sub(e.addedAt) >= b.peerDelay {
			due = append(due, e.record)
		}
	}
	return due
}

// MarkFiled removes bill records that the platform has stored.
// MarkFiled may be called late, more than once, or for records that the buffer never held.
func (b *RecordBuffer) MarkFiled(records []Record) {
	for _, r := range records {
		e, ok := b.records[r.key()]
		if !ok {
			continue
		}
		if !e.copied {
			b.atRisk--
		}
		delete(b.records, r.key())
	}
}
