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

// plainDialect sends requests as they are; heads say what it holds.
type plainDialect struct{ said upstream.Said }

func (plainDialect) Encode(*Request, Send) *exchange.Request {
	return &exchange.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}
}
func (plainDialect) Belongs(*Request, http.Header) bool { return true }
func (d plainDialect) Decode(status int, h http.Header) *Head {
	return &Head{Status: status, Header: h, Sealed: true, Said: d.said}
}

// saidRelay is a relay whose clock a test moves, before one upstream that answers after a
// time.
func saidRelay(t *testing.T, said upstream.Said, answersIn time.Duration) (*Relay, *time.Time, upstream.Entry, *replica.Replica) {
	t.Helper()
	u, err := replica.Start("u", func(c *replica.Conn, r *replica.Request) bool {
		time.Sleep(answersIn)
		c.Whole(http.StatusOK, r.ID(), "whole")
		return true
	})
	is.New(t).NoErr(err)
	t.Cleanup(u.Close)
	now := time.Now()
	r := New(&Options{
		Dialect: plainDialect{said}, Log: zap.NewNop(), Now: func() time.Time { return now }, VMs: func() int { return 1 }, Seed: 1,
		Budget: retry.WindowOptions{Ratio: 1, Slack: 5},
	})
	e := upstream.Entry{ID: "u", Service: "s", Address: u.Address(), DataCentre: "d", Release: "v1", Slots: 4, Born: 1}
	r.SetUpstreams([]upstream.Entry{e}, nil)
	return r, &now, e, u
}

func saidJob(now time.Time) *job {
	return &job{
		Request: &Request{ID: "r1", Route: &route.Route{Name: "r", Kind: route.Safe, MaxAttempts: 3, Objective: time.Second}, Arrived: now, Deadline: now.Add(time.Minute)},
		service: "s", outcome: contract.NotRun,
	}
}

// TestWordWhileAConnectionIsAwaited has an upstream say that it leaves between the choice of
// it and the first byte: the request does not go out, has not run, and may go elsewhere at
// no cost to the budget.
func TestWordWhileAConnectionIsAwaited(t *testing.T) {
	is := is.New(t)
	r, now, e, u := saidRelay(t, upstream.Said{}, 0)
	j := saidJob(*now)
	chosen, refused := r.pick(j)
	is.True(refused == nil)
	is.Equal(chosen.ID, e.ID)
	r.locked(func() { r.table.TakeWord(e.Life(), upstream.Said{Leaving: true}, *now) })
	_, err := r.send(context.Background(), j, chosen, nil, time.Minute)
	is.True(errors.Is(err, errTakesNone))
	r.failed(j, err, *now)
	is.Equal(j.outcome, contract.NotRun)
	is.Equal(j.sends, 0)
	left := r.BudgetLeft()
	is.Equal(r.again(j, true), retry.Reason(""))
	is.Equal(r.BudgetLeft(), left)
	is.Equal(len(u.Requests()), 0)
}

// TestWordOfAnAnswerThatIsLeft has an answer come right when its request has moved on: what
// its head says holds all the same.
func TestWordOfAnAnswerThatIsLeft(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := saidRelay(t, upstream.Said{Rest: time.Minute}, 100*time.Millisecond)
	j := saidJob(*now)
	r.hear(j, &Head{Said: upstream.Said{Rest: time.Second}}, e)
	_, err := r.send(context.Background(), j, e, nil, time.Minute)
	is.True(errors.Is(err, errTakesNone))
	*now = now.Add(time.Second)
	a, err := r.send(context.Background(), j, e, nil, time.Minute)
	is.NoErr(err)
	a.close()
	resting, _ := r.Resting()
	is.Equal(resting, 1)
	*now = now.Add(59 * time.Second)
	resting, _ = r.Resting()
	is.Equal(resting, 1)
}

// TestLongestRest bounds what is obeyed of an upstream that asks for a rest of days.
func TestLongestRest(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := saidRelay(t, upstream.Said{}, 0)
	r.opts.LongestRest = time.Minute
	j := saidJob(*now)
	r.hear(j, &Head{Said: upstream.Said{Rest: 1_000_000 * time.Second}}, e)
	_, refused := r.pick(j)
	is.True(refused != nil)
	is.True(refused.RetryAfter >= time.Minute)
	is.True(refused.RetryAfter <= time.Minute+mostSpread)
	*now = now.Add(time.Minute)
	_, refused = r.pick(j)
	is.True(refused == nil)
}

// TestReturnOfThoseTurnedAway plays 100 callers a second who are turned away for 3 s. Told to
// come back as the rest ends they are 300 at a time; they come back spread, at about the
// rate at which callers come by themselves, and none before a place may be had.
func TestReturnOfThoseTurnedAway(t *testing.T) {
	const (
		rest  = 3 * time.Second
		every = 10 * time.Millisecond
		span  = 100 * time.Millisecond
	)
	is := is.New(t)
	r, _, _, _ := saidRelay(t, upstream.Said{}, 0)
	back := make(map[time.Duration]int)
	for at := time.Duration(0); at < rest; at += every {
		after := r.backIn("s", upstream.Outlook{Listed: 1, Resting: 1, In: rest - at, Rest: rest}, retryListed, r.opts.Now())
		is.True(at+after >= rest)
		back[(at+after)/span]++
	}
	for _, n := range back {
		is.True(n <= 2*int(span/every))
	}
}

// TestNoRepeatWithoutAnUpstream checks that a request which nobody could take once more
// takes nothing out of the budget that others may want.
func TestNoRepeatWithoutAnUpstream(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := saidRelay(t, upstream.Said{}, 0)
	j := saidJob(*now)
	j.last = e
	j.note(contract.NotRun, true)
	r.hear(j, &Head{Said: upstream.Said{Rest: time.Second}}, e)
	left := r.BudgetLeft()
	is.Equal(r.again(j, true), retry.NoOther)
	is.Equal(r.BudgetLeft(), left)
	f := r.gaveUp(j, retry.NoOther, errNotRun)
	is.True(f.RetryAfter >= time.Second)
}

// TestNoEscalationWithoutAnUpstream checks that a poor answer is kept where no upstream
// would take the request of a larger model: its own one has said in that answer that it
// leaves.
func TestNoEscalationWithoutAnUpstream(t *testing.T) {
	is := is.New(t)
	poor := &Head{Confidence: 0.1, Said: upstream.Said{Leaving: true}}
	r := testRelay()
	u := upstream.Entry{ID: "u", Service: "s", Slots: 8}
	r.SetUpstreams([]upstream.Entry{u}, nil)
	j := testJob(true)
	j.service, j.weight = "s", 1
	_, up := r.escalates(j, poor)
	is.True(up)
	r.hear(j, poor, u)
	_, up = r.escalates(j, poor)
	is.True(!up)
}

// TestLoadOfAnEarlierLife has an answer come of an upstream that has started again since:
// what it tells of its load is not the new one's.
func TestLoadOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := saidRelay(t, upstream.Said{}, 0)
	again := e
	again.Born++
	r.SetUpstreams([]upstream.Entry{again}, nil)
	j := saidJob(*now)
	r.table.Held(time.Second) // so that a line takes time
	r.locked(func() { r.answered(j, &Head{Status: http.StatusOK, Load: &Load{Running: 500}}, e) })
	estimate, ok := r.table.Best(upstream.Query{Kind: config.EnginePool, DataCentre: e.DataCentre}, *now, r.random)
	is.True(ok)
	is.Equal(estimate.Wait, time.Duration(0))
}

// TestLeavingEndsAsPlanned checks that the end of an upstream which has said that it leaves
// is no crash under what it runs.
func TestLeavingEndsAsPlanned(t *testing.T) {
	is := is.New(t)
	r, now, e, _ := saidRelay(t, upstream.Said{}, 0)
	r.locked(func() { is.True(r.mayCrash(e)) })
	r.hear(saidJob(*now), &Head{Said: upstream.Said{Leaving: true}}, e)
	r.locked(func() { is.True(!r.mayCrash(e)) })
}
