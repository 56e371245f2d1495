package daemon

import (
	"fmt"
	"net/http"
	"runtime"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/platform"
)

// pathMetrics is where a VM serves its metrics as text.
const pathMetrics = "/metrics"

// countStoreCall counts and logs a call to the platform's object store. One line per call is
// affordable, because one VM of a region watches for all, and a VM that is killed has logged its calls.
func (v *vmProcess) countStoreCall(c platform.Call, err error) {
	v.log.Info("store-call", zap.String("call", c.Verb), zap.String("kind", c.Kind), zap.Bool("failed", err != nil))
	v.countCall("store", fmt.Sprintf("call=%q,kind=%q", c.Verb, c.Kind), err)
}

// countCall increments the counter of calls to target, such as "store". If err is not nil, it
// increments the counter of failed calls to target instead.
func (v *vmProcess) countCall(target, labels string, err error) {
	name := target + "_calls_total"
	if err != nil {
		name = target + "_calls_failed_total"
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("%s{%s}", name, labels), v.registry).Inc(1)
}

// recordUnreadableObject logs and counts an object of the platform's store that cannot be decoded.
func (v *vmProcess) recordUnreadableObject(kind string, err error) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("objects_malformed_total{kind=%q,by=%q}", kind, "store"), v.registry).Inc(1)
	v.log.Error("object-unreadable", zap.String("kind", kind), zap.Error(err))
}

// recordStoreEra logs that the platform's store names a later era: it has returned from an older
// copy of its contents. The first era that this VM learns is logged too.
func (v *vmProcess) recordStoreEra(before, now uint64) {
	v.log.Info("store-era", zap.Uint64("before", before), zap.Uint64("era", now))
}

// evacuationMetrics returns the metrics of the data centres that are being evacuated.
func (v *vmProcess) evacuationMetrics() []string {
	var lines []string
	all := v.relay.Evacuations()
	for _, e := range all {
		lines = append(lines,
			fmt.Sprintf("evacuation_age_seconds{data_centre=%q} %.1f", string(e.DataCentre), e.Elapsed.Seconds()),
			fmt.Sprintf("evacuation_requests_running{data_centre=%q} %d", string(e.DataCentre), e.Running))
	}
	return append(lines, fmt.Sprintf("evacuations %d", len(all)))
}

// metricsHandler serves the metrics as text, with one name and value per line.
func (v *vmProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		lines := append(v.gaugeMetrics(), registryMetrics(v.registry)...)
		lines = append(lines, registryMetrics(v.relay.Metrics.Registry)...)
		lines = append(lines, v.peerMetrics()...)
		lines = append(lines, v.resourceMetrics()...)
		lines = append(lines, v.callerMetrics()...)
		lines = append(lines, v.evacuationMetrics()...)
		lines = append(lines, v.leaseMetrics()...)
		sort.Strings(lines)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprintln(w, strings.Join(lines, "\n")) // fails only if the client has disconnected
	})
	return mux
}

// gaugeMetrics returns the metrics whose values are read when they are requested.
func (v *vmProcess) gaugeMetrics() []string {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	configuration, upstreams := v.site.ConfirmationAges()
	version, revision, unreadable := int64(0), contract.Revision(0), 0
	if t := v.site.Table(); t != nil {
		version, revision, unreadable = t.Version, t.Revision, len(t.Unreadable)
	}
	open, dialed := v.relay.Connections()
	helping, helped := v.helper.Counts()
	resting, leaving := v.relay.CountBackedOff()
	line := func(name string, value any) string { return fmt.Sprintf("%s %v", name, value) }
	return []string{
		line("caller_connections_open", v.callers.OpenConns()),
		line("caller_connections_turned_away_total", v.callers.RejectedConns.Load()),
		line("configuration_age_milliseconds", configuration.Milliseconds()),
		line("configuration_era", revision.Era()),
		line("configuration_revision", revision.Counter()),
		line("configuration_unread_milliseconds", v.site.UnreadConfigurationAge().Milliseconds()),
		line("configuration_unreadable_parts", unreadable),
		line("configuration_version", version),
		line("connections_open", open),
		line("connections_opened_total", dialed),
		line("paths_failing", v.relay.CountPathsFailing()),
		line("requests_held", v.relay.CountQuarantined()),
		line("prompt_parts_held", v.relay.CountQuarantinedParts()),
		line("forwarded_requests_running", helping),
		line("forwarded_requests_total", helped),
		line("goroutines", runtime.NumGoroutine()),
		line("log_lines_left_out_total", v.logWriter.Dropped()),
		line("memory_heap_bytes", memory.HeapAlloc),
		line("memory_system_bytes", memory.Sys),
		line("retry_budget_left_ratio", v.relay.BudgetLeft()),
		line("upstreams", v.relay.CountUpstreams()),
		line("upstreams_brittle", v.relay.CountBrittle()),
		line("upstreams_cold", v.relay.CountCold()),
		line("upstreams_limited", v.relay.CountLimited()),
		line("upstreams_resting", resting),
		line("upstreams_say_leaving", leaving),
		line("upstreams_age_milliseconds", upstreams.Milliseconds()),
		line("vms", v.peers.EstimatedVMs()),
	}
}

// peerMetrics returns the messages and bytes that this VM sends to other VMs, by kind of message
// and by whether the message leaves the data centre, and the role of this VM among the VMs.
func (v *vmProcess) peerMetrics() []string {
	var lines []string
	for _, s := range v.peers.SentTraffic() {
		to := "near"
		if s.OtherDataCentre {
			to = "far"
		}
		lines = append(lines,
			fmt.Sprintf("link_messages_sent_total{kind=%q,to=%q} %d", s.Kind, to, s.Messages),
			fmt.Sprintf("link_bytes_sent_total{kind=%q,to=%q} %d", s.Kind, to, s.Bytes))
	}
	st := v.peers.Stats()
	return append(lines,
		fmt.Sprintf("links_opened_total %d", st.LinksOpened),
		fmt.Sprintf("vms_live_near %d", st.LocalVMs),
		fmt.Sprintf("vms_silent_near %d", st.SilentVMs),
		fmt.Sprintf("vm_place %d", st.LocalRank),
		fmt.Sprintf("watches %d", st.WatchedKinds),
		fmt.Sprintf("vm_leaves %d", st.Leaves))
}

// quantiles are the quantiles that are served for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// registryMetrics returns the counters, gauges and histograms of a registry.
func registryMetrics(r metrics.Registry) []string {
	var lines []string
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()))
			for i, p := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(quantiles[i]), p))
			}
		}
	})
	return lines
}
