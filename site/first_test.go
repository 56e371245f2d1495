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

// TestRestIsNotReadWhenTold checks that a VM which has the first part of a long list in
// use does not read the rest once another VM has told it all.
func TestRestIsNotReadWhenTold(t *testing.T) {
	is := is.New(t)
	early, told := 0, func() {}
	f := &follower[Evacuation]{
		source: namedSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), ledger: NewLedger("k"), duty: NewDuty(Watcher{VM: "v"}, testTiming, time.Time{}),
		malformed: make(map[string]string), apply: func(Changes[Evacuation], bool) {}, reached: func(bool) {}, now: time.Now,
	}
	f.early = func(c Changes[Evacuation]) {
		early += len(c.Items)
		told = func() {
			f.feed(Delta{Kind: "k", Full: true, At: 5, Items: []Raw{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}}}, Have{At: 5}, "peer")
		}
	}
	part := Changes[Evacuation]{Revision: 4, Items: []Item[Evacuation]{asked("a", 1)}}
	is.True(f.page(part, true))
	is.Equal(early, 1)
	told()
	is.True(!f.page(part, true))
	at, known := f.have()
	is.True(known)
	is.Equal(int(at), 5)
	f.relist = true
	is.True(f.page(part, true)) // a list that is read again is read whole
	is.Equal(early, 1)
}

// TestEnoughIsNoFailure checks that a list of which the rest was not wanted does not
// count as a store that is away.
func TestEnoughIsNoFailure(t *testing.T) {
	is := is.New(t)
	lost := false
	f := &follower[Evacuation]{
		source: enoughSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), ledger: NewLedger("k"), duty: NewDuty(Watcher{VM: "v"}, testTiming, time.Time{}),
		reached: func(ok bool) { lost = lost || !ok }, now: time.Now,
	}
	is.NoErr(f.step(context.Background()))
	is.True(!lost)
}

// enoughSource ends each list early.
type enoughSource struct{ namedSource }

func (enoughSource) List(context.Context, func(Changes[Evacuation], bool) bool) (Changes[Evacuation], error) {
	return Changes[Evacuation]{}, errors.Join(ErrEnough)
}
