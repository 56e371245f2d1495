package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"woaddoor/contract"
)

// sampleSize and sampleAlpha set up the reservoirs of the histograms.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// Metrics are what a relay counts. Times are in milliseconds.
type Metrics struct {
	Registry    metrics.Registry
	requests    metrics.Counter
	delivered   metrics.Counter
	refused     metrics.Counter
	cut         metrics.Counter
	gone        metrics.Counter
	retries     metrics.Counter
	escalations metrics.Counter
	stalls      metrics.Counter
	first       metrics.Histogram
	whole       metrics.Histogram
}

func newMetrics() *Metrics {
	r := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h) // the names are constant and differ
		return h
	}
	return &Metrics{
		Registry:    r,
		requests:    metrics.NewRegisteredCounter("requests_total", r),
		delivered:   metrics.NewRegisteredCounter("requests_delivered_total", r),
		refused:     metrics.NewRegisteredCounter("requests_refused_total", r),
		cut:         metrics.NewRegisteredCounter("streams_cut_total", r),
		gone:        metrics.NewRegisteredCounter("callers_gone_total", r),
		retries:     metrics.NewRegisteredCounter("retries_total", r),
		escalations: metrics.NewRegisteredCounter("escalations_total", r),
		stalls:      metrics.NewRegisteredCounter("streams_stalled_total", r),
		first:       histogram("first_answer_milliseconds"),
		whole:       histogram("whole_answer_milliseconds"),
	}
}

// count counts how a request ended.
func (m *Metrics) count(j *job, end End, f *contract.Refusal, now time.Time) {
	m.requests.Inc(1)
	switch end {
	case Delivered:
		m.delivered.Inc(1)
		if !j.firstAt.IsZero() {
			m.first.Update(j.firstAt.Sub(j.Arrived).Milliseconds())
		}
		m.whole.Update(now.Sub(j.Arrived).Milliseconds())
	case Refused:
		m.refused.Inc(1)
		metrics.GetOrRegisterCounter("refusals_"+string(f.Kind)+"_total", m.Registry).Inc(1)
	case Cut:
		m.cut.Inc(1)
	case Gone:
		m.gone.Inc(1)
	}
}
