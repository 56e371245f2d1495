package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// OverflowReport returns this VM's summary of the engines of its data centre, for VMs of other data
// centres. It returns false if there is nothing to report: the mechanism is disabled, VMs of other
// data centres learn of each prompt, or no engine has received a prompt.
//
// The summary of an evacuated data centre counts no engines, so that it attracts nothing while VMs
// elsewhere have yet to learn of the evacuation.
func (r *Relay) OverflowReport() (upstream.OverflowReport, bool) {
	if !r.overflowEnabled() {
		return upstream.OverflowReport{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gossipScope.Region {
		return upstream.OverflowReport{}, false
	}
	now := r.opts.Now()
	report := r.table.OverflowReport(r.opts.DataCentre, now)
	if _, evacuated := r.evacuations[r.opts.DataCentre]; evacuated {
		for i, x := range report.Services {
			report.Services[i] = upstream.ServiceSummary{Service: x.Service}
		}
	}
	report.From = contract.VMInstance{VM: r.opts.Self.VM, Incarnation: r.opts.Self.Incarnation}
	report.MadeAt = now.Sub(r.startedAt).Milliseconds()
	if len(report.Services) > 0 {
		r.Metrics.overflowReportsMade.Inc(1)
	}
	return report, len(report.Services) > 0
}

// MergeOverflowReport records a report of another data centre.
func (r *Relay) MergeOverflowReport(report upstream.OverflowReport) {
	if !r.overflowEnabled() || report.DataCentre == r.opts.DataCentre {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.MergeOverflowReport(report, r.opts.Now()) {
		r.Metrics.overflowReportsUsed.Inc(1)
	}
}

// overflowEnabled reports whether this VM exchanges reports of data centres.
func (r *Relay) overflowEnabled() bool {
	return r.opts.Policy.Has(upstream.Overflow) && r.opts.Policy.Has(upstream.Gossip)
}

// recordOverflow logs and counts a prompt that is about to be sent to an engine of another data
// centre on the basis of a report. The caller holds mu and has not recorded the prompt yet.
func (r *Relay) recordOverflow(j *job, id contract.UpstreamID, now time.Time) {
	in, ok := r.table.OverflowInputs(id, r.opts.DataCentre, now)
	if !ok {
		return
	}
	r.Metrics.overflowPrompts.Inc(1)
	r.Metrics.overflowAge.Update(in.Age.Milliseconds())
	r.log.Info("overflow", zap.String("request", string(j.ID)), zap.String("service", string(j.service)), zap.String("model", string(j.model)),
		zap.String("upstream", string(id)), zap.String("to", string(in.DataCentre)),
		zap.Int64("reported_wait_ms", in.Reported.Milliseconds()), zap.Int64("report_age_ms", in.Age.Milliseconds()),
		zap.Int("slots_free_percent", int(100*in.FreeSlots)), zap.Int("engines", in.Engines),
		zap.Int64("own_work_ms", in.Known.Milliseconds()), zap.Int64("assumed_wait_ms", in.Assumed.Milliseconds()), zap.Int64("expected_wait_ms", in.Expected.Milliseconds()))
}
