package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// Parameters of the exponentially decaying samples behind the histograms.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// Metrics are the counters and histograms of a relay. Times are in milliseconds.
type Metrics struct {
	Registry    metrics.Registry
	requests    metrics.Counter
	delivered   metrics.Counter
	refused     metrics.Counter
	streamsCut  metrics.Counter
	callersGone metrics.Counter
	retries     metrics.Counter
	escalations metrics.Counter
	stalls      metrics.Counter
	// silentKept counts the silent attempts that went on because the next attempt was not allowed.
	silentKept metrics.Counter
	// rejectionsFull counts the requests that upstreams rejected for want of room.
	rejectionsFull metrics.Counter
	// successorsRejected counts the successors of silent attempts that were rejected.
	successorsRejected metrics.Counter
	firstAnswer        metrics.Histogram
	// promptWait is the expected queueing time of prompts at the chosen engine.
	// promptTokens counts the tokens of these prompts,
	// and cachedTokens the prompt tokens that the engine was expected to have cached.
	promptWait                 metrics.Histogram
	promptTokens, cachedTokens metrics.Counter
	// prefillPrice is the cost that the prefill of a prompt imposes on the requests
	// queued behind the prompt, in thousandths of the value of a mean request.
	prefillPrice metrics.Histogram
	wholeAnswer  metrics.Histogram
	// pace is the pace of the chosen engines in percent of the usual time, and pauseCost the cost of
	// the pauses that a prompt causes, in thousandths of the value of a mean request.
	// Both count only prompts to engines that state their pace.
	pace, pauseCost metrics.Histogram
	// longestPause is the longest pause between two events of a delivered stream.
	// longestForward is the longest time that events of a delivered stream took
	// from the upstream's connection to the caller's.
	longestPause, longestForward metrics.Histogram
	// upstreamsCrashed counts the upstreams that crashed while they executed requests.
	upstreamsCrashed metrics.Counter
	// leaveNotices counts the answers in which an upstream first stated
	// that it is leaving (will stop).
	// backoffNotices counts the answers that requested a longer back-off than before.
	// sendsToLeaving counts the selections of upstreams that are leaving,
	// sendsToBackedOff the selections of upstreams that had requested a back-off.
	// sendsBlocked counts the requests that were not sent
	// because a notice arrived from the upstream after the upstream was selected.
	leaveNotices, backoffNotices, sendsToLeaving, sendsToBackedOff, sendsBlocked metrics.Counter
	// limitChanges counts the changes of upstreams' rate limits,
	// and sendsToLimited the selections of upstreams with a rate limit.
	limitChanges, sendsToLimited metrics.Counter
	// forwards counts the requests that another VM has ended for this one, forwardsLost those whose VM
	// was lost, and forwardsNotTaken those that no VM has taken.
	forwards, forwardsLost, forwardsNotTaken metrics.Counter
	// shareRefusals counts the requests that were refused because they were beyond the share of
	// their workspace, and servicesShort is the number of services whose upstreams are short.
	shareRefusals metrics.Counter
	servicesShort metrics.Gauge
}

func newMetrics() *Metrics {
	r := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h) // cannot fail: the names are constant and distinct
		return h
	}
	return &Metrics{
		Registry:           r,
		requests:           metrics.NewRegisteredCounter("requests_total", r),
		delivered:          metrics.NewRegisteredCounter("requests_delivered_total", r),
		refused:            metrics.NewRegisteredCounter("requests_refused_total", r),
		streamsCut:         metrics.NewRegisteredCounter("streams_cut_total", r),
		callersGone:        metrics.NewRegisteredCounter("callers_gone_total", r),
		retries:            metrics.NewRegisteredCounter("retries_total", r),
		escalations:        metrics.NewRegisteredCounter("escalations_total", r),
		stalls:             metrics.NewRegisteredCounter("streams_stalled_total", r),
		silentKept:         metrics.NewRegisteredCounter("silent_attempts_kept_total", r),
		rejectionsFull:     metrics.NewRegisteredCounter("rejections_full_total", r),
		successorsRejected: metrics.NewRegisteredCounter("successors_rejected_total", r),
		firstAnswer:        histogram("first_answer_milliseconds"),
		promptWait:         histogram("prompt_wait_milliseconds"),
		prefillPrice:       histogram("reading_price_thousandths"),
		promptTokens:       metrics.NewRegisteredCounter("prompt_tokens_total", r),
		cachedTokens:       metrics.NewRegisteredCounter("prompt_tokens_kept_total", r),
		wholeAnswer:        histogram("whole_answer_milliseconds"),
		pace:               histogram("upstream_pace_percent"),
		pauseCost:          histogram("pause_cost_thousandths"),

		longestPause:   histogram("stream_pause_milliseconds"),
		longestForward: histogram("stream_forward_milliseconds"),

		upstreamsCrashed: metrics.NewRegisteredCounter("upstreams_ended_total", r),
		leaveNotices:     metrics.NewRegisteredCounter("upstream_leaves_total", r),
		backoffNotices:   metrics.NewRegisteredCounter("upstream_rests_total", r),
		sendsToLeaving:   metrics.NewRegisteredCounter("sends_to_leaving_total", r),
		sendsBlocked:     metrics.NewRegisteredCounter("sends_barred_total", r),
		limitChanges:     metrics.NewRegisteredCounter("upstream_limits_total", r),
		sendsToLimited:   metrics.NewRegisteredCounter("sends_to_limited_total", r),
		sendsToBackedOff: metrics.NewRegisteredCounter("sends_to_resting_total", r),

		forwards:         metrics.NewRegisteredCounter("forwards_total", r),
		forwardsLost:     metrics.NewRegisteredCounter("forwards_lost_total", r),
		forwardsNotTaken: metrics.NewRegisteredCounter("forwards_not_taken_total", r),

		shareRefusals: metrics.NewRegisteredCounter("share_refusals_total", r),
		servicesShort: metrics.NewRegisteredGauge("services_short", r),
	}
}

// countPrompt records a prompt that is sent to an upstream.
func (m *Metrics) countPrompt(w upstream.Work, e upstream.Estimate, price float64) {
	m.promptWait.Update(e.Wait.Milliseconds())
	m.prefillPrice.Update(int64(1000 * price))
	m.promptTokens.Inc(int64(w.Prompt.Tokens))
	m.cachedTokens.Inc(int64(e.CachedTokens))
	if e.PaceKnown {
		m.pace.Update(int64(100 * e.Pace))
		m.pauseCost.Update(int64(1000 * e.PauseCost))
	}
	metrics.GetOrRegisterCounter("prompts_"+string(w.Prompt.Model)+"_total", m.Registry).Inc(1)
}

// countEnd records how a request ended.
func (m *Metrics) countEnd(j *job, end RequestEnd, refusal *contract.Refusal, now time.Time) {
	m.requests.Inc(1)
	switch end {
	case Delivered:
		m.delivered.Inc(1)
		if j.timing.longestPause > 0 {
			m.longestPause.Update(j.timing.longestPause.Milliseconds())
		}
		if j.timing.hasEvents() {
			m.longestForward.Update(j.timing.longestForward.Milliseconds())
		}
		if !j.firstAnswerAt.IsZero() {
			m.firstAnswer.Update(j.firstAnswerAt.Sub(j.Arrived).Milliseconds())
		}
		m.wholeAnswer.Update(now.Sub(j.Arrived).Milliseconds())
	case Refused:
		m.refused.Inc(1)
		metrics.GetOrRegisterCounter("refusals_"+string(refusal.Kind)+"_total", m.Registry).Inc(1)
	case StreamCut:
		m.streamsCut.Inc(1)
	case CallerGone:
		m.callersGone.Inc(1)
	}
}
