package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Counters of a trial cell.
const (
	countSent = iota // attempts at the release on trial
	countNotRun
	countAnswered // attempts whose answer began, or that failed
	countGood     // attempts at the release on trial with a whole answer
	countBad
	countOthersGood // attempts at the other releases
	countOthersBad
	countFirstRank
	countEventRank = countFirstRank + rankBuckets
	cellCounters   = countEventRank + rankBuckets
)

// rankBounds are the upper bounds of the buckets in which ranks are counted.
var rankBounds = [...]float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.55, 1}

const rankBuckets = len(rankBounds)

// rankBucket returns the bucket of a rank.
func rankBucket(rank float64) int {
	for i, bound := range rankBounds {
		if rank <= bound {
			return i
		}
	}
	return rankBuckets - 1
}

// countRank returns the counter of a rank in a phase.
func countRank(p Phase, rank float64) int {
	return countFirstRank + int(p)*rankBuckets + rankBucket(rank)
}

// routeGroups is the number of groups of routes that are judged by themselves, since a release may be bad on
// one route only. It bounds the size of the evidence.
const routeGroups = 32

// routeGroup returns the group of a route.
func routeGroup(route string) uint8 { return uint8(xxhash.Sum64String(route) % routeGroups) }

// Cell holds the counters of one group of routes in one stage of a rollout.
type Cell struct {
	_      struct{} `cbor:",toarray"`
	Stage  uint8
	Group  uint8
	Counts [cellCounters]uint32
}

// cellKey identifies a cell.
type cellKey struct{ stage, group uint8 }

// cells are the counters of one observer, or of several.
type cells map[cellKey][cellCounters]uint32

// add adds the counters of other cells.
func (c cells) add(other cells) {
	for key, counts := range other {
		sum := c[key]
		for i, n := range counts {
			sum[i] += n
		}
		c[key] = sum
	}
}

// raise raises each counter to at least that of other cells.
func (c cells) raise(other cells) {
	for key, counts := range other {
		highest := c[key]
		for i, n := range counts {
			highest[i] = max(highest[i], n)
		}
		c[key] = highest
	}
}

// TrialCounts holds what one observer has counted of a release on trial.
type TrialCounts struct {
	Observer Observer           `cbor:"1,keyasint"`
	Version  contract.VersionID `cbor:"2,keyasint"`
	Cells    []Cell             `cbor:"3,keyasint"`
}

// TrialEvidence is what observers have counted of releases on trial. Merging keeps the larger of two
// counters, so evidence may arrive late, repeatedly and in any order.
type TrialEvidence []TrialCounts

// newTrialCounts returns the counters of an observer in the form in which they are sent.
func newTrialCounts(o Observer, v contract.VersionID, from cells) TrialCounts {
	out := TrialCounts{Observer: o, Version: v}
	for _, key := range slices.SortedFunc(maps.Keys(from), func(a, b cellKey) int {
		return (int(a.stage)-int(b.stage))*routeGroups + int(a.group) - int(b.group)
	}) {
		out.Cells = append(out.Cells, Cell{Stage: key.stage, Group: key.group, Counts: from[key]})
	}
	return out
}

// cells returns the counters by cell. Cells that no VM of this release sends are dropped.
func (t TrialCounts) cells() cells {
	out := make(cells, len(t.Cells))
	for _, c := range t.Cells {
		if c.Stage < stageCount && c.Group < routeGroups {
			out[cellKey{c.Stage, c.Group}] = c.Counts
		}
	}
	return out
}

// totalObserver returns the observer (the name in evidence) that stands for a whole data centre.
// The counts of all VMs of data centre dc are added up under that observer.
func totalObserver(dc contract.DataCentreID) Observer {
	return Observer{VM: contract.VMID("total of " + string(dc))}
}

// isDataCentreTotal reports whether the observer stands for all VMs of a data centre.
func (o Observer) isDataCentreTotal() bool { return strings.HasPrefix(string(o.VM), "total of ") }

// Recipient is the relation of a VM that evidence is sent to, as seen from the sender.
type Recipient uint8

// Kinds of recipients.
const (
	// RecipientLocal is a VM of the sender's data centre.
	RecipientLocal Recipient = iota
	// RecipientHub is another hub of the sender's data centre, if the sender is a hub too.
	// A hub is a VM that forwards the evidence that it receives.
	RecipientHub
	// RecipientRemote is a VM of another data centre.
	RecipientRemote
)

// Evidence returns the evidence to send to another VM. Evidence returns nil
// if there is none or the rollout has ended. Recipients get one total for each data centre,
// so the size does not depend on the number of VMs. Only hubs (VMs that forward evidence)
// of the same data centre exchange the counts of each single VM of that data centre,
// because each hub receives counts from a different subset of the VMs.
func (c *Canary) Evidence(to Recipient, self Observer, dc contract.DataCentreID) TrialEvidence {
	totals := c.RemoteEvidence(self, dc)
	if totals == nil || to == RecipientRemote {
		return totals
	}
	out := append(TrialEvidence{newTrialCounts(self, c.versionKey(), c.own)}, totals...)
	for o, counts := range c.received {
		if o != self && o != totalObserver(dc) && (to == RecipientHub || o.isDataCentreTotal()) {
			out = append(out, newTrialCounts(o, c.versionKey(), counts))
		}
	}
	return out
}

// RemoteEvidence returns the evidence to send to a VM of another data centre: only the
// total of the sender's own data centre, so the size does not depend on the number of VMs.
func (c *Canary) RemoteEvidence(self Observer, dc contract.DataCentreID) TrialEvidence {
	if c.order.State != OrderOpen || len(c.own) == 0 && len(c.received) == 0 {
		return nil
	}
	total := make(cells)
	total.add(c.own)
	for o, counts := range c.received {
		if !o.isDataCentreTotal() && o != self {
			total.add(counts)
		}
	}
	total.raise(c.received[totalObserver(dc)])
	return TrialEvidence{newTrialCounts(totalObserver(dc), c.versionKey(), total)}
}

// versionKey returns the identifier of the rollout in evidence.
func (c *Canary) versionKey() contract.VersionID {
	return contract.VersionID(string(c.order.Service) + "/" + c.order.Release)
}

// MergeEvidence merges the evidence of other VMs.
// MergeEvidence returns true if the merged evidence makes the release count as bad.
func (c *Canary) MergeEvidence(e TrialEvidence, self Observer, dc contract.DataCentreID) bool {
	c.dataCentre = dc
	for _, counts := range e {
		if counts.Version != c.versionKey() || counts.Observer == self {
			continue
		}
		if c.received[counts.Observer] == nil {
			c.received[counts.Observer] = make(cells)
		}
		c.received[counts.Observer].raise(counts.cells())
	}
	return c.Evaluate()
}

// totals adds up the known counters of all VMs. For this VM's data centre, totals takes the larger of the
// received total and the sum over individual VMs. For each other data centre, it takes that
// data centre's total.
func (c *Canary) totals() cells {
	sum, remote := make(cells), make(cells)
	sum.add(c.own)
	for o, counts := range c.received {
		switch {
		case !o.isDataCentreTotal():
			sum.add(counts)
		case o != totalObserver(c.dataCentre):
			remote.add(counts)
		}
	}
	sum.raise(c.received[totalObserver(c.dataCentre)])
	sum.add(remote)
	return sum
}

// count adds one to a counter of this VM.
func (c *Canary) count(group uint8, now time.Time, counter int) {
	key := cellKey{c.stage(now), group}
	counts := c.own[key]
	counts[counter]++
	c.own[key] = counts
}

// harm returns how much the counters speak against the release, for deciding whether news is urgent.
func (c cells) harm() (n uint32) {
	for _, counts := range c {
		n += counts[countBad] + counts[countFirstRank] + counts[countEventRank]
	}
	return n
}
