package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Limit is the number of successive upstream crashes after which a request content is held.
const Limit = 3

// Crash times received by gossip appear some tens of milliseconds late. A request that was
// sent shortly after a crash can therefore appear to have been sent before it.
const (
	// minCrashSpacing is the minimum distance between two crashes that count separately
	// although the second request appears to have been sent before the first crash.
	// Upstreams that crash at the same time, such as all of a data centre, share one cause.
	minCrashSpacing = 100 * time.Millisecond
	// maxSendSkew is how long before the previous crash a request may appear to have been
	// sent and still count as sent after it.
	maxSendSkew = 300 * time.Millisecond
	// maxCrashesKept bounds the crashes remembered per content; the newest are kept.
	maxCrashesKept = 8
)

// Limits of a Table.
const (
	// maxRecords bounds the request contents that are tracked. An evicted content starts
	// over and must crash as many upstreams as a new one before it is held.
	maxRecords = 4096
	// suspicionTTL is how long a content that does not appear again stays under suspicion.
	suspicionTTL = 10 * time.Minute
	// gossipTTL is how long a change is repeated in every gossip message. It spans several
	// rounds, so a lost message does no harm. singleCrashGossipTTL applies to contents with
	// a single crash: most of them merely ran on the crashed upstream, about a dozen per
	// crash.
	gossipTTL            = 10 * time.Second
	singleCrashGossipTTL = 3 * time.Second
	// maxUpdates bounds the contents in one gossip message, at about 150 bytes each;
	// maxSingleCrashUpdates bounds those among them with a single crash.
	maxUpdates            = 24
	maxSingleCrashUpdates = 8
)

// About identifies the source of a request content for operators.
type About struct {
	Service   contract.ServiceID   `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint,omitempty"`
	Route     string               `cbor:"3,keyasint"`
	// By is the VM that observed the first crash.
	By contract.VMID `cbor:"4,keyasint"`
}

// End is the crash of an upstream while it ran a request, in the clock of this VM.
type End struct {
	contract.Life
	Sent, Broke time.Time
}

// Case is the suspicion record of one request content.
type Case struct {
	Print Print
	About
	// Epoch counts how often the content was cleared. Gossip from earlier epochs is
	// ignored.
	Epoch uint32
	// Ends holds the newest crashes of upstreams that ran this content, oldest first.
	Ends []End
	// Held reports whether the content is blocked from all upstreams.
	Held bool

	changedAt time.Time
	// storeRevision is the revision of the content's object in the store; inStore reports
	// whether that object exists.
	storeRevision contract.Revision
	inStore       bool
	trials        trials
}

// Table holds one VM's suspicion records. It is not safe for concurrent use; the caller
// holds a lock.
type Table struct {
	records map[Print]*Case
	// gossiping is the subset of records that may appear in gossip. It is kept separately
	// because a hub builds a message for each of its leaf VMs twice a second, while records
	// may hold thousands of entries.
	gossiping map[Print]*Case
	// heldCount and storedCount count the records that are held and those that are in the
	// store.
	heldCount, storedCount int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Print]*Case), gossiping: make(map[Print]*Case)}
}

// Empty reports whether no content is under suspicion. In that case requests need no
// fingerprint.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Held returns the number of held contents.
func (t *Table) Held() int { return t.heldCount }

// Case returns the record of a content, or nil if there is none.
func (t *Table) Case(p Print) *Case { return t.records[p] }

// End records that an upstream crashed while running a content and reports whether that
// changed the record.
//
// Every request that ran on the upstream becomes suspect. The one that caused the crash
// also crashes the next upstream, so a crash counts only if the request was sent to that
// upstream after the previous counted crash. Simultaneous crashes count as one, and a
// complete answer clears the content.
func (t *Table) End(p Print, a About, e End, now time.Time) bool {
	return t.merge(Case{Print: p, About: a, Epoch: t.epochOf(p), Ends: []End{e}}, now)
}

func (t *Table) epochOf(p Print) uint32 {
	if c := t.records[p]; c != nil {
		return c.Epoch
	}
	return 0
}

// Answered records that an upstream completed a request with this content and survived. It
// reports whether the content was under suspicion.
func (t *Table) Answered(p Print, now time.Time) bool {
	c := t.records[p]
	if c == nil || len(c.Ends) == 0 && !c.Held {
		return false
	}
	t.resetTo(c, c.Epoch+1, now)
	return true
}

// resetTo clears a content and moves it to a new epoch.
func (t *Table) resetTo(c *Case, epoch uint32, now time.Time) {
	c.Epoch, c.Ends, c.trials = epoch, nil, trials{}
	t.markChanged(c, now)
	t.setHeld(c, false)
}

// setHeld sets Held and keeps heldCount up to date.
func (t *Table) setHeld(c *Case, held bool) {
	switch {
	case held && !c.Held:
		t.heldCount++
	case !held && c.Held:
		t.heldCount--
	}
	c.Held = held
}

// setInStore sets inStore and keeps storedCount up to date.
func (t *Table) setInStore(c *Case, inStore bool) {
	switch {
	case inStore && !c.inStore:
		t.storedCount++
	case !inStore && c.inStore:
		t.storedCount--
	}
	c.inStore = inStore
}

// merge merges a record from another source and reports whether anything changed. Gossip
// may arrive late, repeatedly and in any order: a later epoch replaces an earlier one,
// crashes accumulate within an epoch, and a held content stays held.
func (t *Table) merge(other Case, now time.Time) bool {
	c := t.records[other.Print]
	if c == nil {
		if len(other.Ends) == 0 && !other.Held && other.Epoch == 0 {
			return false
		}
		t.makeRoom(now)
		c = &Case{Print: other.Print, About: other.About, Epoch: other.Epoch}
		t.records[other.Print] = c
		t.markChanged(c, now)
	}
	if other.Epoch < c.Epoch {
		return false
	}
	changed := other.Epoch > c.Epoch
	if changed {
		t.resetTo(c, other.Epoch, now)
	}
	if c.Held && !changed {
		return false // further crashes make no difference to a held content
	}
	crashes := mergeCrashes(c.Ends, other.Ends)
	held := c.Held || other.Held || countSuccessive(crashes) >= Limit
	// Only a longer list counts as a change. Once the list is full, VMs keep different
	// newest crashes and would otherwise exchange them forever.
	changed = changed || len(crashes) > len(c.Ends) || held != c.Held
	c.Ends = crashes
	t.setHeld(c, held)
	if changed {
		t.markChanged(c, now)
	}
	return changed
}

// markChanged marks a record as changed so that it is included in gossip.
func (t *Table) markChanged(c *Case, now time.Time) {
	c.changedAt = now
	t.gossiping[c.Print] = c
}

// mergeCrashes returns the newest crashes of both lists, oldest first. An incarnation
// crashes only once; of several reports the earliest is the most accurate, since gossip
// arrives with a delay.
func mergeCrashes(a, b []End) []End {
	out := slices.Clone(a)
	for _, e := range b {
		i := slices.IndexFunc(out, func(o End) bool { return o.Life == e.Life })
		if i < 0 {
			out = append(out, e)
			continue
		}
		out[i].Sent, out[i].Broke = earliest(out[i].Sent, e.Sent), earliest(out[i].Broke, e.Broke)
	}
	slices.SortFunc(out, func(a, b End) int {
		return cmp.Or(a.Broke.Compare(b.Broke), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Born, b.Born))
	})
	return out[max(len(out)-maxCrashesKept, 0):]
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// countSuccessive counts the crashes that happened one after the other. A crash counts if
// the request was sent after the previous counted crash.
func countSuccessive(crashes []End) int {
	n := 0
	var lastBroke time.Time
	for _, e := range crashes {
		sentAfter := !e.Sent.Before(lastBroke)
		apart := !e.Broke.Before(lastBroke.Add(minCrashSpacing)) && !e.Sent.Before(lastBroke.Add(-maxSendSkew))
		if n == 0 || sentAfter || apart {
			n, lastBroke = n+1, e.Broke
		}
	}
	return n
}

// Ended returns the number of successive crashes of upstreams that ran a content.
func (t *Table) Ended(p Print) int {
	if c := t.records[p]; c != nil {
		return countSuccessive(c.Ends)
	}
	return 0
}

// makeRoom removes expired records and, if the table is still full, the least recently
// changed one. Records that are not held go first.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	var oldest *Case
	for _, c := range t.records {
		if oldest == nil || !c.Held && oldest.Held || c.Held == oldest.Held && c.changedAt.Before(oldest.changedAt) {
			oldest = c
		}
	}
	if len(t.records) >= maxRecords && oldest != nil {
		t.remove(oldest)
	}
}

// Expire removes records that changed longer than suspicionTTL ago, unless they are held or
// in the store.
func (t *Table) Expire(now time.Time) {
	for _, c := range t.records {
		if !c.Held && !c.inStore && now.Sub(c.changedAt) > suspicionTTL {
			t.remove(c)
		}
	}
}

func (t *Table) remove(c *Case) {
	if c.Held {
		t.heldCount--
	}
	t.setInStore(c, false)
	delete(t.records, c.Print)
	delete(t.gossiping, c.Print)
}
