package leader

import (
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/usage"
)

// BookOptions set up a Book.
type BookOptions struct {
	Self       contract.VMLife
	DataCentre contract.DataCentreID
	Terms      usage.Terms
	// Now is the time of day, by which windows go.
	Now func() time.Time
	// Centres returns the data centres that have VMs. May be nil: the own one alone.
	Centres func() []contract.DataCentreID
}

// Book is what one VM knows of usage: what it has counted, what others have told, and whom
// it has told. It is safe for concurrent use.
type Book struct {
	opts *BookOptions

	// mu guards the fields below.
	mu   sync.Mutex
	sums *usage.Sums
	// told is the number of the newest change that a hearer is known to have.
	told map[contract.VMLife]uint64
	// tellers are the VMs that tell this one what they have gathered.
	tellers map[contract.VMLife]teller
}

type teller struct {
	dataCentre contract.DataCentreID
	at         time.Time // when it last told all that it knew
}

// NewBook returns an empty book.
func NewBook(opts *BookOptions) *Book {
	return &Book{opts: opts, sums: usage.NewSums(), told: make(map[contract.VMLife]uint64), tellers: make(map[contract.VMLife]teller)}
}

// Ages and bounds of what a book keeps.
const (
	// keptWindows is how many windows are kept beyond those that can still be reported.
	keptWindows = 2
	// tellerFor is for how long a VM that has fallen silent is waited for.
	tellerFor = 10 * time.Second
	// mostHearers bounds the hearers that are remembered: one that is forgotten is told
	// all there is once more.
	mostHearers = 256
)

// Began counts a request that began to run at a time of day.
func (b *Book) Began(w contract.WorkspaceID, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sums.Began(b.opts.Self, usage.WindowOf(at, b.opts.Terms.Window), w)
}

// For returns what a hearer is to be told, and the mark by which it has answered that.
func (b *Book) For(hearer contract.VMLife) ([]usage.Part, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget()
	return b.sums.Since(b.told[hearer])
}

// Answered notes that a hearer knows all up to a mark.
func (b *Book) Answered(hearer contract.VMLife, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.told) >= mostHearers {
		clear(b.told)
	}
	b.told[hearer] = max(b.told[hearer], mark)
}

// Hear takes in parts that another VM has told.
func (b *Book) Hear(parts []usage.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		b.sums.Told(p)
	}
}

// Gathered takes in that a VM has told all that the VMs which tell it have counted, for the
// last time if it ends.
func (b *Book) Gathered(from contract.VMLife, dc contract.DataCentreID, ends bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ends {
		delete(b.tellers, from)
		return
	}
	b.tellers[from] = teller{dc, b.opts.Now()}
}

// heard returns since when all that gather have told this VM; the zero time when a data
// centre has not at all.
func (b *Book) heard() time.Time {
	var centres []contract.DataCentreID
	if b.opts.Centres != nil {
		centres = b.opts.Centres()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	heard := now
	told := map[contract.DataCentreID]bool{b.opts.DataCentre: true}
	for life, t := range b.tellers {
		if now.Sub(t.at) > tellerFor {
			delete(b.tellers, life)
			continue
		}
		told[t.dataCentre] = true
		if t.at.Before(heard) {
			heard = t.at
		}
	}
	for _, dc := range centres {
		if !told[dc] {
			return time.Time{}
		}
	}
	return heard
}

// Close returns a record with the windows fixed that can be now; see Terms.Close.
func (b *Book) Close(r usage.Record) (usage.Record, bool) {
	heard := b.heard()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget()
	return b.opts.Terms.Close(r, b.sums, heard, b.opts.Now())
}

// forget drops what cannot be reported any more. The caller holds mu.
func (b *Book) forget() {
	t := b.opts.Terms
	oldest := b.opts.Now().Add(-t.Late)
	b.sums.Forget(usage.WindowOf(oldest, t.Window) - keptWindows)
}
