package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/upstream"
)

func namedLimit(perSecond float64) *Head {
	return &Head{Status: http.StatusOK, Said: upstream.Said{Limit: upstream.Limit{Word: upstream.LimitNamed, PerSecond: perSecond}}}
}

// limitedRelay is a relay before one upstream that has named a limit, a minute ago.
func limitedRelay(t *testing.T, perSecond float64) (*Relay, *time.Time, upstream.Entry) {
	t.Helper()
	r, now, e, _ := saidRelay(t, upstream.Said{}, 0)
	r.opts.DataCentre = e.DataCentre
	r.Level()
	j := saidJob(*now)
	j.sentAt = *now
	r.hear(j, namedLimit(perSecond), e)
	*now = now.Add(time.Minute)
	return r, now, e
}

// TestRefusedAtLimit refuses what comes beyond the limit of all upstreams at once, and tells
// callers to come back at times of their own that the limit has room for.
func TestRefusedAtLimit(t *testing.T) {
	is := is.New(t)
	r, now, _ := limitedRelay(t, 2)
	served, times := 0, make(map[time.Duration]bool)
	for range 12 {
		_, refused := r.pick(saidJob(*now))
		if refused == nil {
			served++
			continue
		}
		is.Equal(refused.Kind, contract.RefusedAtLimit)
		is.Equal(refused.Outcome, contract.NotRun)
		is.True(refused.RetryAfter > 0 && refused.RetryAfter <= mostSpread)
		times[refused.RetryAfter] = true
	}
	is.Equal(served, 2)
	is.Equal(len(times), 10)
}

// TestUnsentIsGivenBack has a request that took from its upstream's limit not be sent: an
// other one may be.
func TestUnsentIsGivenBack(t *testing.T) {
	is := is.New(t)
	r, now, e := limitedRelay(t, 0)
	j := saidJob(*now)
	_, refused := r.pick(j)
	is.True(refused == nil)
	_, refused = r.pick(saidJob(*now))
	is.True(refused != nil)
	gone, cancel := context.WithCancelCause(context.Background())
	cancel(errSilent)
	_, err := r.send(gone, j, e, nil, time.Minute)
	is.True(err != nil)
	r.failed(j, err, *now)
	_, refused = r.pick(saidJob(*now))
	is.True(refused == nil)
}

// TestLimitWhileAConnectionIsAwaited has an upstream name a limit when a request has been
// given to it and waits for a connection: it is sent only as far as the limit has room.
func TestLimitWhileAConnectionIsAwaited(t *testing.T) {
	is := is.New(t)
	r, now, e, u := saidRelay(t, upstream.Said{}, 0)
	r.opts.DataCentre = e.DataCentre
	r.Level()
	early := saidJob(*now)
	_, refused := r.pick(early)
	is.True(refused == nil)
	first := saidJob(*now)
	first.sentAt = *now
	r.hear(first, namedLimit(1), e)
	_, err := r.send(context.Background(), early, e, nil, time.Minute)
	is.True(errors.Is(err, errTakesNone))
	is.Equal(len(u.Requests()), 0)
	*now = now.Add(time.Minute)
	a, err := r.send(context.Background(), early, e, nil, time.Minute)
	is.NoErr(err)
	a.close()
	is.Equal(len(u.Requests()), 1)
}

// TestLimitOfAnEarlierLife tells a VM of the limit of a life that has ended: it is not the
// new one's.
func TestLimitOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	r, _, e, _ := saidRelay(t, upstream.Said{}, 0)
	known := upstream.LimitKnown{Life: contract.Life{Upstream: e.ID, Born: e.Born + 1}, Limit: upstream.Limit{Word: upstream.LimitNamed}, Version: 1}
	r.HearLimits([]upstream.LimitKnown{known}, true, "vm2")
	is.Equal(r.Limited(), 0)
	known.Life.Born = e.Born
	r.HearLimits([]upstream.LimitKnown{known}, true, "vm2")
	is.Equal(r.Limited(), 1)
}

// TestNoEscalationWhereCallersWait keeps a poor answer where callers were told to come back
// since upstreams had all that they take: a larger model's answer would be sent in the place
// of one of theirs.
func TestNoEscalationWhereCallersWait(t *testing.T) {
	is := is.New(t)
	poor := &Head{Confidence: 0.1}
	r := testRelay()
	u := upstream.Entry{ID: "u", Service: "s", Slots: 8}
	r.SetUpstreams([]upstream.Entry{u}, nil)
	r.Level()
	j := testJob(true)
	j.service, j.weight = "s", 1
	escalates := func() bool {
		_, up := r.escalates(j, poor)
		return up
	}
	now := r.opts.Now()
	before := now.Add(-time.Minute)
	r.table.TakeLimit(u.Life(), upstream.Limit{Word: upstream.LimitNamed, PerSecond: 1000}, before, before)
	is.True(escalates())
	r.returnsOf("s").Next(1, mostSpread, 0, now)
	is.True(!escalates())
	r.table.TakeLimit(u.Life(), upstream.Limit{Word: upstream.LimitNone}, now, now)
	is.True(escalates()) // the need is over, whoever was told to come back
}
