package document

import (
	"time"

	"woaddoor/contract"
)

// Replica is the configuration that one process holds, and how fresh its
// knowledge is. It is a pure state machine: the time is given with each event.
//
// Two rules keep "never reverts" and "withdrawn gets no new work":
//   - the held revision only rises, whatever is read from whom in which order;
//   - FreshAt is the latest time at which the platform is known to have had no
//     newer revision than the held one. It is counted on this VM's own clock
//     from before the question was asked, so no clocks are compared.
type Replica struct {
	held    *Document
	freshAt time.Time
}

// NewReplica returns a replica that holds the empty document and knows nothing.
func NewReplica() *Replica { return &Replica{held: &Document{}} }

// Held returns the document held; revision 0 when there is none yet.
func (r *Replica) Held() *Document { return r.held }

// FreshAt returns the time up to which the held document was the platform's
// newest. The zero time means "never known".
func (r *Replica) FreshAt() time.Time { return r.freshAt }

// Age returns how old the knowledge is at now. It is the largest duration when
// nothing was ever known.
func (r *Replica) Age(now time.Time) time.Duration {
	if r.freshAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return max(now.Sub(r.freshAt), 0)
}

// Learn takes in d, which some source knew to be the platform's newest at
// freshAt (this VM's clock). It returns whether a newer document is now held.
//
// An older document than the held one says nothing about now: its source was
// behind, so neither the document nor its freshness counts.
func (r *Replica) Learn(d *Document, freshAt time.Time) bool {
	if d.Revision < r.held.Revision {
		return false
	}
	newer := d.Revision > r.held.Revision
	if newer {
		r.held = d
		// The older knowledge was about an older document and may be ahead in
		// time only when it was wrong: a source that lagged. Start anew.
		r.freshAt = freshAt
		return true
	}
	if freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	return false
}

// Confirm notes that the platform's newest revision was revision at freshAt.
// It returns false when that is not the one held, and then changes nothing.
func (r *Replica) Confirm(revision contract.Revision, freshAt time.Time) bool {
	if revision != r.held.Revision {
		return false
	}
	if freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	return true
}
