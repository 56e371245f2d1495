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

func headWithLimit(perSecond float64) *ResponseHead {
	return &ResponseHead{Status: http.StatusOK, Notices: upstream.Notices{Limit: upstream.RateLimit{Statement: upstream.LimitStated, PerSecond: perSecond}}}
}

// newLimitedRelay returns a relay with one upstream that stated a rate limit a minute ago.
func newLimitedRelay(t *testing.T, perSecond float64) (*Relay, *time.Time, upstream.Entry) {
	t.Helper()
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	r.opts.DataCentre = e.DataCentre
	r.Refresh()
	j := newSafeJob(*now)
	j.sentAt = *now
	r.recordNotices(j, headWithLimit(perSecond), e)
	*now = now.Add(time.Minute)
	return r, now, e
}

// TestRefusalAtLimitSpreadsRetries checks that requests beyond the rate limits of all
// upstreams are refused at once, and that each refusal has its own retry time within the
// limits.
func TestRefusalAtLimitSpreadsRetries(t *testing.T) {
	is := is.New(t)
	r, now, _ := newLimitedRelay(t, 2)
	served, times := 0, make(map[time.Duration]bool)
	for range 12 {
		_, refused := r.selectUpstream(newSafeJob(*now))
		if refused == nil {
			served++
			continue
		}
		is.Equal(refused.Kind, contract.RefusedUpstreamsAtLimit)
		is.Equal(refused.Outcome, contract.OutcomeNotRun)
		is.True(refused.RetryAfter > 0 && refused.RetryAfter <= maxRetrySpread)
		times[refused.RetryAfter] = true
	}
	is.Equal(served, 2)
	is.Equal(len(times), 10)
}

// TestUnsentRequestReleasesLimitClaim checks that a request that was selected for an upstream
// with a rate limit but not sent leaves its part of the rate limit to another request.
func TestUnsentRequestReleasesLimitClaim(t *testing.T) {
	is := is.New(t)
	r, now, e := newLimitedRelay(t, 0)
	j := newSafeJob(*now)
	_, refused := r.selectUpstream(j)
	is.True(refused == nil)
	_, refused = r.selectUpstream(newSafeJob(*now))
	is.True(refused != nil)
	canceled, cancel := context.WithCancelCause(context.Background())
	cancel(errSilent)
	_, err := r.send(canceled, j, e, time.Minute)
	is.True(err != nil)
	r.recordSendFailure(j, err, *now)
	_, refused = r.selectUpstream(newSafeJob(*now))
	is.True(refused == nil)
}

// TestLimitStatedWhileConnecting checks that a request waiting for a connection is sent only
// within a rate limit that its upstream states in the meantime.
func TestLimitStatedWhileConnecting(t *testing.T) {
	is := is.New(t)
	r, now, e, u := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	r.opts.DataCentre = e.DataCentre
	r.Refresh()
	early := newSafeJob(*now)
	_, refused := r.selectUpstream(early)
	is.True(refused == nil)
	first := newSafeJob(*now)
	first.sentAt = *now
	r.recordNotices(first, headWithLimit(1), e)
	_, err := r.send(context.Background(), early, e, time.Minute)
	is.True(errors.Is(err, errUnavailableMeanwhile))
	is.Equal(len(u.Requests()), 0)
	*now = now.Add(time.Minute)
	a, err := r.send(context.Background(), early, e, time.Minute)
	is.NoErr(err)
	a.close()
	is.Equal(len(u.Requests()), 1)
}

// TestLimitOfOtherInstanceIgnored checks that a rate limit that another VM reports for a
// different instance of an upstream is not applied to the listed instance.
func TestLimitOfOtherInstanceIgnored(t *testing.T) {
	is := is.New(t)
	r, _, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	known := upstream.LimitUpdate{Instance: contract.UpstreamInstance{Upstream: e.ID, Incarnation: e.Incarnation + 1}, Limit: upstream.RateLimit{Statement: upstream.LimitStated}, Version: 1}
	r.MergeLimits([]upstream.LimitUpdate{known}, true, "vm2")
	is.Equal(r.CountLimited(), 0)
	known.Instance.Incarnation = e.Incarnation
	r.MergeLimits([]upstream.LimitUpdate{known}, true, "vm2")
	is.Equal(r.CountLimited(), 1)
}

// TestNoEscalationWhileRefusedCallersWait checks that a poor answer is kept while refused
// callers wait to retry because the upstreams are at their rate limits. A larger model's
// answer would displace one of their requests.
func TestNoEscalationWhileRefusedCallersWait(t *testing.T) {
	is := is.New(t)
	poor := &ResponseHead{Confidence: 0.1}
	r := newTestRelay()
	u := upstream.Entry{ID: "u", Service: "s", Slots: 8}
	r.SetUpstreams([]upstream.Entry{u}, nil)
	r.Refresh()
	j := newStreamJob(true)
	j.service, j.relativeValue = "s", 1
	escalates := func() bool {
		_, escalated := r.decideEscalation(j, poor)
		return escalated
	}
	now := r.opts.Now()
	before := now.Add(-time.Minute)
	r.table.ApplyLimitAnswer(u.Instance(), upstream.RateLimit{Statement: upstream.LimitStated, PerSecond: 1000}, before, before)
	is.True(escalates())
	r.retrySchedule("s").NextDelay(1, maxRetrySpread, 0, now)
	is.True(!escalates())
	r.table.ApplyLimitAnswer(u.Instance(), upstream.RateLimit{Statement: upstream.LimitNone}, now, now)
	is.True(escalates()) // without a limit, waiting callers no longer matter
}
