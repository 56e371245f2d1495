package site

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// confirmFromPeer applies a peer's status of this kind of objects,
// and reports whether the other VMs of this data centre should learn of that status.
func (f *follower[T]) confirmFromPeer(status KindStatus) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cache.Confirm(status.Revision)
	now := f.now()
	wasWatching := f.election.watching
	newest, active := status.confirmations(now)
	changed := f.election.RecordPeerStatus(newest, active, now)
	if wasWatching && !f.election.watching {
		f.log.Info("watch-ends", zap.String("kind", f.source.Name()), zap.String("watcher", string(status.ActiveWatcher.VM)), zap.Duration("age", status.ActiveWatcherAge.Round(time.Millisecond)))
	}
	return changed
}

// status returns the status of this kind of objects that is sent to peers.
func (f *follower[T]) status() (KindStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, known := f.cache.Revision()
	now := f.now()
	status := KindStatus{Kind: f.source.Name(), LastChange: f.cache.LastChange(), Revision: revision}
	return status.withConfirmations(f.election.newest, f.election.activeWatcher(now), now), known
}

// isWatching reports whether this VM watches the store on behalf of its peers.
func (f *follower[T]) isWatching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.election.watching
}

// compareWithPeer compares a peer's status with the state of this VM,
// and applies the peer's status if this VM is up to date.
func (f *follower[T]) compareWithPeer(status KindStatus) Comparison {
	revision, known := f.revision()
	if !known || status.LastChange > revision {
		return Comparison{Behind: true, Request: ChangesRequest{Kind: status.Kind, After: revision, Known: known}}
	}
	confirmedLater := f.confirmFromPeer(status)
	if status.Age < storeReachableWithin {
		f.onStoreCall(true)
	}
	return Comparison{ConfirmedLater: confirmedLater}
}

// changesSince returns the changes of objects that a peer lacks.
func (f *follower[T]) changesSince(after contract.Revision, known bool) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.Since(after, known)
}

// applyFromPeer applies a delta (a set of changes of objects) received from a peer.
func (f *follower[T]) applyFromPeer(d Delta, status KindStatus, from string) {
	revision, known := f.revision()
	if known && d.Revision <= revision || !known && !d.Full {
		return
	}
	c := Changes[T]{Revision: d.Revision}
	for _, raw := range d.Items {
		i := Item[T]{RawObject: raw}
		if !raw.Deleted {
			i.Value, i.Err = f.source.Decode(raw)
		}
		c.Items = append(c.Items, i)
	}
	f.log.Info("told-by-peer", zap.String("kind", d.Kind), zap.String("peer", from), zap.Stringer("had", revision),
		zap.Stringer("revision", d.Revision), zap.Int("objects", len(d.Items)), zap.Bool("full", d.Full))
	if status.Age < storeReachableWithin {
		f.onStoreCall(true)
	}
	f.count("changes_told_total", "peer")
	f.applyChanges(c, d.Full)
	status.Revision = d.Revision
	f.confirmFromPeer(status)
}
