package leader

import (
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/usage"
)

// UsageLedgerOptions configure a Book.
type UsageLedgerOptions struct {
	Self       contract.VMInstance
	DataCentre contract.DataCentreID
	Terms      usage.Rules
	// Now returns the wall-clock time, which determines the usage window.
	Now func() time.Time
	// DataCentres returns the data centres that have VMs. If nil, only the VM's own data
	// centre is considered.
	DataCentres func() []contract.DataCentreID
}

// UsageLedger stores the usage counts that one VM knows, its own and those received from other VMs,
// and how much of them each recipient has acknowledged. It is safe for concurrent use.
type UsageLedger struct {
	opts *UsageLedgerOptions

	// mu guards the fields below.
	mu   sync.Mutex
	sums *usage.Counter
	// acknowledged is the number of the newest change that each recipient has acknowledged.
	acknowledged map[contract.VMInstance]uint64
	// collectors are the VMs that collect the counts of other VMs and send them to this one.
	collectors map[contract.VMInstance]collector
}

type collector struct {
	dataCentre contract.DataCentreID
	reportedAt time.Time // when it last sent all counts that it knew
}

// NewUsageLedger returns an empty book.
func NewUsageLedger(opts *UsageLedgerOptions) *UsageLedger {
	return &UsageLedger{opts: opts, sums: usage.NewCounter(), acknowledged: make(map[contract.VMInstance]uint64), collectors: make(map[contract.VMInstance]collector)}
}

// Limits of what a book keeps.
const (
	// extraWindows is how many windows are kept beyond those that can still be reported.
	extraWindows = 2
	// collectorTimeout is how long a collector may be silent before it is ignored.
	collectorTimeout = 10 * time.Second
	// maxRecipients limits the recipients whose acknowledgements are stored. A recipient
	// whose acknowledgement is dropped is sent all counts once more.
	maxRecipients = 256
)

// CountRequest counts a request that an upstream began to run at the wall-clock time at.
func (b *UsageLedger) CountRequest(w contract.WorkspaceID, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sums.CountStart(b.opts.Self, usage.WindowOf(at, b.opts.Terms.Window), w)
}

// ChangesFor returns the counts to send to a recipient, and the number of the newest change among
// them, to pass to Answered once the recipient has replied.
func (b *UsageLedger) ChangesFor(recipient contract.VMInstance) ([]usage.Part, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pruneWindows()
	return b.sums.ChangedSince(b.acknowledged[recipient])
}

// Acknowledge records that a recipient has all changes up to and including mark.
func (b *UsageLedger) Acknowledge(recipient contract.VMInstance, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.acknowledged) >= maxRecipients {
		clear(b.acknowledged)
	}
	b.acknowledged[recipient] = max(b.acknowledged[recipient], mark)
}

// Merge merges usage counts that another VM has sent.
func (b *UsageLedger) Merge(parts []usage.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		b.sums.Merge(p)
	}
}

// CollectorReported records that a collector has sent all counts that it knows. If final is true, the
// collector is shutting down and will send no more.
func (b *UsageLedger) CollectorReported(from contract.VMInstance, dc contract.DataCentreID, final bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if final {
		delete(b.collectors, from)
		return
	}
	b.collectors[from] = collector{dc, b.opts.Now()}
}

// completeUntil returns the earliest of the times at which the active collectors last sent
// their counts, or the zero time if a data centre has no active collector.
func (b *UsageLedger) completeUntil() time.Time {
	var centres []contract.DataCentreID
	if b.opts.DataCentres != nil {
		centres = b.opts.DataCentres()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	earliest := now
	reported := map[contract.DataCentreID]bool{b.opts.DataCentre: true}
	for life, t := range b.collectors {
		if now.Sub(t.reportedAt) > collectorTimeout {
			delete(b.collectors, life)
			continue
		}
		reported[t.dataCentre] = true
		if t.reportedAt.Before(earliest) {
			earliest = t.reportedAt
		}
	}
	for _, dc := range centres {
		if !reported[dc] {
			return time.Time{}
		}
	}
	return earliest
}

// CloseWindows returns the record with the counts of all windows fixed that can be fixed
// now, and whether it changed; see usage.Terms.Close.
func (b *UsageLedger) CloseWindows(r usage.Record) (usage.Record, bool) {
	completeUntil := b.completeUntil()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pruneWindows()
	return b.opts.Terms.Close(r, b.sums, completeUntil, b.opts.Now())
}

// pruneWindows drops the windows that cannot be reported any more. The caller holds mu.
func (b *UsageLedger) pruneWindows() {
	t := b.opts.Terms
	oldest := b.opts.Now().Add(-t.ReportDeadline)
	b.sums.DropBefore(usage.WindowOf(oldest, t.Window) - extraWindows)
}
