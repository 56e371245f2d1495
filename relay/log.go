package relay

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/rollout"
)

// finish counts a request and logs it, once, at its end.
func (r *Relay) finish(j *job, end End, f *contract.Refusal) {
	now := r.opts.Now()
	r.Metrics.count(j, end, f, now)
	fields := []zap.Field{
		zap.String("request", string(j.ID)), zap.String("route", j.Route.Name), zap.String("workspace", string(j.Workspace)),
		zap.Int64("revision", int64(j.Revision)), zap.String("upstream", string(j.last.ID)), zap.String("release", j.last.Release),
		zap.String("model", string(j.model)), zap.Float64("confidence", j.confident),
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.Int("failures", j.failures), zap.Stringer("outcome", j.outcome), zap.Int("status", j.status),
		zap.Int64("objective_ms", j.Route.Objective.Milliseconds()), zap.Int64("took_ms", now.Sub(j.Arrived).Milliseconds()),
	}
	if j.escalated {
		fields = append(fields, zap.Float64("given_up_confidence", j.givenUp))
	}
	if !j.firstAt.IsZero() {
		fields = append(fields, zap.Int64("first_ms", j.firstAt.Sub(j.Arrived).Milliseconds()))
	}
	if end == Refused || end == Cut {
		fields = append(fields, r.beliefs(j)...)
	}
	if f != nil && f.Kind == contract.RefusedHeld {
		fields = append(fields, zap.Stringer("print", j.print()))
	}
	if f != nil {
		fields = append(fields, zap.String("reason", string(f.Kind)), zap.String("step", string(f.Step)), zap.String("detail", f.Detail))
	}
	switch end {
	case Delivered:
		r.log.Info("delivered", fields...)
	case Refused:
		r.log.Warn("refused", fields...)
	case Cut:
		r.log.Warn("cut", fields...)
	case Gone:
		r.log.Info("caller-gone", fields...)
	}
}

// beliefs returns what the decisions on a request rested on, and how old it was.
func (r *Relay) beliefs(j *job) []zap.Field {
	fields := []zap.Field{}
	if r.opts.ListAge != nil {
		fields = append(fields, zap.Int64("list_age_ms", r.opts.ListAge().Milliseconds()))
	}
	r.locked(func() {
		if resting, leaving := r.table.Resting(r.opts.Now()); resting+leaving > 0 {
			fields = append(fields, zap.Int("upstreams_resting", resting), zap.Int("upstreams_say_leaving", leaving))
		}
		if limited := r.table.CountLimited(); limited > 0 {
			fields = append(fields, zap.Int("upstreams_limited", limited))
		}
		if len(r.evacuated) > 0 {
			var centres []string
			for _, dc := range slices.Sorted(maps.Keys(r.evacuated)) {
				centres = append(centres, string(dc))
			}
			fields = append(fields, zap.Strings("evacuated", centres))
		}
		fields = append(fields, zap.Int("upstreams", len(r.entries)), zap.Int("upstreams_cold", r.table.Cold(r.opts.Now())), zap.Int("vms", r.opts.VMs()),
			zap.Float64("budget_left", round(r.budget(j.service).Left(r.opts.VMs(), r.opts.Now()))))
	})
	return fields
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

// logAttempt says what was expected of an attempt at a prompt, and what came. The
// caller holds mu.
func (r *Relay) logAttempt(j *job, h *Head) {
	w := j.waits
	r.log.Info("attempt", zap.String("request", string(j.ID)), zap.String("upstream", string(w.upstream)), zap.String("model", string(j.model)), zap.String("why", j.why),
		zap.Int("prompt", j.PromptTokens), zap.Int("shared", w.work.Prompt.Shared()), zap.Int("kept", w.expected.Kept),
		zap.Int64("wait_ms", w.expected.Wait.Milliseconds()), zap.Int64("read_ms", w.expected.Reading.Milliseconds()),
		zap.Int64("first_ms", r.opts.Now().Sub(w.since).Milliseconds()), zap.Float64("confidence", h.Confidence))
}

// logRetry says why a request is sent once more.
func (r *Relay) logRetry(j *job, err error) {
	why := "failure of the upstream's own"
	if err != nil {
		why = err.Error()
	}
	r.log.Info("retry", zap.String("request", string(j.ID)), zap.String("upstream", string(j.last.ID)),
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.String("why", why), zap.Duration("left", time.Until(j.Deadline).Round(time.Millisecond)), zap.Bool("began", j.began))
}

// logVerdict says that a release was found bad here.
func (r *Relay) logVerdict(c *rollout.Canary) {
	trial, old := c.Counts()
	o := c.Order()
	r.log.Warn("release-bad", zap.String("service", string(o.Service)), zap.String("release", o.Release),
		zap.Int64("trial_bad", trial.Bad), zap.Int64("trial_good", trial.Good),
		zap.Int64("others_bad", old.Bad), zap.Int64("others_good", old.Good))
}
