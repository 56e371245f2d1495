package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/rollout"
)

func orderInEra(era, counter uint64, release string, state rollout.OrderState) rollout.ReleaseOrder {
	return rollout.ReleaseOrder{
		Service: "s", Name: "s", Release: release, State: state, Duration: 10 * time.Second,
		IssuedAt: time.Unix(1000, 0), StartedAt: time.Unix(1000, 0), Revision: contract.NewRevision(era, counter),
	}
}

func relayWithoutUpstreams() *Relay {
	now := time.Unix(1000, 0)
	return New(&Options{Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1})
}

// TestRolledBackOutlastsStoreReturn: an older copy of the store holds a rollout as open that was
// rolled back, and the bad release would have been tried again.
func TestRolledBackOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	r := relayWithoutUpstreams()
	r.SetOrder(orderInEra(1, 5, "v2", rollout.OrderOpen))
	r.SetOrder(orderInEra(1, 9, "v2", rollout.OrderRolledBack))
	is.Equal(len(r.Verdicts()), 0)
	r.SetOrder(orderInEra(2, 6, "v2", rollout.OrderOpen))
	is.True(r.rolledBack["s"]["v2"])
	for _, counter := range []uint64{6, 7} { // also after the operator has written the order again
		r.SetOrder(orderInEra(2, counter, "v2", rollout.OrderOpen))
		is.Equal(len(r.Verdicts()), 1) // to be written again
		is.Equal(r.Verdicts()[0].State, rollout.OrderRolledBack)
		is.Equal(r.Verdicts()[0].Order.Revision, contract.NewRevision(2, counter))
	}
	r.SetOrder(orderInEra(2, 8, "v2", rollout.OrderRolledBack))
	is.Equal(len(r.Verdicts()), 0)
}

// TestEarlierOrderDoesNotReturn: an older copy of the store holds the order before the current
// one, which would have begun anew once the operator had written it again.
func TestEarlierOrderDoesNotReturn(t *testing.T) {
	is := is.New(t)
	r := relayWithoutUpstreams()
	r.SetOrder(orderInEra(1, 5, "v2", rollout.OrderCompleted))
	r.SetOrder(orderInEra(1, 9, "v3", rollout.OrderOpen))
	r.SetOrder(orderInEra(2, 5, "v2", rollout.OrderCompleted))
	is.Equal(r.canaries["s"].Order().Release, "v3")
	r.SetOrder(orderInEra(2, 7, "v3", rollout.OrderOpen))
	is.Equal(r.canaries["s"].Order().Revision, contract.NewRevision(2, 7))
	r.SetOrder(orderInEra(2, 8, "v2", rollout.OrderOpen)) // ordered anew
	is.Equal(r.canaries["s"].Order().Release, "v2")
}
