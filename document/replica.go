package document

import (
	"time"

	"woaddoor/contract"
)

// Replica holds the configuration document of one process, and the time up to which the document
// was known to be the newest. Replica reads no clock: callers pass the time to each method.
//
// Two rules guarantee that the configuration never goes back to an older revision and
// that a withdrawn version gets no new work:
//   - the revision of the held document never decreases, from whichever
//     sources and in whichever order documents are read;
//   - FreshAt is the latest time at which the platform is known to have had no
//     newer revision than the held one. FreshAt is the time on this VM's own clock before
//     the request was sent, so the clocks of different VMs are never compared.
type Replica struct {
	held    *Document
	freshAt time.Time
}

// NewReplica returns a replica that holds the empty document and whose freshness is
// unknown.
func NewReplica() *Replica { return &Replica{held: &Document{}} }

// Document returns the current document. The document has revision 0 until a document is received.
func (r *Replica) Document() *Document { return r.held }

// FreshAt returns the latest time at which the held document is known to have been the platform's
// newest. The zero time means that the held document was never known to be the newest.
func (r *Replica) FreshAt() time.Time { return r.freshAt }

// Age returns the time from FreshAt to now.
// Age returns the largest possible duration if FreshAt is zero.
func (r *Replica) Age(now time.Time) time.Duration {
	if r.freshAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return max(now.Sub(r.freshAt), 0)
}

// Update offers the replica a document that a source knew to be the platform's newest at freshAt,
// a time on this VM's clock. Update returns whether document d replaced the held document.
//
// A document older than the held document comes from a source that was behind.
// Update therefore ignores both the older document and its freshAt.
func (r *Replica) Update(d *Document, freshAt time.Time) bool {
	if d.Revision < r.held.Revision {
		return false
	}
	isNewer := d.Revision > r.held.Revision
	if isNewer {
		r.held = d
		// Replace freshAt even by an earlier time. The previous freshAt belongs to an older
		// document. The previous freshAt can be later than the new one only if it was wrong,
		// because the source of the older document lagged behind.
		r.freshAt = freshAt
		return true
	}
	if freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	return false
}

// Confirm records that a revision was the platform's newest revision at freshAt.
// If the held document has another revision, Confirm changes nothing and returns false.
func (r *Replica) Confirm(revision contract.Revision, freshAt time.Time) bool {
	if revision != r.held.Revision {
		return false
	}
	if freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	return true
}
