package upstream

import (
	"math"
	"time"

	"woaddoor/contract"
)

// Where VMs of other data centres do not report their prompts (GossipScope.Region is false),
// delegates of each data centre report a summary of the prefill queues there instead.
// The summary replaces an assumption about the queue wait at engines outside the gossip scope.

// OverflowReport summarizes the engines of one data centre for VMs of other data centres.
type OverflowReport struct {
	From       contract.VMInstance   `cbor:"1,keyasint"`
	DataCentre contract.DataCentreID `cbor:"2,keyasint"`
	// MadeAt is the time of the report in milliseconds on a clock of the sending VM instance.
	// Clocks of VMs differ, so a receiver compares MadeAt only with other reports of From.
	MadeAt   int64            `cbor:"3,keyasint"`
	Services []ServiceSummary `cbor:"4,keyasint"`
}

// ServiceSummary summarizes the engines of a service in one data centre that receive prompts and
// are warm.
type ServiceSummary struct {
	Service contract.ServiceID `cbor:"1,keyasint"`
	// WaitMillis is the mean time that a prompt waits in the prefill queue of an engine.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
	// FreePercent is the percentage of the engines' slots that are free.
	FreePercent int `cbor:"3,keyasint,omitempty"`
	// Engines is the number of the engines. With no engines, the summary withdraws earlier ones.
	Engines int `cbor:"4,keyasint,omitempty"`
}

// Parameters of the use of overflow reports.
const (
	// reportDecay is the time constant with which a report loses its weight. A queue changes by
	// its whole length within about a second: objectives are 2 s and more, and a wait near the
	// objective cannot build up faster.
	reportDecay = time.Second
	// reportExpiry is the age from which on a report is not used. Delegates of a data centre report
	// four times a second, so four reports are missing: the data centre may be cut off.
	reportExpiry = time.Second
	// fullWeightFree is the fraction of free slots from which on a short reported wait counts
	// fully. The load of engines with 48 to 64 slots varies by about an eighth of the slots
	// (Poisson), so with fewer free slots some engines are full, and prompts wait there for slots.
	fullWeightFree = 1.0 / 8
	// maxReportedWait bounds a reported wait: no caller waits longer for an answer to begin.
	maxReportedWait = maxReportedPrefill
)

// centreSummary is the last known summary of a service's engines in another data centre.
type centreSummary struct {
	wait    time.Duration
	free    float64
	engines int
	// madeAt is the time of the report on the clock of this VM. Zero means no summary.
	madeAt time.Time
	// cachedWeight is the weight at the time weighedAt. One selection asks for it at each engine.
	cachedWeight float64
	weighedAt    time.Time
}

// centreService identifies the engines of a service in a data centre.
type centreService struct {
	dc      contract.DataCentreID
	service contract.ServiceID
}

// overflowReports holds the newest reports of other data centres.
type overflowReports struct {
	summaries map[centreService]*centreSummary
	senders   map[contract.VMInstance]*senderClock
}

// summaryOf returns the summary of a service's engines in a data centre. The pointer stays valid,
// so that a selection needs no map access for each engine.
func (o *overflowReports) summaryOf(key centreService) *centreSummary {
	if o.summaries == nil {
		o.summaries = make(map[centreService]*centreSummary)
	}
	if o.summaries[key] == nil {
		o.summaries[key] = &centreSummary{}
	}
	return o.summaries[key]
}

// forget discards what was reported about a data centre.
func (o *overflowReports) forget(dc contract.DataCentreID) {
	for key, c := range o.summaries {
		if key.dc == dc {
			*c = centreSummary{}
		}
	}
}

// OverflowReport returns the summaries of the services that have engines in a data centre.
// The caller sets the sender and the time of the report.
func (t *Table) OverflowReport(dc contract.DataCentreID, now time.Time) OverflowReport {
	report := OverflowReport{DataCentre: dc}
	index := make(map[contract.ServiceID]int)
	var waits, loads, slots []float64
	for _, s := range t.byDataCentre[dc] {
		i, known := index[s.service]
		if !known {
			if !s.everPrompted() {
				continue // a plain service, or an engine that was never used
			}
			i = len(report.Services)
			index[s.service] = i
			report.Services = append(report.Services, ServiceSummary{Service: s.service})
			waits, loads, slots = append(waits, 0), append(loads, 0), append(slots, 0)
		}
		if !s.receivesPrompts(now) || now.Before(s.cold.until) {
			continue
		}
		report.Services[i].Engines++
		waits[i] += s.queue.Wait(now).Seconds()
		loads[i] += min(s.expectedLoad(), float64(s.pool.Slots))
		slots[i] += float64(s.pool.Slots)
	}
	for i := range report.Services {
		if n := report.Services[i].Engines; n > 0 {
			report.Services[i].WaitMillis = int64(1000 * waits[i] / float64(n))
			report.Services[i].FreePercent = int(100 * (1 - loads[i]/slots[i]))
		}
	}
	return report
}

// everPrompted reports whether any VM is known to have sent the upstream a prompt.
func (s *state) everPrompted() bool { return !s.promptSentAt.IsZero() }

// MergeOverflowReport records a report of another data centre. It reports whether the report is
// newer than the reports known before.
func (t *Table) MergeOverflowReport(r OverflowReport, now time.Time) bool {
	madeAt := t.overflow.timeOf(r, now)
	newer := false
	for _, x := range r.Services {
		c := t.overflow.summaryOf(centreService{r.DataCentre, x.Service})
		if !madeAt.After(c.madeAt) {
			continue // overtaken by a later report of this sender or of the other delegate
		}
		newer = true
		*c = centreSummary{
			wait: min(max(time.Duration(x.WaitMillis)*time.Millisecond, 0), maxReportedWait),
			free: min(max(float64(x.FreePercent)/100, 0), 1), engines: x.Engines, madeAt: madeAt,
		}
	}
	return newer
}

// weight returns the weight of the summary, from 0 to 1, which decays with its age.
// The weight is zero without a summary and for a data centre none of whose engines gets prompts.
func (c *centreSummary) weight(now time.Time) float64 {
	if c == nil || c.madeAt.IsZero() || c.engines <= 0 {
		return 0
	}
	if c.weighedAt != now {
		c.cachedWeight, c.weighedAt = reportWeight(now.Sub(c.madeAt)), now
	}
	return c.cachedWeight
}

// reportWeight returns the weight of a report of the given age, from 0 to 1.
func reportWeight(age time.Duration) float64 {
	if age >= reportExpiry {
		return 0
	}
	return math.Exp(-max(age, 0).Seconds() / reportDecay.Seconds())
}

// remoteWait returns the expected queue wait at an engine outside the gossip scope.
//
// known is the work of this data centre that is left in the engine's queue, and assumed is the
// wait that is assumed without a report. The reporting VMs do not learn of the prompts of this
// data centre, so the known work is added to the reported wait.
func (t *Table) remoteWait(s *state, known, assumed time.Duration, now time.Time) time.Duration {
	if !t.opts.Policy.Has(Overflow) {
		return assumed
	}
	weight := s.remote.weight(now)
	if weight == 0 {
		return assumed
	}
	difference := float64(s.remote.wait + known - assumed)
	if difference < 0 {
		difference *= min(s.remote.free/fullWeightFree, 1)
	}
	return assumed + time.Duration(weight*difference)
}

// OverflowInputs are the inputs and the result of the estimated queue wait at an engine of another
// data centre.
type OverflowInputs struct {
	DataCentre contract.DataCentreID
	// Reported is the mean queue wait that the data centre reported, Age the age of the report,
	// FreeSlots the reported fraction of free slots and Engines the number of engines.
	Reported, Age time.Duration
	FreeSlots     float64
	Engines       int
	// Known is the work of this data centre that is left in the engine's queue.
	// Assumed is the wait that is assumed without a report, and Expected the resulting estimate.
	Known, Assumed, Expected time.Duration
}

// OverflowInputs returns the inputs of the estimated queue wait at an upstream, for a VM of data
// centre dc. It returns false if the estimate uses no report.
func (t *Table) OverflowInputs(id contract.UpstreamID, dc contract.DataCentreID, now time.Time) (OverflowInputs, bool) {
	s, ok := t.states[id]
	if !ok || t.inGossipScope(s, dc) || !t.opts.Policy.Has(Overflow) || s.remote.weight(now) == 0 {
		return OverflowInputs{}, false
	}
	c := s.remote
	known := s.queue.Wait(now)
	return OverflowInputs{
		DataCentre: s.pool.DataCentre, Reported: c.wait, Age: now.Sub(c.madeAt), FreeSlots: c.free, Engines: c.engines,
		Known: known, Assumed: t.assumedWait(known), Expected: t.queueWait(s, dc, now),
	}, true
}
