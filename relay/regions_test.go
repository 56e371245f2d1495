package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/route"
	"woaddoor/upstream"
)

// testRegions maps data centres to two regions. The data centre "unknown" has no region.
var testRegions = map[contract.DataCentreID]string{"a1": "a", "a2": "a", "b1": "b"}

var testCentres = []contract.DataCentreID{"a1", "a2", "b1", "unknown"}

// newRegionalRelay returns the relay of a VM in a data centre with the given upstreams.
func newRegionalRelay(dc contract.DataCentreID, seed uint64, entries []upstream.Entry) *Relay {
	r := New(&Options{
		Log: zap.NewNop(), Now: time.Now, VMs: func() int { return 1 }, Seed: seed, DataCentre: dc, Regions: testRegions,
		Budget: retry.ResendWindowOptions{Ratio: 1, Slack: 1000},
	})
	r.SetUpstreams(entries, nil)
	return r
}

// TestSelectionStaysInAllowedRegions selects upstreams for random requests, with random
// failures, shutdowns, evacuations, canary releases and regions of routes and workspaces. No
// selection may leave the regions that both the route and the workspace allow: not the first
// one, nor a retry, the last remaining upstream, an escalation or a canary release.
func TestSelectionStaysInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []upstream.Entry
		for i := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
			entries = append(entries, upstream.Entry{
				ID: contract.UpstreamID(fmt.Sprint("u", i)), Service: "s", Slots: 4, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				DataCentre: rapid.SampledFrom(testCentres).Draw(t, "data centre"), Release: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "release"),
			})
		}
		r := newRegionalRelay(rapid.SampledFrom(testCentres).Draw(t, "own data centre"), rapid.Uint64Min(1).Draw(t, "seed"), entries)
		if rapid.Bool().Draw(t, "on trial") {
			now := time.Now()
			r.SetOrder(rollout.ReleaseOrder{Service: "s", Release: "v2", Duration: 10 * time.Second, IssuedAt: now.Add(-time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second), Name: "s", Revision: 1})
		}
		if rapid.Bool().Draw(t, "evacuated") {
			r.SetEvacuated([]contract.DataCentreID{rapid.SampledFrom(testCentres).Draw(t, "evacuated data centre")})
		}
		for n := range rapid.IntRange(1, 6).Draw(t, "requests") {
			j := newStreamJob(rapid.Bool().Draw(t, "resumable"))
			j.service, j.ID = "s", contract.RequestID(fmt.Sprint("r", n))
			j.Route.Regions = genRegions(t, "route")
			j.Regions = genRegions(t, "workspace")
			for range 4 {
				e, refused := r.selectUpstream(j)
				if refused != nil {
					break
				}
				region := testRegions[e.DataCentre]
				if len(j.Route.Regions) > 0 && !slices.Contains(j.Route.Regions, region) || len(j.Regions) > 0 && !slices.Contains(j.Regions, region) {
					t.Fatalf("selected %s in data centre %s, but the route allows %v and the workspace %v", e.ID, e.DataCentre, j.Route.Regions, j.Regions)
				}
				r.table.RecordDone(e.ID, rapid.SampledFrom([]upstream.Result{upstream.Failed, upstream.ConnectionRefused, upstream.Rejected}).Draw(t, "result"), 0, time.Now())
				j.failures++
				j.exclude = append(j.exclude, e.ID)
			}
		}
	})
}

func genRegions(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2, rapid.ID).Draw(t, label)
}

// TestRefusedWithoutUpstreamInRegions checks that a request is refused at once, and without a
// retry time of seconds, if the service has upstreams only in other regions.
func TestRefusedWithoutUpstreamInRegions(t *testing.T) {
	is := is.New(t)
	r := newRegionalRelay("a1", 1, []upstream.Entry{{ID: "u", Service: "s", Slots: 4, DataCentre: "b1"}})
	j := newStreamJob(true)
	j.service, j.execution = "s", newExecution()
	j.Regions = []string{"a"}
	_, refused := r.selectUpstream(j)
	is.True(refused != nil)
	is.Equal(refused.Kind, contract.RefusedRegionNotAllowed)
	is.Equal(refused.Outcome, contract.OutcomeNotRun)

	j.Regions = nil
	e, refused := r.selectUpstream(j)
	is.True(refused == nil)
	is.Equal(e.ID, contract.UpstreamID("u"))
}

// TestAllowedIn checks that a region must be allowed by both the route and the workspace.
func TestAllowedIn(t *testing.T) {
	is := is.New(t)
	q := &Request{Route: &route.Route{}}
	is.True(q.AllowedIn("a"))
	is.True(q.AllowedIn(""))
	q.Route.Regions = []string{"a", "b"}
	is.True(q.AllowedIn("a"))
	is.True(!q.AllowedIn("c"))
	is.True(!q.AllowedIn(""))
	q.Regions = []string{"b"}
	is.True(!q.AllowedIn("a"))
	is.True(q.AllowedIn("b"))
}
