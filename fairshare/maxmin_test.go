package fairshare

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

const tolerance = 1e-6

func drawClaims(t *rapid.T) []Claim {
	claims := make([]Claim, rapid.IntRange(1, 30).Draw(t, "claims"))
	for i := range claims {
		claims[i] = Claim{rapid.Float64Range(0, 100).Draw(t, "demand"), rapid.Float64Range(0.1, 10).Draw(t, "weight")}
	}
	return claims
}

// TestMaxMin is a property test of the division: no claim gets more than it demands, the capacity
// is used up unless all demands are met, and no claim that gets less than it demands could get more
// without a claim that has no more for its weight getting less.
func TestMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		demanded, given, level := 0.0, 0.0, math.Inf(1)
		shares := MaxMin(claims, capacity)
		for i, share := range shares {
			demanded += claims[i].Demand
			given += share
			if share > claims[i].Demand+tolerance || share < 0 {
				t.Fatalf("claim %d of %v gets %v", i, claims[i], share)
			}
			if share < claims[i].Demand-tolerance {
				level = min(level, share/claims[i].Weight)
			}
		}
		if math.Abs(given-min(demanded, capacity)) > tolerance {
			t.Fatalf("%v of %v given for %v", given, capacity, demanded)
		}
		for i, share := range shares {
			if share/claims[i].Weight > level+tolerance {
				t.Fatalf("claim %d has %v for its weight, another one only %v", i, share/claims[i].Weight, level)
			}
		}
	})
}

// TestMaxMinWithExtremeWeights guards against a division by zero where the smaller weight is lost
// when it is added to the larger one: its workspace would get more than the capacity, or no number.
func TestMaxMinWithExtremeWeights(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxMin([]Claim{{Demand: 10, Weight: 1e17}, {Demand: 10, Weight: 1}}, 10), []float64{10, 0})
	is.Equal(MaxMin([]Claim{{Demand: 4, Weight: 1e17}, {Demand: 10, Weight: 1}}, 10), []float64{4, 6})
}

// TestCutOffSidesStayNearShares states the bound for VMs that are cut off from each other: if the
// part of each workspace's demand on a side differs from the side's part of the capacity by at
// most the fraction e, what a workspace gets on all sides together differs from its share by at
// most e of the whole capacity and e of its share.
func TestCutOffSidesStayNearShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		capacity, part := rapid.Float64Range(1, 500).Draw(t, "capacity"), rapid.Float64Range(0.2, 0.5).Draw(t, "part")
		e := rapid.Float64Range(0, 0.3).Draw(t, "difference")
		near, far := make([]Claim, len(claims)), make([]Claim, len(claims))
		for i, claim := range claims {
			p := part * (1 + rapid.Float64Range(-e, e).Draw(t, "deviation"))
			near[i], far[i] = Claim{p * claim.Demand, claim.Weight}, Claim{(1 - p) * claim.Demand, claim.Weight}
		}
		nearShares, farShares := MaxMin(near, part*capacity), MaxMin(far, (1-part)*capacity)
		for i, share := range MaxMin(claims, capacity) {
			if got := nearShares[i] + farShares[i]; math.Abs(got-share) > e*(capacity+share)+tolerance {
				t.Fatalf("claim %d gets %v instead of %v", i, got, share)
			}
		}
	})
}

// TestPriorityFractions is a property test of the division of a workspace's share: a more urgent
// priority is never admitted at a lower fraction, each priority gets its minimum unless that rule
// takes it, and the share is used up unless all demands are met.
func TestPriorityFractions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0.01, 50), 1, 10).Draw(t, "demands")
		share := rapid.Float64Range(0, 200).Draw(t, "share")
		fractions := priorityFractions(demands, share)
		demanded, admitted := 0.0, 0.0
		for i, fraction := range fractions {
			demanded += demands[i]
			admitted += fraction * demands[i]
			if i > 0 && fraction > fractions[i-1]+tolerance {
				t.Fatalf("fractions increase: %v", fractions)
			}
			minimum := min(demands[i], minPriorityShare*share)
			if i > 0 && fraction*demands[i] < minimum-tolerance && fraction < fractions[i-1]-tolerance {
				t.Fatalf("priority %d gets less than its minimum: %v of %v", i, fractions, demands)
			}
		}
		if math.Abs(admitted-min(demanded, share)) > tolerance {
			t.Fatalf("%v of %v admitted for %v", admitted, share, demanded)
		}
	})
	is := is.New(t)
	is.Equal(priorityFractions([]float64{8, 8}, 10), []float64{1, 0.25})     // urgent requests first
	is.Equal(priorityFractions([]float64{10, 8}, 10), []float64{0.9, 0.125}) // but a tenth for the others
}

// TestPlanUsesWeights guards against weights of the configuration being ignored, and against a
// workspace that was merged being refused.
func TestPlanUsesWeights(t *testing.T) {
	is := is.New(t)
	demand := Demand{{Workspace: "a"}: {Offered: 50}, {Workspace: "b"}: {Offered: 50}, {Workspace: Merged}: {Offered: 10}}
	weight := func(w contract.WorkspaceID) float64 { return map[contract.WorkspaceID]float64{"a": 3}[w] }
	plan := NewPlan(demand, 50, weight)
	is.Equal(plan.Share("a"), 30.0)
	is.Equal(plan.Share("b"), 10.0)
	is.Equal(plan.Fraction(Class{Workspace: "c"}), 1.0)
}

// TestPackedDemand checks what other VMs receive: the sums by workspace, with small workspaces
// merged by priority.
func TestPackedDemand(t *testing.T) {
	is := is.New(t)
	classes := Demand{{Workspace: "tiny", Priority: 2}: {Offered: 0.1, Admitted: 0.05}}
	for w := range 20 {
		classes[Class{Workspace: contract.WorkspaceID(fmt.Sprint("w", w)), Priority: 1}] = Work{Offered: 5, Admitted: 4}
	}
	sum := make(Demands)
	for range 2 {
		sum.Add(Unpack(Demands{"s": {Pressure: Busy, Capacity: 2.5, Classes: classes}}.Pack()))
	}
	got := sum["s"]
	is.Equal(got.Pressure, Busy)
	is.Equal(got.Capacity, 5.0)
	is.Equal(len(got.Classes), 21)
	is.Equal(got.Classes[Class{Workspace: "w7", Priority: 1}], Work{Offered: 10, Admitted: 8})
	is.Equal(got.Classes[Class{Workspace: Merged, Priority: 2}], Work{Offered: 0.2, Admitted: 0.1})
}
