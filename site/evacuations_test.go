package site

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woaddoor/contract"
	"woaddoor/relay"
)

func testSite() *Site {
	now := func() time.Time { return time.Unix(1000, 0) }
	r := relay.New(&relay.Options{Log: zap.NewNop(), Now: now, VMs: func() int { return 1 }, Seed: 1})
	return New(&Options{Relay: r, Log: zap.NewNop(), Now: now})
}

func asked(dc string, at contract.Revision) Item[Evacuation] {
	return Item[Evacuation]{Raw: Raw{Name: dc, Revision: at}, Value: Evacuation{DataCentre: contract.DataCentreID(dc)}}
}

// TestEvacuationOlderList checks that a list made before an evacuation was asked for
// does not end it, and a later one without it does.
func TestEvacuationOlderList(t *testing.T) {
	is := is.New(t)
	s := testSite()
	s.applyEvacuations(Changes[Evacuation]{Revision: 5, Items: []Item[Evacuation]{asked("d", 5)}}, false)
	is.Equal(len(s.opts.Relay.Evacuated()), 1)
	s.applyEvacuations(Changes[Evacuation]{Revision: 4}, true)
	is.Equal(len(s.opts.Relay.Evacuated()), 1)
	s.applyEvacuations(Changes[Evacuation]{Revision: 6, Items: []Item[Evacuation]{asked("e", 6)}}, true)
	got := s.opts.Relay.Evacuated()
	is.Equal(len(got), 1)
	is.Equal(got[0].DataCentre, contract.DataCentreID("e"))
}

// TestMalformedIsToldOnce checks that an object which cannot be understood is logged
// once, and once when it can be again: another writer may write it often.
func TestMalformedIsToldOnce(t *testing.T) {
	is := is.New(t)
	core, seen := observer.New(zap.InfoLevel)
	f := &follower[Evacuation]{
		source: namedSource{}, log: zap.New(core), registry: metrics.NewRegistry(), ledger: NewLedger("k"),
		malformed: make(map[string]string), apply: func(Changes[Evacuation], bool) {},
	}
	take := func(at contract.Revision, err error) {
		i := asked("d", at)
		i.Err = err
		f.take(Changes[Evacuation]{Revision: at, Items: []Item[Evacuation]{i}}, at == 1)
	}
	bad := contract.Fail(contract.StepPlatform, "d", ErrNotFound)
	take(1, bad)
	take(2, bad)
	take(3, bad)
	is.Equal(seen.FilterMessage("object-malformed").Len(), 1)
	take(4, nil)
	take(5, nil)
	is.Equal(seen.FilterMessage("object-understood").Len(), 1)
	is.Equal(seen.Len(), 2)
}

// namedSource is a source of which only the name is asked.
type namedSource struct{ Source[Evacuation] }

func (namedSource) Name() string { return "k" }

func (namedSource) Decode(raw Raw) (Evacuation, error) { return Evacuation{}, nil }
