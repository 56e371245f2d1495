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

func evacuationItem(dc string, revision contract.Revision) Item[Evacuation] {
	return Item[Evacuation]{RawObject: RawObject{Name: dc, Revision: revision}, Value: Evacuation{DataCentre: contract.DataCentreID(dc)}}
}

// TestOlderListKeepsEvacuation checks that a list made before an evacuation was requested
// does not end it, and that a later list without it does.
func TestOlderListKeepsEvacuation(t *testing.T) {
	is := is.New(t)
	s := testSite()
	s.applyEvacuations(Changes[Evacuation]{Revision: 5, Items: []Item[Evacuation]{evacuationItem("d", 5)}}, false)
	is.Equal(len(s.opts.Relay.Evacuations()), 1)
	s.applyEvacuations(Changes[Evacuation]{Revision: 4}, true)
	is.Equal(len(s.opts.Relay.Evacuations()), 1)
	s.applyEvacuations(Changes[Evacuation]{Revision: 6, Items: []Item[Evacuation]{evacuationItem("e", 6)}}, true)
	got := s.opts.Relay.Evacuations()
	is.Equal(len(got), 1)
	is.Equal(got[0].DataCentre, contract.DataCentreID("e"))
}

// TestEvacuationOutlastsStoreReturn: an older copy of the store lacks an evacuation that is in
// force, and its data centre would have got requests until it was written again.
func TestEvacuationOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	s := testSite()
	now := time.Unix(1000, 0)
	s.opts.Now = func() time.Time { return now }
	apply := func(revision contract.Revision, items ...Item[Evacuation]) {
		s.applyEvacuations(Changes[Evacuation]{Items: items, Revision: revision}, true)
	}
	apply(contract.NewRevision(1, 9), evacuationItem("d1", contract.NewRevision(1, 9)), evacuationItem("d2", contract.NewRevision(1, 8)))
	apply(contract.NewRevision(2, 5))
	apply(contract.NewRevision(2, 5)) // listed once more
	is.Equal(len(s.activeEvacuations), 2)
	s.applyEvacuations(Changes[Evacuation]{Items: []Item[Evacuation]{evacuationItem("d1", contract.NewRevision(2, 6))}, Revision: contract.NewRevision(2, 6)}, false)
	now = now.Add(evacuationHold)
	s.expireEvacuations()
	is.Equal(len(s.activeEvacuations), 1)
	is.Equal(s.activeEvacuations["d1"].revision, contract.NewRevision(2, 6))
}

// TestMalformedObjectIsLoggedOnce checks that an object that cannot be decoded is logged
// once, and once more when it can be decoded again. Another program may write such an
// object often.
func TestMalformedObjectIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zap.InfoLevel)
	f := &follower[Evacuation]{
		source: namedSource{}, log: zap.New(core), registry: metrics.NewRegistry(), cache: NewObjectCache("k"),
		decodeErrors: make(map[string]string), apply: func(Changes[Evacuation], bool) {},
	}
	apply := func(revision contract.Revision, err error) {
		i := evacuationItem("d", revision)
		i.Err = err
		f.applyChanges(Changes[Evacuation]{Revision: revision, Items: []Item[Evacuation]{i}}, revision == 1)
	}
	malformed := contract.WrapStep(contract.StepPlatform, "d", ErrNotFound)
	apply(1, malformed)
	apply(2, malformed)
	apply(3, malformed)
	is.Equal(logged.FilterMessage("object-malformed").Len(), 1)
	apply(4, nil)
	apply(5, nil)
	is.Equal(logged.FilterMessage("object-understood").Len(), 1)
	is.Equal(logged.Len(), 2)
}

// namedSource is a source that only has a name.
type namedSource struct{ Source[Evacuation] }

func (namedSource) Name() string { return "k" }

func (namedSource) Decode(raw RawObject) (Evacuation, error) { return Evacuation{}, nil }
