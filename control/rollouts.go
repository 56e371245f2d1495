package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/history"
	"woaddoor/logs"
	"woaddoor/rollout"
)

// Timings of roll-outs.
const (
	rolloutEvery   = time.Second
	rolloutTimeout = 5 * time.Second
)

// rolloutLoop steps the roll-outs, on the watchers. Several may decide at
// once: the conditional write lets one of them make the step.
func (s *Server) rolloutLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, rolloutEvery)
		watches := false
		s.locked(func() { watches = s.table.Watches(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if !watches {
			continue
		}
		for m, p := range s.steps(ctx) {
			if err := s.step(ctx, m, p); err != nil {
				s.log.Warn("step-failed", append(logs.Failure(err), zap.String("model", string(m)))...)
			}
		}
	}
}

// next is a decided step and why it is made.
type next struct {
	progress config.Progress
	why      rollout.Reason
}

// steps decides the next step of each roll-out.
func (s *Server) steps(ctx context.Context) map[contract.ModelID]next {
	var conf *config.Config
	s.locked(func() { conf = s.config })
	decided := make(map[contract.ModelID]next)
	for m, ro := range conf.Rollouts {
		loaded := conf.Progress[m] != nil || s.loadEverywhere(ctx, conf, ro)
		s.locked(func() {
			p, why := rollout.Next(s.situation(conf, ro, loaded), s.clock.Now())
			if p != nil {
				decided[m] = next{*p, why}
			}
		})
	}
	return decided
}

// situation gathers what is known of a roll-out. The caller holds mu.
func (s *Server) situation(conf *config.Config, ro *config.Rollout, loaded bool) rollout.Situation {
	now := s.clock.Now()
	p := conf.Progress[ro.Model]
	seen := s.ramps[ro.Model]
	if p != nil && seen.progress != *p {
		seen = ramp{progress: *p, since: now, lastGrown: now}
	}
	if p != nil {
		if counts := s.seen.Sum(ro.To, p.Step); counts != seen.counts {
			seen.counts, seen.lastGrown = counts, now
		}
	}
	s.ramps[ro.Model] = seen
	return rollout.Situation{
		Rollout: ro, Progress: p, Evidence: s.seen, Halted: s.halts[ro.To], Loaded: loaded,
		StepSince: seen.since, LastRating: seen.lastGrown, CutOff: s.cutOff(now),
	}
}

// cutOff tells whether some data centre of the settings is not heard of. The
// caller holds mu.
func (s *Server) cutOff(now time.Time) bool {
	heard := make(map[contract.DataCentreID]bool)
	for _, m := range s.table.Live(now) {
		heard[m.DataCentre] = true
	}
	for _, p := range s.opts.Settings.Peers {
		if !heard[p.DataCentre] {
			return true
		}
	}
	return false
}

// step writes a decided step, on the configuration that it was decided on. If
// that has changed meanwhile, the write fails and the next round decides anew.
func (s *Server) step(ctx context.Context, m contract.ModelID, n next) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	base, err := history.Load(ctx, s.store)
	if err != nil {
		return err
	}
	same := false
	s.locked(func() { same = s.replica.Held().Revision == base.Root.Revision })
	if !same {
		return nil
	}
	sections := base.Document.Sections()
	sections[config.ProgressSection(m)] = n.progress.Text()
	author := history.Author{
		Who: string(s.opts.Settings.VM), At: s.clock.Now(),
		Why: fmt.Sprintf("roll-out of %s: %s, step %d: %s", n.progress.To, n.progress.State, n.progress.Step, n.why),
	}
	asked := s.clock.Now()
	root, err := history.Publish(ctx, s.store, base, sections, author)
	var conflict *history.Conflict
	if errors.As(err, &conflict) {
		return nil // another VM, or an operator, was first
	}
	if err != nil {
		return contract.Fail(contract.StepRollout, "platform", err)
	}
	s.log.Info("rollout-stepped", zap.String("version", string(n.progress.To)), zap.String("state", string(n.progress.State)),
		zap.Int("step", n.progress.Step), zap.String("why", string(n.why)), zap.Uint64("revision", uint64(root.Revision)))
	return s.learn(document.New(root.Revision, root.Change, sections), asked, 0)
}
