package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// replay is a service with one queue, to which several VMs send the requests of 24 workspaces.
type replay struct {
	vms int
	// capacity is the work per second that the upstreams do.
	capacity float64
	// load is the offered work as a multiple of capacity. One workspace, surging, sends
	// surgeFactor times its usual work from surgeBegin on.
	load, surgeFactor float64
	// disabled sends everything on. reportDelay is added to the age of reports between VMs.
	disabled    bool
	reportDelay time.Duration
	// alive reports whether a VM runs; connected reports whether two VMs hear of each other.
	alive     func(vm int, at time.Duration) bool
	connected func(a, b int) bool
	// gossipEnds is the time after which no VM receives reports, unless it is zero.
	gossipEnds time.Duration
}

const (
	replayWorkspaces = 24
	surging          = 5
	replayObjective  = 3 * time.Second
	replayDeadline   = 20 * time.Second
	surgeBegin       = 20 * time.Second
	measureFrom      = surgeBegin + 8*time.Second
	replayEnd        = measureFrom + 30*time.Second
	replayStep       = 5 * time.Millisecond
	replayReports    = 500 * time.Millisecond
	replayRefresh    = 250 * time.Millisecond
)

// usual returns the usual part of a workspace in the offered work: a few are large.
func usual(w int) float64 {
	if w < 4 {
		return 0.12
	}
	return 0.52 / (replayWorkspaces - 4)
}

// outcome is what a replay measured from measureFrom on.
type outcome struct {
	offered, admitted [replayWorkspaces]float64
	// waits is the mean wait of the admitted requests of the workspaces except the surging one.
	waits time.Duration
	// firstRefusal is the time of the first refusal, or zero.
	firstRefusal time.Duration
	refused      int
}

type sentReport struct {
	at      time.Duration
	demands Demands
}

// run replays the load with VMs that exchange their demand.
func (r replay) run() outcome {
	var out outcome
	random := rand.New(rand.NewPCG(1, 2))
	services, reports := make([]*Service, r.vms), make([][]sentReport, r.vms)
	for i := range services {
		services[i] = NewService()
	}
	start, backlog, waitSum, waits := time.Unix(1000, 0), 0.0, 0.0, 0.0
	var due [replayWorkspaces]float64
	for at := time.Duration(0); at < replayEnd; at += replayStep {
		now := start.Add(at)
		backlog = max(backlog-r.capacity*replayStep.Seconds(), 0)
		if at%replayReports == 0 && (r.gossipEnds == 0 || at < r.gossipEnds) {
			r.exchange(services, reports, at, now)
		}
		for _, s := range services {
			if at%replayRefresh == 0 {
				s.Refresh(nil, now)
			}
		}
		for w := range due {
			due[w] += r.rate(w, at) * replayStep.Seconds() * (0.5 + random.Float64())
			for ; due[w] >= 1; due[w]-- {
				i := random.IntN(r.vms)
				if r.alive != nil && !r.alive(i, at) {
					i = 0
				}
				wait := time.Duration(backlog / r.capacity * float64(time.Second))
				refused := wait > replayDeadline || r.decide(services[i], w, wait, random, now)
				if refused {
					out.refused++
					if out.firstRefusal == 0 {
						out.firstRefusal = at
					}
				} else {
					backlog++
				}
				if at < measureFrom {
					continue
				}
				out.offered[w]++
				if !refused {
					out.admitted[w]++
					if w != surging {
						waitSum += wait.Seconds()
						waits++
					}
				}
			}
		}
	}
	out.waits = time.Duration(waitSum / max(waits, 1) * float64(time.Second))
	return out
}

// rate returns the work per second that a workspace offers.
func (r replay) rate(w int, at time.Duration) float64 {
	perSecond := r.load * r.capacity * usual(w)
	if w == surging && at >= surgeBegin {
		perSecond *= r.surgeFactor
	}
	return perSecond
}

// decide returns whether a VM refuses a request.
func (r replay) decide(s *Service, w int, wait time.Duration, random *rand.Rand, now time.Time) bool {
	if r.disabled {
		return false
	}
	request := Request{Class: Class{Workspace: contract.WorkspaceID(fmt.Sprint("w", w))}, Work: 1, Objective: replayObjective, Remaining: replayDeadline, Jitter: random.Float64}
	used := 40.0
	if wait > 0 {
		used = 100
	}
	wait = time.Duration((0.85 + 0.3*random.Float64()) * float64(wait)) // estimates differ from the truth
	d := s.Decide(request, Upstreams{Slots: 100, SlotsInUse: used, Estimated: true, Wait: wait, Begin: wait}, nil, now)
	if !d.Refused {
		s.Admitted(request.Class, request.Work, now)
	}
	return d.Refused
}

// exchange lets the VMs report their demand to each other.
func (r replay) exchange(services []*Service, reports [][]sentReport, at time.Duration, now time.Time) {
	for i, s := range services {
		if r.alive == nil || r.alive(i, at) {
			demands := make(Demands)
			if d, ok := s.Demand(now); ok {
				demands["s"] = d
			}
			reports[i] = append(reports[i], sentReport{at, demands})
		}
	}
	for i, s := range services {
		others := make(Demands)
		for j := range services {
			if i != j && (r.connected == nil || r.connected(i, j)) {
				others.Add(newest(reports[j], at-r.reportDelay))
			}
		}
		s.SetOthers(others["s"], now)
	}
}

// newest returns the newest demand reported by the time by, unless it has expired.
func newest(reports []sentReport, by time.Duration) Demands {
	for n := len(reports) - 1; n >= 0; n-- {
		if reports[n].at <= by {
			if by-reports[n].at > OthersExpiry {
				return nil
			}
			return reports[n].demands
		}
	}
	return nil
}

// worstError returns the largest difference between what a workspace was admitted and its max-min
// fair share of the capacity, relative to the share.
func (r replay) worstError(out outcome) float64 {
	claims := make([]Claim, replayWorkspaces)
	for w := range claims {
		claims[w] = Claim{Demand: out.offered[w], Weight: 1}
	}
	worst := 0.0
	for w, share := range MaxMin(claims, r.capacity*(replayEnd-measureFrom).Seconds()) {
		worst = max(worst, math.Abs(out.admitted[w]-share)/share)
	}
	return worst
}

// surge is the trial of the plan: 1.5 times the capacity, one workspace at 7.5 times its usual work.
func surge() replay { return replay{vms: 6, capacity: 400, load: 1.5, surgeFactor: 7.5} }

// TestSurgeGetsItsFairShare guards against a workspace that takes the capacity of the others.
// Each workspace must get within a tenth of its fair share, and the wait of the others must be
// within a tenth of their wait without the surge. Without the mechanism both must fail.
func TestSurgeGetsItsFairShare(t *testing.T) {
	for _, vms := range []int{6, 70} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			with, calm, disabled := surge(), surge(), surge()
			with.vms, calm.vms, disabled.vms = vms, vms, vms
			calm.surgeFactor, disabled.disabled = 1, true
			on, without, off := with.run(), calm.run(), disabled.run()
			t.Logf("worst error %.3f, mean wait of the others %v, without the surge %v", with.worstError(on), on.waits, without.waits)
			t.Logf("disabled: worst error %.3f, mean wait of the others %v", disabled.worstError(off), off.waits)
			is.True(with.worstError(on) <= 0.1)
			is.True(math.Abs(float64(on.waits-without.waits)) <= 0.1*float64(without.waits))
			is.True(on.waits < replayObjective)
			is.True(disabled.worstError(off) > 0.3)
			is.True(off.waits > 3*replayObjective)
		})
	}
}

// TestNoRefusalBelowCapacity guards against refusals while the upstreams are not short.
func TestNoRefusalBelowCapacity(t *testing.T) {
	is := is.New(t)
	r := surge()
	r.load, r.surgeFactor = 0.6, 4 // the surge stays within the capacity
	is.Equal(r.run().refused, 0)
}

// TestKilledVMExpires guards against the demand of a killed VM being counted on: the other VMs
// must soon divide the capacity by their own demand.
func TestKilledVMExpires(t *testing.T) {
	is := is.New(t)
	r := surge()
	r.alive = func(vm int, at time.Duration) bool { return vm < 3 || at < measureFrom-5*time.Second }
	out := r.run()
	t.Logf("worst error %.3f", r.worstError(out))
	is.True(r.worstError(out) <= 0.1)
}

// TestLateReportsLag guards against late reports changing more than how soon the shares apply.
func TestLateReportsLag(t *testing.T) {
	is := is.New(t)
	r := surge()
	r.reportDelay = 1500 * time.Millisecond
	out := r.run()
	t.Logf("worst error %.3f", r.worstError(out))
	is.True(r.worstError(out) <= 0.1)
}

// TestCutOffVMsDecideAlone guards against a loss of gossip stopping the division: VMs that hear of
// no other, of half of them, or of none from the surge on, but have like demand, must still be
// near the fair shares.
func TestCutOffVMsDecideAlone(t *testing.T) {
	halves, alone, ended := surge(), surge(), surge()
	halves.connected = func(a, b int) bool { return a/3 == b/3 }
	alone.connected = func(int, int) bool { return false }
	ended.gossipEnds = surgeBegin
	for name, r := range map[string]replay{"halves": halves, "alone": alone, "ended": ended} {
		t.Run(name, func(t *testing.T) {
			out := r.run()
			t.Logf("worst error %.3f", r.worstError(out))
			is.New(t).True(r.worstError(out) <= 0.1)
		})
	}
}
