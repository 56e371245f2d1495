package entry

import "github.com/rcrowley/go-metrics"

// sampleSize and sampleAlpha set up the reservoirs of the timers.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// measures are the metrics of an entry process. Times are in nanoseconds.
type measures struct {
	registry       metrics.Registry
	requests       metrics.Counter
	refusals       metrics.Counter
	retries        metrics.Counter
	resumed        metrics.Counter
	stalls         metrics.Counter
	wrongAnswers   metrics.Counter
	billsAtRisk    metrics.Gauge
	billsHeld      metrics.Gauge
	tickets        metrics.Gauge
	waiting        metrics.Gauge
	freshness      metrics.Gauge
	pullFailures   metrics.Counter
	reportFailures metrics.Counter
	firstToken     metrics.Histogram
	whole          metrics.Histogram
}

func newMeasures(r metrics.Registry) *measures {
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h)
		return h
	}
	return &measures{
		registry:       r,
		requests:       metrics.NewRegisteredCounter("requests_total", r),
		refusals:       metrics.NewRegisteredCounter("refusals_total", r),
		retries:        metrics.NewRegisteredCounter("retries_total", r),
		resumed:        metrics.NewRegisteredCounter("streams_recovered_total", r),
		stalls:         metrics.NewRegisteredCounter("streams_stalled_total", r),
		wrongAnswers:   metrics.NewRegisteredCounter("wrong_answers_total", r),
		billsAtRisk:    metrics.NewRegisteredGauge("bill_records_at_risk", r),
		billsHeld:      metrics.NewRegisteredGauge("bill_records_held", r),
		tickets:        metrics.NewRegisteredGauge("tickets_remembered", r),
		waiting:        metrics.NewRegisteredGauge("requests_waiting", r),
		freshness:      metrics.NewRegisteredGauge("configuration_age_nanoseconds", r),
		pullFailures:   metrics.NewRegisteredCounter("pull_failures_total", r),
		reportFailures: metrics.NewRegisteredCounter("report_failures_total", r),
		firstToken:     histogram("first_token_nanoseconds"),
		whole:          histogram("answer_nanoseconds"),
	}
}
