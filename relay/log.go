package relay

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// recordRequestEnd counts a request that has ended and logs it once.
func (r *Relay) recordRequestEnd(j *job, end RequestEnd, refusal *contract.Refusal) {
	now := r.opts.Now()
	r.Metrics.countEnd(j, end, refusal, now)
	r.settleTrial(j)
	fields := []zap.Field{
		zap.String("request", string(j.ID)), zap.String("route", j.Route.Name), zap.String("workspace", string(j.Workspace)),
		zap.Stringer("revision", j.Revision), zap.String("upstream", string(j.lastUpstream.ID)), zap.String("release", j.lastUpstream.Release),
		zap.String("model", string(j.model)), zap.Float64("confidence", j.confidence),
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.Int("failures", j.failures), zap.Stringer("outcome", j.outcome()), zap.Int("status", j.status),
		zap.Int64("objective_ms", j.Route.Objective.Milliseconds()), zap.Int64("took_ms", now.Sub(j.Arrived).Milliseconds()),
	}
	if j.escalated {
		fields = append(fields, zap.Float64("given_up_confidence", j.discardedConfidence))
	}
	if j.via != "" {
		fields = append(fields, zap.String("via", string(j.via)))
	}
	if j.forwarded {
		fields = append(fields, zap.Bool("forwarded", true))
	}
	if !j.firstAnswerAt.IsZero() {
		fields = append(fields, zap.Int64("first_ms", j.firstAnswerAt.Sub(j.Arrived).Milliseconds()))
	}
	fields = append(fields, j.timing.fields(j.Route.TargetGap)...)
	if end == Refused || end == StreamCut {
		fields = append(fields, zap.Strings("attempts", attemptTexts(j.attempts)))
		fields = append(fields, r.decisionContext(j)...)
	}
	if refusal != nil && refusal.Kind == contract.RefusedQuarantined {
		fields = append(fields, zap.Stringer("print", j.suspectFingerprint()))
	}
	if refusal != nil {
		fields = append(fields, zap.String("reason", string(refusal.Kind)), zap.String("step", string(refusal.Step)), zap.String("detail", refusal.Detail))
	}
	switch end {
	case Delivered:
		r.log.Info("delivered", fields...)
	case Refused:
		r.log.Warn("refused", fields...)
	case StreamCut:
		r.log.Warn("cut", fields...)
	case CallerGone:
		r.log.Info("caller-gone", fields...)
	}
}

// Ends of attempts that are not results of an upstream.
const (
	// endSilent means that this VM ended the attempt in favor of another one, because it was silent.
	endSilent = "ended-silent"
	// endNotAccepted means that a successor of a silent attempt was rejected, or was not needed.
	endNotAccepted = "not-accepted"
)

// logAttemptEnd keeps the end of an attempt without a complete answer for the line
// with which the request ends.
func (j *job) logAttemptEnd(e upstream.Entry, result upstream.Result) {
	if result != upstream.Succeeded {
		j.attempts = append(j.attempts, endedAttempt{e.ID, j.endText(result)})
	}
}

// attemptTexts returns the attempts of a request as text, oldest first.
func attemptTexts(attempts []endedAttempt) []string {
	texts := make([]string, len(attempts))
	for i, a := range attempts {
		texts[i] = string(a.upstream) + " " + a.end
	}
	return texts
}

// decisionContext returns log fields with the state on which the decisions
// for a request were based, and the age of that state.
func (r *Relay) decisionContext(j *job) []zap.Field {
	fields := []zap.Field{}
	if r.opts.ListAge != nil {
		fields = append(fields, zap.Int64("list_age_ms", r.opts.ListAge().Milliseconds()))
	}
	r.withLock(func() {
		if backedOff, leaving := r.table.CountBackedOff(r.opts.Now()); backedOff+leaving > 0 {
			fields = append(fields, zap.Int("upstreams_resting", backedOff), zap.Int("upstreams_say_leaving", leaving))
		}
		if limited := r.table.CountLimited(); limited > 0 {
			fields = append(fields, zap.Int("upstreams_limited", limited))
		}
		if len(r.evacuations) > 0 {
			var centres []string
			for _, dc := range slices.Sorted(maps.Keys(r.evacuations)) {
				centres = append(centres, string(dc))
			}
			fields = append(fields, zap.Strings("evacuated", centres))
		}
		fields = append(fields, zap.Int("upstreams", len(r.entries)), zap.Int("upstreams_cold", r.table.CountCold(r.opts.Now())), zap.Int("vms", r.opts.VMs()),
			zap.Float64("budget_left", roundToHundredths(r.retryBudget(j.service).UnusedShare(r.slackVMs(), r.opts.Now()))))
	})
	return fields
}

func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// logFirstToken logs the estimated times of an attempt with a prompt,
// and the measured time until its answer began.
// The caller holds mu.
func (r *Relay) logFirstToken(j *job, h *ResponseHead) {
	pending := j.pending
	r.log.Info("attempt", zap.String("request", string(j.ID)), zap.String("upstream", string(pending.upstream)), zap.String("model", string(j.model)), zap.String("why", j.modelReason),
		zap.Int("prompt", j.PromptTokens), zap.Int("shared", pending.work.Prompt.SharedTokens()), zap.Int("kept", pending.estimate.CachedTokens),
		zap.Int64("wait_ms", pending.estimate.Wait.Milliseconds()), zap.Int64("read_ms", pending.estimate.Prefill.Milliseconds()),
		zap.Int64("first_ms", r.opts.Now().Sub(pending.sentAt).Milliseconds()), zap.Float64("confidence", h.Confidence), zap.Int("slowdown_percent", slowdownPercent(h)),
		zap.Float64("pace", roundToHundredths(pending.estimate.Pace)), zap.Int64("pace_age_ms", pending.estimate.PaceAge.Milliseconds()),
		zap.Float64("pause_cost", roundToHundredths(pending.estimate.PauseCost)))
}

// logUndelimited logs how the request of an answer without a marked end stood when the answer ended:
// only the write of the request may have noticed that the connection was reset.
func (r *Relay) logUndelimited(j *job, a *attempt) {
	write := a.answer.WriteState()
	r.log.Info("undelimited", zap.String("request", string(j.ID)), zap.String("upstream", string(a.entry.ID)), zap.Int("body", len(j.Body)),
		zap.Stringer("write", write), zap.NamedError("write_error", write.Err), zap.Int64("took_ms", r.opts.Now().Sub(a.startedAt).Milliseconds()))
}

// isFull reports whether an upstream has rejected a request for want of room.
func (h *ResponseHead) isFull() bool {
	return h.NotRun && h.Status == http.StatusServiceUnavailable && h.Notices.Backoff == 0
}

// logFull logs that an upstream had no room for a request, with what this VM had assumed about the room
// when it selected the upstream, and the load that the upstream states. The caller holds mu.
func (r *Relay) logFull(j *job, h *ResponseHead, e upstream.Entry) {
	r.Metrics.rejectionsFull.Inc(1)
	load := ""
	if h.Load != nil {
		load = fmt.Sprintf("%d,%d", h.Load.Running, h.Load.Waiting)
	}
	r.log.Info("upstream-full", zap.String("upstream", string(e.ID)), zap.Int64("born", e.Incarnation), zap.String("request", string(j.ID)),
		zap.Int64("listed_ms", j.room.ListedFor.Milliseconds()), zap.Bool("known_brittle", j.room.Brittle),
		zap.Int("in_flight", j.room.InFlight), zap.Int("orphans", j.room.Orphans), zap.Int("share", j.room.Share), zap.Int("slots", e.Slots), zap.Int("senders", j.room.Senders),
		zap.Int("vms", j.room.VMs), zap.Int("near", j.room.LocalVMs), zap.Bool("near_incomplete", j.room.Incomplete),
		zap.String("load", load), zap.Int64("sent_ms", r.opts.Now().Sub(j.sentAt).Milliseconds()))
}

// slowdownPercent returns the slowdown that an upstream stated in an answer, or 0 if it stated none.
func slowdownPercent(h *ResponseHead) int {
	if h.Load == nil {
		return 0
	}
	return h.Load.SlowdownPercent
}

// logSilence logs whether an attempt that is silent beyond its deadline is ended
// in favor of the next attempt, or goes on for a reason.
func (r *Relay) logSilence(j *job, next *reservation, reason retry.Reason, silence, late time.Duration) {
	fields := []zap.Field{
		zap.String("request", string(j.ID)), zap.String("upstream", string(j.lastUpstream.ID)), zap.Int64("silence_ms", silence.Milliseconds()),
		zap.Bool("began", j.headSent), zap.Int("sends", j.sends), zap.Int64("late_ms", late.Milliseconds()),
	}
	if next == nil {
		r.Metrics.silentKept.Inc(1)
		r.log.Info("silent-kept", append(fields, zap.String("why", string(reason)))...)
		return
	}
	r.log.Info("silent-ended", append(fields, zap.String("next", string(next.lastUpstream.ID)))...)
}

// logRejectedSuccessor logs that the successor of a silent attempt was rejected,
// so that the silent attempt goes on.
func (r *Relay) logRejectedSuccessor(s *successor) {
	fields := []zap.Field{
		zap.String("request", string(s.job.ID)), zap.String("upstream", string(s.job.lastUpstream.ID)), zap.Bool("began", s.job.headSent),
		zap.Bool("sent", s.sent.Load()), zap.Int64("took_ms", r.opts.Now().Sub(s.startedAt).Milliseconds()),
	}
	if s.err != nil {
		fields = append(fields, zap.Error(s.err))
	} else {
		fields = append(fields, zap.Int("status", s.head.Status), zap.Bool("not_run", s.head.NotRun))
	}
	r.log.Info("successor-rejected", fields...)
}

// logRetry logs the reason for another attempt.
func (r *Relay) logRetry(j *job, err error) {
	why := "upstream answered with a failure"
	if err != nil {
		why = err.Error()
	}
	r.log.Info("retry", zap.String("request", string(j.ID)), zap.String("upstream", string(j.lastUpstream.ID)),
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.String("why", why), zap.Duration("left", time.Until(j.Deadline).Round(time.Millisecond)), zap.Bool("began", j.headSent))
}

// logBadRelease logs that this VM found a release to be bad.
func (r *Relay) logBadRelease(c *rollout.Canary) {
	o := c.Order()
	r.log.Warn("release-bad", append([]zap.Field{zap.String("service", string(o.Service)), zap.String("release", o.Release)}, GroundsFields(c.Grounds())...)...)
}

// GroundsFields returns log fields with what a VM knew about a release on trial when it decided.
func GroundsFields(g rollout.Grounds) []zap.Field {
	var ends []string
	for _, how := range slices.Sorted(maps.Keys(g.Ends)) {
		ends = append(ends, fmt.Sprintf("%s=%d", how, g.Ends[how]))
	}
	fields := []zap.Field{zap.Strings("trial_ends", ends), zap.Int("trial_open", g.Open), zap.Int("sources", g.Sources)}
	for i, prefix := range []string{"", "fleet_"} {
		counts := []rollout.GroundCounts{g.Own, g.Fleet}[i]
		fields = append(fields,
			zap.Int64(prefix+"trial_sent", counts.Sent), zap.Int64(prefix+"trial_good", counts.Trial.Good), zap.Int64(prefix+"trial_bad", counts.Trial.Bad),
			zap.Int64(prefix+"others_good", counts.Others.Good), zap.Int64(prefix+"others_bad", counts.Others.Bad),
			zap.Uint32s(prefix+"first_ranks", counts.Ranks[rollout.PhaseFirst][:]), zap.Uint32s(prefix+"event_ranks", counts.Ranks[rollout.PhaseEvent][:]))
	}
	return fields
}
