package rollout

import (
	"strings"

	"woaddoor/contract"
)

// Values of ObservedCounts.Step in the evidence of a release rollout, which has no numbered steps.
const (
	trialStep    = 0
	baselineStep = 1
)

// totalObserver returns the observer (the name in evidence) that stands for a whole data centre.
// The counts of all VMs of data centre dc are added up under that observer.
func totalObserver(dc contract.DataCentreID) Observer {
	return Observer{VM: contract.VMID("total of " + string(dc))}
}

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

// Evidence returns the counts of good and bad responses to send to another VM. Evidence returns nil
// if there are no counts or the rollout has ended. Recipients get one total for each data centre,
// so the size does not depend on the number of VMs. Only hubs (VMs that forward evidence)
// of the same data centre exchange the counts of each single VM of that data centre,
// because each hub receives counts from a different subset of the VMs.
func (c *Canary) Evidence(to Recipient, self Observer, dc contract.DataCentreID) Evidence {
	totals := c.RemoteEvidence(self, dc)
	if totals == nil || to == RecipientRemote {
		return totals
	}
	others := c.received.Filter(func(o Observer) bool { return o.isDataCentreTotal() && o != totalObserver(dc) })
	if to == RecipientHub {
		others = c.received.Filter(func(o Observer) bool { return o != self && o != totalObserver(dc) })
	}
	return append(append(c.localEvidence(self), totals...), others...)
}

// RemoteEvidence returns the counts to send to a VM of another data centre: only the
// total of the sender's own data centre, so the size does not depend on the number of VMs.
func (c *Canary) RemoteEvidence(self Observer, dc contract.DataCentreID) Evidence {
	if c.order.State != OrderOpen || c.trialCounts.Good+c.trialCounts.Bad == 0 && len(c.received) == 0 {
		return nil
	}
	local := c.received.Filter(func(o Observer) bool { return !o.isDataCentreTotal() && o != self })
	known := append(local, c.localEvidence(self)...).Total(totalObserver(dc))
	return Merge(known, c.received.Filter(func(o Observer) bool { return o == totalObserver(dc) }))
}

// localEvidence returns this VM's own counts of good and bad responses.
func (c *Canary) localEvidence(self Observer) Evidence {
	return Evidence{{self, c.versionKey(), trialStep, c.trialCounts}, {self, c.versionKey(), baselineStep, c.baselineCounts}}
}

// isDataCentreTotal reports whether the observer stands for all VMs of a data centre.
func (o Observer) isDataCentreTotal() bool { return strings.HasPrefix(string(o.VM), "total of ") }

// versionKey returns the identifier of the rollout in evidence (counts of good and bad responses).
func (c *Canary) versionKey() contract.VersionID {
	return contract.VersionID(string(c.order.Service) + "/" + c.order.Release)
}

// MergeEvidence merges the counts of good and bad responses of other VMs.
// The counts may arrive late, repeatedly and in any order.
// MergeEvidence returns true if the merged counts make the release count as bad.
func (c *Canary) MergeEvidence(e Evidence, self Observer, dc contract.DataCentreID) bool {
	c.dataCentre = dc
	for _, count := range e {
		if count.Version == c.versionKey() && count.Observer != self {
			c.received = Merge(c.received, Evidence{count})
		}
	}
	if c.bad || c.order.State != OrderOpen {
		return false
	}
	c.bad = c.totalsAreBad()
	return c.bad
}

// trialTotals returns the counts of all VMs for the release on trial. Before that, trialTotals
// updates the acceptable failure rate of the test.
func (c *Canary) trialTotals() Counts {
	c.updateGoodRate(c.totalCounts(baselineStep, c.baselineCounts))
	return c.totalCounts(trialStep, c.trialCounts)
}

// totalCounts adds up the known counts for trialStep or baselineStep. For this VM's data
// centre, totalCounts takes the larger of the received total and the sum over individual VMs.
// For each other data centre, totalCounts takes that data centre's total.
func (c *Canary) totalCounts(step int, local Counts) Counts {
	individual := c.received.Filter(func(o Observer) bool { return !o.isDataCentreTotal() }).Sum(c.versionKey(), step).add(local)
	total := c.received.Filter(func(o Observer) bool { return o == totalObserver(c.dataCentre) }).Sum(c.versionKey(), step)
	remote := c.received.Filter(func(o Observer) bool { return o.isDataCentreTotal() && o != totalObserver(c.dataCentre) }).Sum(c.versionKey(), step)
	return Counts{Good: max(individual.Good, total.Good), Bad: max(individual.Bad, total.Bad)}.add(remote)
}

// add returns the sum of both counts.
func (c Counts) add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// LocalCounts returns what this VM has seen of the release on trial and of the other releases.
func (c *Canary) LocalCounts() (trial, baseline Counts) { return c.trialCounts, c.baselineCounts }

// TotalTrialCounts returns the known counts of all VMs for the release on trial.
func (c *Canary) TotalTrialCounts() Counts { return c.totalCounts(trialStep, c.trialCounts) }
