package site

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// TestListStopsOncePeerSentAll checks that a VM that has applied the first page of a long
// list stops reading once a peer has sent the whole list.
func TestListStopsOncePeerSentAll(t *testing.T) {
	is := is.New(t)
	firstPageItems, sendFromPeer := 0, func() {}
	f := &follower[Evacuation]{
		source: namedSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), cache: NewObjectCache("k"), election: NewWatcherElection(Watcher{VM: "v"}, testTiming, time.Time{}),
		decodeErrors: make(map[string]string), apply: func(Changes[Evacuation], bool) {}, onStoreCall: func(bool) {}, now: time.Now,
	}
	f.applyFirstPage = func(c Changes[Evacuation]) {
		firstPageItems += len(c.Items)
		sendFromPeer = func() {
			f.applyFromPeer(Delta{Kind: "k", Full: true, Revision: 5, Items: []RawObject{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}}}, KindStatus{Revision: 5}, "peer")
		}
	}
	page := Changes[Evacuation]{Revision: 4, Items: []Item[Evacuation]{evacuationItem("a", 1)}}
	is.True(f.acceptPage(page, true))
	is.Equal(firstPageItems, 1)
	sendFromPeer()
	is.True(!f.acceptPage(page, true))
	revision, known := f.revision()
	is.True(known)
	is.Equal(int(revision), 5)
	f.relist = true
	is.True(f.acceptPage(page, true)) // a list read again is read to the end
	is.Equal(firstPageItems, 1)
}

// TestStoppedListIsNoStoreFailure checks that a list that was stopped early does not
// count as a failed store call.
func TestStoppedListIsNoStoreFailure(t *testing.T) {
	is := is.New(t)
	storeFailed := false
	f := &follower[Evacuation]{
		source: stoppedSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), cache: NewObjectCache("k"), election: NewWatcherElection(Watcher{VM: "v"}, testTiming, time.Time{}),
		onStoreCall: func(ok bool) { storeFailed = storeFailed || !ok }, now: time.Now,
	}
	is.NoErr(f.syncOnce(context.Background()))
	is.True(!storeFailed)
}

// stoppedSource stops each list early.
type stoppedSource struct{ namedSource }

func (stoppedSource) List(context.Context, func(Changes[Evacuation], bool) bool) (Changes[Evacuation], error) {
	return Changes[Evacuation]{}, errors.Join(ErrStopListing)
}
