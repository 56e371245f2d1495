package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/internal/standin/replica"
	"woaddoor/retry"
	"woaddoor/route"
	"woaddoor/upstream"
)

// plainProtocol is an UpstreamProtocol that sends a fixed request and adds its notices to the
// head of every answer.
type plainProtocol struct{ notices upstream.Notices }

func (plainProtocol) Encode(*Request, Send) *exchange.Request {
	return &exchange.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}
}
func (plainProtocol) Matches(*Request, http.Header) bool { return true }
func (d plainProtocol) Decode(status int, h http.Header) *ResponseHead {
	return &ResponseHead{Status: status, Header: h, Signed: true, Notices: d.notices}
}

// newSingleUpstreamRelay returns a relay with a clock that the test controls, and one upstream that
// answers after a delay.
func newSingleUpstreamRelay(t *testing.T, notices upstream.Notices, delay time.Duration) (*Relay, *time.Time, upstream.Entry, *replica.Replica) {
	t.Helper()
	replicaServer, err := replica.Start("u", func(c *replica.Conn, r *replica.Request) bool {
		time.Sleep(delay)
		c.Respond(http.StatusOK, r.ID(), "whole")
		return true
	})
	is.New(t).NoErr(err)
	t.Cleanup(replicaServer.Close)
	now := time.Now()
	r := New(&Options{
		Protocol: plainProtocol{notices}, Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1,
		Budget: retry.ResendWindowOptions{Ratio: 1, Slack: 5},
	})
	e := upstream.Entry{ID: "u", Service: "s", Address: replicaServer.Address(), DataCentre: "d", Release: "v1", Slots: 4, Incarnation: 1}
	r.SetUpstreams([]upstream.Entry{e}, nil)
	return r, &now, e, replicaServer
}

func newSafeJob(now time.Time) *job {
	return &job{
		Request: &Request{ID: "r1", Route: &route.Route{Name: "r", Kind: route.Safe, MaxAttempts: 3, Objective: time.Second}, Arrived: now, Deadline: now.Add(time.Minute)},
		service: "s", execution: newExecution(),
	}
}

// TestLeavingAnnouncedWhileConnecting checks the case that an upstream announces its shutdown
// after it was selected and before the first byte is sent. The request is not sent, counts as
// not executed, and may be retried elsewhere without using the retry budget.
func TestLeavingAnnouncedWhileConnecting(t *testing.T) {
	is := is.New(t)
	r, now, e, u := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	j := newSafeJob(*now)
	chosen, refused := r.selectUpstream(j)
	is.True(refused == nil)
	is.Equal(chosen.ID, e.ID)
	r.withLock(func() { r.table.ApplyNotices(e.Instance(), upstream.Notices{Leaving: true}, *now) })
	_, err := r.send(context.Background(), j, chosen, time.Minute)
	is.True(errors.Is(err, errUnavailableMeanwhile))
	r.recordSendFailure(j, err, *now)
	is.Equal(j.outcome(), contract.OutcomeNotRun)
	is.Equal(j.sends, 0)
	left := r.BudgetLeft()
	is.Equal(r.checkRetry(j, true), retry.Reason(""))
	is.Equal(r.BudgetLeft(), left)
	is.Equal(len(u.Requests()), 0)
}

// TestBackoffOfAbandonedAnswerApplies checks that a back-off requested in the head of an
// answer applies even if the answer is discarded.
func TestBackoffOfAbandonedAnswerApplies(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{Backoff: time.Minute}, 100*time.Millisecond)
	j := newSafeJob(*now)
	r.recordNotices(j, &ResponseHead{Notices: upstream.Notices{Backoff: time.Second}}, e)
	_, err := r.send(context.Background(), j, e, time.Minute)
	is.True(errors.Is(err, errUnavailableMeanwhile))
	*now = now.Add(time.Second)
	a, err := r.send(context.Background(), j, e, time.Minute)
	is.NoErr(err)
	a.close()
	backedOff, _ := r.CountBackedOff()
	is.Equal(backedOff, 1)
	*now = now.Add(59 * time.Second)
	backedOff, _ = r.CountBackedOff()
	is.Equal(backedOff, 1)
}

// TestBackoffIsCapped checks that a back-off of several days is capped at MaxBackoff.
func TestBackoffIsCapped(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	r.opts.MaxBackoff = time.Minute
	j := newSafeJob(*now)
	r.recordNotices(j, &ResponseHead{Notices: upstream.Notices{Backoff: 1_000_000 * time.Second}}, e)
	_, refused := r.selectUpstream(j)
	is.True(refused != nil)
	is.True(refused.RetryAfter >= time.Minute)
	is.True(refused.RetryAfter <= time.Minute+maxRetrySpread)
	*now = now.Add(time.Minute)
	_, refused = r.selectUpstream(j)
	is.True(refused == nil)
}

// TestRetriesSpreadAfterBackoff refuses 100 callers a second during a back-off of 3 s. If all of
// them retried at the end of the back-off, 300 requests would arrive at once. The test checks
// that they retry at about the rate at which new requests arrive, and not before the back-off
// ends.
func TestRetriesSpreadAfterBackoff(t *testing.T) {
	const (
		backoff  = 3 * time.Second
		interval = 10 * time.Millisecond
		bucket   = 100 * time.Millisecond
	)
	is := is.New(t)
	r, _, _, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	retries := make(map[time.Duration]int)
	for at := time.Duration(0); at < backoff; at += interval {
		after := r.retryAfter("s", upstream.Outlook{Listed: 1, BackedOff: 1, NextBackoffEnd: backoff - at, NextBackoffLength: backoff}, retryAfterListUpdate, r.opts.Now())
		is.True(at+after >= backoff)
		retries[(at+after)/bucket]++
	}
	for _, n := range retries {
		is.True(n <= 2*int(bucket/interval))
	}
}

// TestNoRetryBudgetUsedWithoutUpstream checks that a request that no upstream can accept does
// not consume retry budget that other requests may need.
func TestNoRetryBudgetUsedWithoutUpstream(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	j := newSafeJob(*now)
	j.lastUpstream = e
	j.recordFailure(contract.OutcomeNotRun, true)
	r.recordNotices(j, &ResponseHead{Notices: upstream.Notices{Backoff: time.Second}}, e)
	left := r.BudgetLeft()
	is.Equal(r.checkRetry(j, true), retry.NoOtherUpstream)
	is.Equal(r.BudgetLeft(), left)
	f := r.refuseAfterFailures(j, retry.NoOtherUpstream, errNotRun)
	is.True(f.RetryAfter >= time.Second)
}

// TestNoEscalationWithoutUpstream checks that a poor answer is kept if no upstream would
// accept the request for a larger model: the only upstream has announced its shutdown in that
// answer.
func TestNoEscalationWithoutUpstream(t *testing.T) {
	is := is.New(t)
	poor := &ResponseHead{Confidence: 0.1, Notices: upstream.Notices{Leaving: true}}
	r := newTestRelay()
	u := upstream.Entry{ID: "u", Service: "s", Slots: 8}
	r.SetUpstreams([]upstream.Entry{u}, nil)
	j := newStreamJob(true)
	j.service, j.relativeValue = "s", 1
	_, escalated := r.decideEscalation(j, poor)
	is.True(escalated)
	r.recordNotices(j, poor, u)
	_, escalated = r.decideEscalation(j, poor)
	is.True(!escalated)
}

// TestLoadOfEarlierInstanceIgnored checks that the load reported in an answer is ignored if the
// upstream has restarted since it sent the answer.
func TestLoadOfEarlierInstanceIgnored(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	restarted := e
	restarted.Incarnation++
	r.SetUpstreams([]upstream.Entry{restarted}, nil)
	j := newSafeJob(*now)
	r.table.RecordDecodeTime(time.Second) // so that the wait in a queue is not zero
	r.withLock(func() { r.recordHead(j, &ResponseHead{Status: http.StatusOK, Load: &Load{Running: 500}}, e) })
	estimate, ok := r.table.EstimateBest(upstream.Query{Kind: config.EnginePool, DataCentre: e.DataCentre}, *now, r.random)
	is.True(ok)
	is.Equal(estimate.Wait, time.Duration(0))
}

// TestPlannedEndIsNoCrash checks that the end of an upstream that has announced its shutdown
// does not count as a crash caused by its requests.
func TestPlannedEndIsNoCrash(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := newSingleUpstreamRelay(t, upstream.Notices{}, 0)
	r.withLock(func() { is.True(r.endIsUnplanned(e)) })
	r.recordNotices(newSafeJob(*now), &ResponseHead{Notices: upstream.Notices{Leaving: true}}, e)
	r.withLock(func() { is.True(!r.endIsUnplanned(e)) })
}
