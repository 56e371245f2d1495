package site

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// confirm takes in what a peer tells of the store's word, and tells whether that
// is news to the others here.
func (f *follower[T]) confirm(h Have) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Confirm(h.At)
	now := f.now()
	was := f.duty.watching
	news := f.duty.Told(now.Add(-h.Age), h.Lead, now.Add(-h.LeadAge), now)
	if was && !f.duty.watching {
		f.log.Info("watch-ends", zap.String("kind", f.source.Name()), zap.String("watcher", string(h.Lead.VM)), zap.Duration("age", h.LeadAge.Round(time.Millisecond)))
	}
	return news
}

// status returns what this VM tells others of the kind.
func (f *follower[T]) status() (Have, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.ledger.At()
	now := f.now()
	return Have{
		Kind: f.source.Name(), Last: f.ledger.Last(), At: at, Age: f.duty.Age(now),
		Lead: f.duty.lead, LeadAge: now.Sub(f.duty.leadAt),
	}, known
}

// asks tells whether this VM asks the store for the others.
func (f *follower[T]) asks() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duty.watching
}

// compare takes in what a peer tells of the kind.
func (f *follower[T]) compare(h Have) Compared {
	at, known := f.have()
	if !known || h.Last > at {
		return Compared{Lacks: true, Wanted: Wanted{Kind: h.Kind, After: at, Holds: known}}
	}
	fresher := f.confirm(h)
	if h.Age < heardOfLate {
		f.reached(true)
	}
	return Compared{Fresher: fresher}
}

// since returns what a peer lacks.
func (f *follower[T]) since(after contract.Revision, holds bool) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Since(after, holds)
}

// feed takes in what a peer has handed over.
func (f *follower[T]) feed(d Delta, h Have, from string) {
	at, known := f.have()
	if known && d.At <= at || !known && !d.Full {
		return
	}
	c := Changes[T]{Revision: d.At}
	for _, raw := range d.Items {
		i := Item[T]{Raw: raw}
		if !raw.Deleted {
			i.Value, i.Err = f.source.Decode(raw)
		}
		c.Items = append(c.Items, i)
	}
	f.log.Info("told-by-peer", zap.String("kind", d.Kind), zap.String("peer", from), zap.Int64("had", int64(at)),
		zap.Int64("revision", int64(d.At)), zap.Int("objects", len(d.Items)), zap.Bool("full", d.Full))
	if h.Age < heardOfLate {
		f.reached(true)
	}
	f.count("changes_told_total", "peer")
	f.take(c, d.Full)
	h.At = d.At
	f.confirm(h)
}
