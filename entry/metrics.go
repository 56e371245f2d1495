package entry

import "github.com/rcrowley/go-metrics"

// Size and decay factor of the exponentially decaying reservoir sample of each histogram.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// serverMetrics holds the metrics of an entry process. Times are in nanoseconds.
type serverMetrics struct {
	registry         metrics.Registry
	requests         metrics.Counter
	refusals         metrics.Counter
	retries          metrics.Counter
	streamsRecovered metrics.Counter
	streamsStalled   metrics.Counter
	wrongAnswers     metrics.Counter
	billsAtRisk      metrics.Gauge
	billsHeld        metrics.Gauge
	tickets          metrics.Gauge
	waiting          metrics.Gauge
	configAge        metrics.Gauge
	pullFailures     metrics.Counter
	reportFailures   metrics.Counter
	callerMemory     metrics.Gauge
	callersGaveWay   metrics.Gauge
	callersDenied    metrics.Gauge
	firstTokenTime   metrics.Histogram
	answerTime       metrics.Histogram
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h)
		return h
	}
	return &serverMetrics{
		registry:         r,
		requests:         metrics.NewRegisteredCounter("requests_total", r),
		refusals:         metrics.NewRegisteredCounter("refusals_total", r),
		retries:          metrics.NewRegisteredCounter("retries_total", r),
		streamsRecovered: metrics.NewRegisteredCounter("streams_recovered_total", r),
		streamsStalled:   metrics.NewRegisteredCounter("streams_stalled_total", r),
		wrongAnswers:     metrics.NewRegisteredCounter("wrong_answers_total", r),
		billsAtRisk:      metrics.NewRegisteredGauge("bill_records_at_risk", r),
		billsHeld:        metrics.NewRegisteredGauge("bill_records_held", r),
		tickets:          metrics.NewRegisteredGauge("tickets_remembered", r),
		waiting:          metrics.NewRegisteredGauge("requests_waiting", r),
		configAge:        metrics.NewRegisteredGauge("configuration_age_nanoseconds", r),
		pullFailures:     metrics.NewRegisteredCounter("pull_failures_total", r),
		reportFailures:   metrics.NewRegisteredCounter("report_failures_total", r),
		callerMemory:     metrics.NewRegisteredGauge("caller_memory_bytes", r),
		callersGaveWay:   metrics.NewRegisteredGauge("callers_gave_way_total", r),
		callersDenied:    metrics.NewRegisteredGauge("callers_denied_total", r),
		firstTokenTime:   histogram("first_token_nanoseconds"),
		answerTime:       histogram("answer_nanoseconds"),
	}
}
