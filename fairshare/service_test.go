package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

const testObjective = time.Second

func request(workspace string) Request {
	return Request{Class: Class{Workspace: contract.WorkspaceID(workspace)}, Work: 1, Objective: testObjective, Remaining: 20 * time.Second, Jitter: func() float64 { return 0 }}
}

// full are upstreams without free slots, at which a request would begin after the given part of
// its objective.
func full(part float64) Upstreams {
	begin := time.Duration(part * float64(testObjective))
	return Upstreams{Slots: 100, SlotsInUse: 100, Estimated: true, Wait: begin, Begin: begin}
}

// decideAll makes n decisions, a time apart, and returns how many requests are refused. Admitted
// requests are counted as such. now is advanced.
func decideAll(s *Service, r Request, u Upstreams, n int, apart time.Duration, now *time.Time) (refused int) {
	for range n {
		*now = now.Add(apart)
		if d := s.Decide(r, u, nil, *now); d.Refused {
			refused++
		} else {
			s.Admitted(r.Class, r.Work, *now)
		}
	}
	return refused
}

// newShortService returns a service whose upstreams have just become short.
func newShortService(now *time.Time) *Service {
	s := NewService()
	decideAll(s, request("a"), full(1.2), 100, 10*time.Millisecond, now)
	return s
}

// TestShortNeedsEvidence guards against refusals because of a single late estimate, of a few
// within a moment, of late ones between others, while half of the slots are free, or while
// requests could begin in time.
func TestShortNeedsEvidence(t *testing.T) {
	halfFree := full(2)
	halfFree.SlotsInUse = 49
	unknown := full(2)
	unknown.Estimated = false
	for name, c := range map[string]struct {
		estimates []Upstreams
		apart     time.Duration
		short     bool
	}{
		"late for long":         {[]Upstreams{full(1.1)}, 100 * time.Millisecond, true},
		"late for a moment":     {[]Upstreams{full(1.1), full(1.1), full(1.1), full(1.1), full(0.9)}, 20 * time.Millisecond, false},
		"seldom late":           {[]Upstreams{full(2), full(0.9)}, 500 * time.Millisecond, false},
		"rare requests":         {[]Upstreams{full(2)}, 3 * time.Second, false},
		"in time":               {[]Upstreams{full(0.99)}, 100 * time.Millisecond, false},
		"half of slots free":    {[]Upstreams{halfFree}, 100 * time.Millisecond, false},
		"no upstream available": {[]Upstreams{unknown}, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now, short := NewService(), time.Unix(1000, 0), false
			for n := range 60 {
				now = now.Add(c.apart)
				short = s.Decide(request("a"), c.estimates[n%len(c.estimates)], nil, now).Short || short
			}
			is.Equal(short, c.short)
		})
	}
}

// TestShortHasHysteresis checks that a shortage lasts while requests begin just in time, ends when
// they begin well in time, and that a request that would begin well in time, or has no objective,
// is not refused meanwhile.
func TestShortHasHysteresis(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShortService(&now)
	is.True(decideAll(s, request("a"), full(0.95), 600, 10*time.Millisecond, &now) > 0)
	is.True(s.shortage.short)
	s.SetOthers(ServiceDemand{Classes: Demand{request("a").Class: {Offered: 1e6}}}, now) // the share is used up
	s.Refresh(nil, now)
	is.Equal(decideAll(s, request("a"), full(0.75), 5, time.Millisecond, &now), 0)
	is.True(s.shortage.short) // few estimates do not end it
	is.True(decideAll(s, request("a"), full(0.95), 5, time.Millisecond, &now) > 0)
	withoutObjective := request("a")
	withoutObjective.Objective = 0
	is.Equal(decideAll(s, withoutObjective, full(2), 20, time.Millisecond, &now), 0)
	decideAll(s, request("a"), full(0.5), 100, 20*time.Millisecond, &now)
	is.True(!s.shortage.short)
}

// TestShortageEndsWithoutRequests guards against a service that stays short for ever because no
// request comes that would show the end of the shortage.
func TestShortageEndsWithoutRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShortService(&now)
	is.True(!s.Refresh(nil, now.Add(maxGap)))
	is.True(s.shortage.short)
	is.True(s.Refresh(nil, now.Add(maxGap+time.Millisecond)))
	is.True(!s.shortage.short)
	is.True(!s.Refresh(nil, now.Add(2*maxGap))) // the end is reported once
}

// TestLongestObjectiveDecides guards against urgent requests with a short objective being refused
// because of the queue of others, which the engines begin after them.
func TestLongestObjectiveDecides(t *testing.T) {
	is := is.New(t)
	s, now := NewService(), time.Unix(1000, 0)
	slow := request("a")
	slow.Objective = 4 * testObjective
	for range 3 {
		is.Equal(decideAll(s, slow, full(2), 1, 20*time.Millisecond, &now), 0)
		is.Equal(decideAll(s, request("a"), full(2), 50, 20*time.Millisecond, &now), 0)
		is.True(!s.shortage.short)
	}
}

// TestOtherVMsEvidenceCounts guards against VMs with few requests never dividing the capacity,
// and against another VM's evidence alone causing refusals.
func TestOtherVMsEvidenceCounts(t *testing.T) {
	is := is.New(t)
	s, now := NewService(), time.Unix(1000, 0)
	s.SetOthers(ServiceDemand{Pressure: Short}, now)
	is.True(!s.Decide(request("a"), full(0.7), nil, now.Add(time.Second)).Short)
	s.SetOthers(ServiceDemand{Pressure: Short}, now.Add(3*time.Second))
	is.True(s.Decide(request("a"), full(0.9), nil, now.Add(4*time.Second)).Short)
}

// TestCapacityFollowsWaits checks that the capacity is below the admitted work while waits grow or
// are too long, above it while they are short, and that a part of the offered work is admitted
// whatever the estimates are, because there would be no answers to correct them otherwise.
func TestCapacityFollowsWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	capacity := func(fraction, growth float64) float64 {
		s := shortage{fraction: fraction, growth: growth, updated: now}
		return s.capacity(12, 2*time.Second)
	}
	is.Equal(capacity(targetFraction, 0), 12.0)
	is.Equal(capacity(targetFraction, 1), 6.0)
	is.True(capacity(targetFraction, -0.25) > 12)
	is.True(capacity(beginsInTime, 0) > 12)
	is.True(capacity(1, 0) < 12)
	is.Equal((&shortage{}).capacity(12, time.Second), 12.0)
	s := newShortService(&now)
	decideAll(s, request("a"), full(20), 5000, 10*time.Millisecond, &now)
	refused := decideAll(s, request("a"), full(20), 1000, 10*time.Millisecond, &now)
	is.True(refused > 850 && refused < 950)
}

// TestCreditSpacesRefusals guards against runs of refusals, which would hit the same session again
// and again: of a class that is admitted at half, no two consecutive requests are refused.
func TestCreditSpacesRefusals(t *testing.T) {
	is := is.New(t)
	s := NewService()
	last, refusals := false, 0
	for range 100 {
		refused, _ := s.spendCredit(Class{Workspace: "a"}, 0.5, true)
		is.True(!(refused && last))
		last = refused
		if refused {
			refusals++
		}
	}
	is.Equal(refusals, 50)
	refused, _ := s.spendCredit(Class{Workspace: "b"}, 0.01, true)
	is.True(!refused) // the first of a class
	s.spendCredit(Class{Workspace: "c"}, 1, true)
	s.spendCredit(Class{Workspace: "c"}, 0.5, false) // must not be refused, but counts
	refused, _ = s.spendCredit(Class{Workspace: "c"}, 0.5, true)
	is.True(refused)
}

// TestReturnsAreSpread guards against refused callers returning together, and against a
// Retry-After that callers do not honour, which is longer than a third of their remaining time.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShortService(&now)
	delays := make(map[time.Duration]bool)
	for n := range 20 {
		r := request("a")
		r.Remaining, r.Jitter = 6*time.Second, func() float64 { return float64(n) / 20 }
		delay := s.retryAfter(r, 0.1, now)
		is.True(delay > 0 && delay <= r.Remaining/3)
		delays[delay] = true
	}
	is.True(len(delays) >= 15)
}

// TestReturnsFollowPriority guards against refused callers of a rarely admitted priority that return
// as soon as the workspace's urgent requests would be served: they would be refused again.
func TestReturnsFollowPriority(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	s := NewService()
	urgent, bulk := request("a"), request("a")
	bulk.Priority = urgent.Priority + 1
	bulk.Remaining, bulk.Jitter = time.Minute, func() float64 { return 0 }
	for n := range 100 {
		if n%10 == 0 {
			s.Decide(bulk, full(0), nil, now)
		} else {
			s.Decide(urgent, full(0), nil, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(s.retryAfter(bulk, 0.1, now) > 4*time.Second) // 0.1 of one request per second
}

// TestDemandIsReportedWhileBusy guards against VMs exchanging demand that nobody needs.
func TestDemandIsReportedWhileBusy(t *testing.T) {
	is := is.New(t)
	s, now := NewService(), time.Unix(1000, 0)
	reported := func() bool { _, ok := s.Demand(now); return ok }
	idle := full(0)
	idle.SlotsInUse = 30
	decideAll(s, request("a"), idle, 10, 10*time.Millisecond, &now)
	is.True(!reported())
	s.SetOthers(ServiceDemand{Pressure: Busy}, now)
	is.True(reported())
	now = now.Add(OthersExpiry + time.Millisecond)
	is.True(!reported())
	decideAll(s, request("a"), full(0), 1, 0, &now)
	is.True(reported())
}

// BenchmarkDecide measures a decision with 24 workspaces of three priorities while short,
// and BenchmarkRefresh a division of the capacity among them.
func BenchmarkDecide(b *testing.B) {
	benchmarkShort(b, func(s *Service, r Request, now time.Time) { s.Decide(r, full(1.1), nil, now) })
}

// BenchmarkRefresh measures a division of the capacity, see BenchmarkDecide.
func BenchmarkRefresh(b *testing.B) {
	benchmarkShort(b, func(s *Service, _ Request, now time.Time) { s.Refresh(nil, now) })
}

func benchmarkShort(b *testing.B, run func(s *Service, r Request, now time.Time)) {
	now := time.Unix(1000, 0)
	s := newShortService(&now)
	requests := make([]Request, 72)
	for i := range requests {
		requests[i] = request(fmt.Sprint("w", i/3))
		requests[i].Priority = i % 3
		s.Decide(requests[i], full(1.1), nil, now)
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Microsecond)
		run(s, requests[n%len(requests)], now)
	}
}
