package relay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/fairshare"
	"woaddoor/route"
	"woaddoor/upstream"
)

// newCrowdedRelay returns a relay with full engines, each with a long queue.
func newCrowdedRelay(t testing.TB, engines int, now *time.Time, disabled ...string) *Relay {
	t.Helper()
	policy, err := upstream.NewPolicy(disabled)
	if err != nil {
		t.Fatal(err)
	}
	r := New(&Options{Log: zap.NewNop(), Now: func() time.Time { return *now }, VMs: func() int { return 1 }, Seed: 1, Policy: policy, DataCentre: "d"})
	var entries []upstream.Entry
	for n := range engines {
		entries = append(entries, upstream.Entry{ID: contract.UpstreamID(fmt.Sprint("u", n)), Service: "s", DataCentre: "d", Slots: 8})
	}
	r.SetUpstreams(entries, nil)
	for n, e := range entries {
		queued := 20*time.Second + time.Duration(n%7)*50*time.Millisecond
		r.MergeSent([]SentPrompt{{Upstream: e.ID, Model: "small", Tokens: 9000, PrefillTime: queued, TokenTime: 50 * time.Microsecond}})
		r.table.RecordAnswerLoad(e.ID, 8, 8, now.Add(time.Minute))
	}
	return r
}

func newWorkspaceJob(w contract.WorkspaceID, now time.Time) *job {
	j := newStreamJob(true)
	j.service, j.Workspace, j.PromptTokens, j.Arrived, j.Deadline = "s", w, 4000, now, now.Add(time.Minute)
	j.Route.Shares = []route.Share{{Service: "s", Weight: 1}}
	return j
}

// refusedOf returns the refusals among n requests of a workspace, 100 ms apart. Admitted requests
// are counted as such. Other VMs send the engines twice the work that they can do meanwhile.
func refusedOf(r *Relay, w contract.WorkspaceID, n int, now *time.Time) (refusals []*contract.Refusal) {
	for range n {
		*now = now.Add(100 * time.Millisecond)
		for id := range r.entries {
			r.MergeSent([]SentPrompt{{Upstream: id, Model: "small", Tokens: 4000, PrefillTime: 200 * time.Millisecond}})
		}
		j := newWorkspaceJob(w, *now)
		r.withLock(func() {
			check := r.checkShare(j, *now)
			if check.refusal != nil {
				refusals = append(refusals, check.refusal)
				return
			}
			r.recordAdmitted(j, check, *now)
		})
	}
	return refusals
}

// TestShareIsEnforcedWhileShort checks that requests beyond a workspace's share are refused as not
// run, with a Retry-After, only after persistent evidence, and neither without workspaces nor with
// the mechanism disabled.
func TestShareIsEnforcedWhileShort(t *testing.T) {
	for name, c := range map[string]struct {
		workspace contract.WorkspaceID
		disabled  []string
		refuses   bool
	}{
		"workspaces":           {"w", nil, true},
		"no workspaces":        {"", nil, false},
		"disabled by a policy": {"w", []string{"fair-share"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := newCrowdedRelay(t, 3, &now, c.disabled...)
			is.Equal(len(refusedOf(r, c.workspace, 3, &now)), 0)
			refusals := refusedOf(r, c.workspace, 40, &now)
			is.Equal(len(refusals) > 0, c.refuses)
			is.Equal(len(r.fairShares) > 0, c.refuses) // nothing is counted otherwise
			is.Equal(r.Metrics.shareRefusals.Count(), int64(len(refusals)))
			for _, refusal := range refusals {
				is.Equal(refusal.Kind, contract.RefusedLimitReached)
				is.Equal(refusal.Outcome, contract.OutcomeNotRun)
				is.True(refusal.RetryAfter > 0)
			}
		})
	}
}

// TestServicesShortAfterTraffic guards against the gauge services_short counting a service at which
// requests have ceased.
func TestServicesShortAfterTraffic(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 3, &now)
	is.True(len(refusedOf(r, "w", 40, &now)) > 0)
	is.Equal(r.Metrics.servicesShort.Value(), int64(1))
	now = now.Add(time.Minute)
	r.Refresh()
	r.Refresh()
	is.Equal(r.Metrics.servicesShort.Value(), int64(0))
}

// TestServeRefusesOverShare checks that Serve refuses a request beyond the share before anything
// is sent, and does not count it as demand for engine time.
func TestServeRefusesOverShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 3, &now)
	for len(refusedOf(r, "w", 1, &now)) == 0 {
	}
	for len(refusedOf(r, "w", 1, &now)) > 0 { // the request after an admitted one is refused
	}
	end, refusal := r.Serve(t.Context(), newWorkspaceJob("w", now).Request, nil)
	is.Equal(end, Refused)
	is.Equal(refusal.Step, contract.StepAdmit)
	is.Equal(len(r.table.InFlight()), 0)
	is.Equal(len(r.promptLoads), 0)
}

// TestFreeSlotsPreventRefusal guards against a refusal while half of the slots are free, however
// long the estimated queues are.
func TestFreeSlotsPreventRefusal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 3, &now)
	is.True(len(refusedOf(r, "w", 40, &now)) > 0)
	r.SetUpstreams([]upstream.Entry{{ID: "u0", Service: "s", DataCentre: "d", Slots: 8}, {ID: "new", Service: "s", DataCentre: "d", Slots: 8}, {ID: "new2", Service: "s", DataCentre: "d", Slots: 8}}, nil)
	is.Equal(len(refusedOf(r, "w", 40, &now)), 0)
}

// TestOccupancyIgnoresUnusableUpstreams guards against the slots of upstreams that serve nothing
// counting as free, which would hide a shortage.
func TestOccupancyIgnoresUnusableUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 2, &now)
	leaving := upstream.Entry{ID: "u2", Service: "s", DataCentre: "d", Release: "v2", Slots: 100, Leaving: true}
	r.SetUpstreams([]upstream.Entry{{ID: "u0", Service: "s", DataCentre: "d", Slots: 8}, {ID: "u1", Service: "s", DataCentre: "d", Slots: 8}, leaving}, nil)
	is.True(len(refusedOf(r, "w", 40, &now)) > 0)
}

// TestPlainServiceIsShortOnlyWithQueues guards against a plain service being taken for short by the
// times of prompts: its requests wait only for a slot.
func TestPlainServiceIsShortOnlyWithQueues(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 1, &now)
	r.table.RecordDecodeTime(time.Minute)
	begin := func() time.Duration {
		j := newWorkspaceJob("w", now)
		j.PromptTokens, j.ChooseModel = 0, false
		return r.knownUpstreams(j, now).Begin
	}
	is.Equal(begin(), time.Duration(0)) // no answer has shown how long one takes
	r.table.RecordSent("u0")
	r.table.RecordDone("u0", upstream.Succeeded, 80*time.Millisecond, now)
	is.Equal(begin(), 90*time.Millisecond) // 9 of 8 slots wanted beyond those in use
}

// TestDemandOfOthersReachesDecision checks that the demand and the capacity that other VMs report
// are part of the division here.
func TestDemandOfOthersReachesDecision(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newCrowdedRelay(t, 3, &now)
	refusedOf(r, "w", 40, &now)
	others := fairshare.ServiceDemand{Pressure: fairshare.Short, Capacity: 700, Classes: fairshare.Demand{{Workspace: "w"}: {Offered: 1000, Admitted: 1}, {Workspace: "x"}: {Offered: 200}}}
	r.SetOthersDemand(fairshare.Demands{"s": others})
	r.Refresh()
	j := newWorkspaceJob("w", now)
	d := r.fairShareOf("s").Decide(r.checkShare(j, now).request, r.knownUpstreams(j, now), nil, now)
	is.True(d.OthersKnown)
	is.True(math.Abs(d.Plan.Share("w")-500) < 2) // x has less than its share
	is.True(math.Abs(d.AdmitFraction-0.5) < 0.01)
	is.Equal(r.Demand()["s"].Pressure, fairshare.Short)
}

// BenchmarkCheckShare measures the decision at full upstreams, where the time until a request
// would begin is estimated at each of them.
func BenchmarkCheckShare(b *testing.B) {
	for _, engines := range []int{60, 160} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := newCrowdedRelay(b, engines, &now)
			refusedOf(r, "w", 20, &now)
			j := newWorkspaceJob("w", now)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				r.checkShare(j, now)
			}
		})
	}
}
