package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/retry"
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
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.Int("failures", j.failures), zap.Stringer("outcome", j.outcome),
		zap.Int64("took_ms", now.Sub(j.Arrived).Milliseconds()),
	}
	if !j.firstAt.IsZero() {
		fields = append(fields, zap.Int64("first_ms", j.firstAt.Sub(j.Arrived).Milliseconds()))
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

// logRetry says why a request is sent once more.
func (r *Relay) logRetry(j *job, err error, _ retry.Reason) {
	why := "failure of the upstream's own"
	if err != nil {
		why = err.Error()
	}
	r.log.Info("retry", zap.String("request", string(j.ID)), zap.String("upstream", string(j.last.ID)),
		zap.Uint64("session", j.Session), zap.Int("sends", j.sends), zap.String("why", why), zap.Duration("left", time.Until(j.Deadline).Round(time.Millisecond)))
}

// logVerdict says that a release was found bad here.
func (r *Relay) logVerdict(c *rollout.Canary) {
	trial, old := c.Counts()
	o := c.Order()
	r.log.Warn("release-bad", zap.String("service", string(o.Service)), zap.String("release", o.Release),
		zap.Int64("trial_bad", trial.Bad), zap.Int64("trial_good", trial.Good),
		zap.Int64("others_bad", old.Bad), zap.Int64("others_good", old.Good))
}
