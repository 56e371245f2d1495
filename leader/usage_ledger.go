package leader

import (
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/usage"
)

// UsageLedgerOptions configure a UsageLedger.
type UsageLedgerOptions struct {
	Self       contract.VMInstance
	DataCentre contract.DataCentreID
	Rules      usage.Rules
	// Now returns the wall-clock time, which determines the usage window.
	Now func() time.Time
	// DataCentres returns the data centres that have VMs.
	// If nil, only the VM's own data centre is considered.
	DataCentres func() []contract.DataCentreID
}

// UsageLedger stores the usage counts that one VM knows,
// its own counts and the counts received from other VMs.
// The ledger also stores how much of the counts each recipient has acknowledged.
// UsageLedger is safe for concurrent use.
type UsageLedger struct {
	opts *UsageLedgerOptions

	// mu guards the fields below.
	mu      sync.Mutex
	counter *usage.Counter
	// acknowledged is the number of the newest change that each recipient has acknowledged.
	acknowledged map[contract.VMInstance]uint64
	// collectors are the VMs that collect the counts of other VMs and send them to this one.
	collectors map[contract.VMInstance]collector
}

// collector is a VM that collects the counts of other VMs.
type collector struct {
	dataCentre contract.DataCentreID
	reportedAt time.Time // when the collector last sent all counts that it knew
}

// NewUsageLedger returns an empty ledger.
func NewUsageLedger(opts *UsageLedgerOptions) *UsageLedger {
	return &UsageLedger{opts: opts, counter: usage.NewCounter(), acknowledged: make(map[contract.VMInstance]uint64), collectors: make(map[contract.VMInstance]collector)}
}

// Limits of what a UsageLedger stores.
const (
	// extraWindows is how many usage windows are kept beyond the windows
	// that can still be reported.
	extraWindows = 2
	// collectorTimeout is how long a collector may be silent before it is ignored.
	collectorTimeout = 10 * time.Second
	// maxRecipients limits the recipients whose acknowledgements are stored.
	// A recipient whose acknowledgement is dropped is sent all counts once more.
	maxRecipients = 256
)

// CountRequest counts a request that an upstream began to run at the wall-clock time at.
func (l *UsageLedger) CountRequest(w contract.WorkspaceID, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counter.CountStart(l.opts.Self, usage.WindowOf(at, l.opts.Rules.Window), w)
}

// ChangesFor returns the counts to send to a recipient,
// and the number of the newest change among these counts.
// The caller passes that number to Acknowledge once the recipient has replied.
func (l *UsageLedger) ChangesFor(recipient contract.VMInstance) ([]usage.Part, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneWindows()
	return l.counter.ChangedSince(l.acknowledged[recipient])
}

// Acknowledge records that a recipient has all changes up
// to and including the change with the given number.
func (l *UsageLedger) Acknowledge(recipient contract.VMInstance, change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.acknowledged) >= maxRecipients {
		clear(l.acknowledged)
	}
	l.acknowledged[recipient] = max(l.acknowledged[recipient], change)
}

// Merge merges usage counts that another VM has sent.
func (l *UsageLedger) Merge(parts []usage.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		l.counter.Merge(p)
	}
}

// CollectorReported records that a collector has sent all counts that it knows.
// If final is true, the collector is shutting down and will send no more counts.
func (l *UsageLedger) CollectorReported(from contract.VMInstance, dc contract.DataCentreID, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if final {
		delete(l.collectors, from)
		return
	}
	l.collectors[from] = collector{dc, l.opts.Now()}
}

// completeUntil returns the earliest of the times at which the active
// collectors last sent their counts, or the zero time if a data centre has no active collector.
func (l *UsageLedger) completeUntil() time.Time {
	var dataCentres []contract.DataCentreID
	if l.opts.DataCentres != nil {
		dataCentres = l.opts.DataCentres()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	earliest := now
	reported := map[contract.DataCentreID]bool{l.opts.DataCentre: true}
	for instance, c := range l.collectors {
		if now.Sub(c.reportedAt) > collectorTimeout {
			delete(l.collectors, instance)
			continue
		}
		reported[c.dataCentre] = true
		if c.reportedAt.Before(earliest) {
			earliest = c.reportedAt
		}
	}
	for _, dc := range dataCentres {
		if !reported[dc] {
			return time.Time{}
		}
	}
	return earliest
}

// CloseWindows closes all usage windows that can be closed now.
// CloseWindows returns the new record and whether the record changed; see usage.Rules.Close.
func (l *UsageLedger) CloseWindows(r usage.Record) (usage.Record, bool) {
	completeUntil := l.completeUntil()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneWindows()
	return l.opts.Rules.Close(r, l.counter, completeUntil, l.opts.Now())
}

// pruneWindows drops the usage windows that cannot be reported any more. The caller holds mu.
func (l *UsageLedger) pruneWindows() {
	rules := l.opts.Rules
	oldest := l.opts.Now().Add(-rules.ReportDeadline)
	l.counter.DropBefore(usage.WindowOf(oldest, rules.Window) - extraWindows)
}
