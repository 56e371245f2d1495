package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"woaddoor/contract"
	"woaddoor/upstream"
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
	// promptWait is how long prompts are expected to wait at the engine that was
	// chosen, tokens how many they have, kept how many were expected to be kept.
	promptWait   metrics.Histogram
	tokens, kept metrics.Counter
	// price is what a mean reading costs those behind it, in thousandths of what
	// a mean request is worth.
	price metrics.Histogram
	whole metrics.Histogram
	// upstreamsEnded counts the upstreams that ended under requests.
	upstreamsEnded metrics.Counter
	// leaves and rests count the answers by which upstreams first said that they leave, or
	// asked for a longer rest; toLeaving and toResting the choices of such ones, and barred
	// the sends that did not go out since their upstream had said so meanwhile.
	leaves, rests, toLeaving, toResting, barred metrics.Counter
	// limits counts the changes of upstreams' limits, and toLimited the sends to such ones.
	limits, toLimited metrics.Counter
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
		promptWait:  histogram("prompt_wait_milliseconds"),
		price:       histogram("reading_price_thousandths"),
		tokens:      metrics.NewRegisteredCounter("prompt_tokens_total", r),
		kept:        metrics.NewRegisteredCounter("prompt_tokens_kept_total", r),
		whole:       histogram("whole_answer_milliseconds"),

		upstreamsEnded: metrics.NewRegisteredCounter("upstreams_ended_total", r),
		leaves:         metrics.NewRegisteredCounter("upstream_leaves_total", r),
		rests:          metrics.NewRegisteredCounter("upstream_rests_total", r),
		toLeaving:      metrics.NewRegisteredCounter("sends_to_leaving_total", r),
		barred:         metrics.NewRegisteredCounter("sends_barred_total", r),
		limits:         metrics.NewRegisteredCounter("upstream_limits_total", r),
		toLimited:      metrics.NewRegisteredCounter("sends_to_limited_total", r),
		toResting:      metrics.NewRegisteredCounter("sends_to_resting_total", r),
	}
}

// prompt counts a prompt that goes to an upstream.
func (m *Metrics) prompt(w upstream.Work, e upstream.Estimate, price float64) {
	m.promptWait.Update(e.Wait.Milliseconds())
	m.price.Update(int64(1000 * price))
	m.tokens.Inc(int64(w.Prompt.Tokens))
	m.kept.Inc(int64(e.Kept))
	metrics.GetOrRegisterCounter("prompts_"+string(w.Prompt.Model)+"_total", m.Registry).Inc(1)
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
