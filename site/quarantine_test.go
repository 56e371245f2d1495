package site

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/vm"
)

// recordingQuarantineStore records the fingerprints that are added.
type recordingQuarantineStore struct {
	QuarantineStore
	added []quarantine.Fingerprint
}

func (s *recordingQuarantineStore) PutQuarantined(_ context.Context, c quarantine.QuarantinedContent) error {
	s.added = append(s.added, c.Fingerprint)
	return nil
}

// TestObserverStoresQuarantineAtOnce guards against a loss of all VMs, 145 ms after all of them knew
// that a content is quarantined, releasing the content because no VM had written it to the store yet.
func TestObserverStoresQuarantineAtOnce(t *testing.T) {
	for observer, want := range map[contract.VMID]int{"b": 1, "a": 0} {
		t.Run(string(observer), func(t *testing.T) {
			is := is.New(t)
			now := func() time.Time { return time.Unix(1000, 0) }
			peers, _ := idlePeers(t, vm.Member{VM: "b", DataCentre: "d", ControlAddress: "10.0.0.2:1", Incarnation: 1})
			for _, m := range members("d", 8) {
				peers.table.ApplyHeartbeat(m, peers.now())
			}
			peers.viewStale.Store(true)
			is.True(writeDelayFor(peers.Rank()) > 0)
			woken := 0
			r := relay.New(&relay.Options{Log: zap.NewNop(), Now: now, VMs: func() int { return 2 }, Seed: 1, OnQuarantined: func() { woken++ }})
			store := &recordingQuarantineStore{}
			s := New(&Options{VM: "b", Relay: r, Peers: peers, QuarantineStore: store, Log: zap.NewNop(), Now: now})
			content := quarantine.Fingerprint{1}
			r.MergeSuspects([]quarantine.Update{{Fingerprint: content, About: quarantine.Source{ObservedBy: observer}, Quarantined: true}}, "a")
			is.Equal(woken, 1)
			s.writeQuarantineUpdates(t.Context(), make(map[writeKey]*pendingWrite))
			is.Equal(len(store.added), want)
		})
	}
}
