package site

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
)

// newTestFollower returns a follower of a VM without peers that reads the time from now.
func newTestFollower(id contract.VMID, rank Rank, now func() time.Time) *follower[Evacuation] {
	return &follower[Evacuation]{
		source: namedSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), cache: NewObjectCache("k"), now: now,
		election:     NewWatcherElection(Watcher{VM: id}, testTiming, time.Time{}),
		decodeErrors: make(map[string]string), apply: func(Changes[Evacuation], bool) {}, applyFirstPage: func(Changes[Evacuation]) {},
		onStoreCall: func(bool) {}, announceChange: func() {}, announceNoChange: func() {},
		rank: func() Rank { return rank },
	}
}

// TestConfirmationAgesWhilePassedOn: VMs that passed a confirmation on to each other took
// it for a new one each time, so that no VM noticed the loss of the watcher.
func TestConfirmationAgesWhilePassedOn(t *testing.T) {
	is := is.New(t)
	const messageDelay = 20 * time.Millisecond
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	watcher := newTestFollower("watcher", Rank{}, clock)
	a, b := newTestFollower("a", Rank{}, clock), newTestFollower("b", Rank{DataCentre: 1}, clock)
	watcher.applyFromStore(Changes[Evacuation]{Revision: 5}, true)
	last, _ := watcher.status() // the watcher ends after this message
	for _, f := range []*follower[Evacuation]{a, b} {
		f.applyFromPeer(Delta{Kind: "k", Full: true, Revision: 5}, last, "watcher")
	}
	confirmedAt := now
	for !a.shouldWatch() && !b.shouldWatch() {
		is.True(now.Sub(confirmedAt) < testTiming.StaleAfter+testTiming.RankStep) // no VM watches the store
		fromA, _ := a.status()
		now = now.Add(messageDelay)
		b.compareWithPeer(fromA)
		fromB, _ := b.status()
		now = now.Add(messageDelay)
		a.compareWithPeer(fromB)
	}
}
