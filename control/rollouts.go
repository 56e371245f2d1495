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

// Interval and timeout for deciding and writing the steps of rollouts.
const (
	rolloutInterval = time.Second
	rolloutTimeout  = 5 * time.Second
)

// rolloutLoop advances the rollouts while this VM is a watcher (one of the VMs that watch the
// platform's store for their data centre). Several watchers may decide on a step at the same time.
// The conditional write of the root object lets only one of them succeed.
func (s *Server) rolloutLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, rolloutInterval)
		isWatcher := false
		s.withLock(func() { isWatcher = s.table.IsWatcher(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if !isWatcher {
			continue
		}
		for m, next := range s.decideSteps(ctx) {
			if err := s.publishStep(ctx, m, next); err != nil {
				s.log.Warn("step-failed", append(logs.ErrorFields(err), zap.String("model", string(m)))...)
			}
		}
	}
}

// decidedStep is the next progress of a rollout and the reason for that progress.
type decidedStep struct {
	progress config.Progress
	reason   rollout.Reason
}

// decideSteps returns the next step, by model, of each rollout that is due to advance.
func (s *Server) decideSteps(ctx context.Context) map[contract.ModelID]decidedStep {
	var conf *config.Config
	s.withLock(func() { conf = s.config })
	steps := make(map[contract.ModelID]decidedStep)
	for m, ro := range conf.Rollouts {
		loaded := conf.Progress[m] != nil || s.loadOnAllEngines(ctx, conf, ro)
		s.withLock(func() {
			p, reason := rollout.Next(s.rolloutSituation(conf, ro, loaded), s.clock.Now())
			if p != nil {
				steps[m] = decidedStep{*p, reason}
			}
		})
	}
	return steps
}

// rolloutSituation returns the input for deciding the next step of a rollout. The caller
// holds mu.
func (s *Server) rolloutSituation(conf *config.Config, ro *config.Rollout, loaded bool) rollout.StepInput {
	now := s.clock.Now()
	p := conf.Progress[ro.Model]
	observed := s.stepObservations[ro.Model]
	if p != nil && observed.progress != *p {
		observed = stepObservation{progress: *p, firstSeenAt: now, countsGrewAt: now}
	}
	if p != nil {
		if counts := s.evidence.Sum(ro.To, p.Step); counts != observed.counts {
			observed.counts, observed.countsGrewAt = counts, now
		}
	}
	s.stepObservations[ro.Model] = observed
	return rollout.StepInput{
		Rollout: ro, Progress: p, Evidence: s.evidence, Halted: s.halted[ro.To], Loaded: loaded,
		StepSince: observed.firstSeenAt, LastRating: observed.countsGrewAt, DataCentreUnreachable: s.hasSilentDataCentre(now),
	}
}

// hasSilentDataCentre returns whether some data centre is silent: a configured peer belongs to the
// data centre, but no VM of it is known to be live. The caller holds mu.
func (s *Server) hasSilentDataCentre(now time.Time) bool {
	live := make(map[contract.DataCentreID]bool)
	for _, m := range s.table.Live(now) {
		live[m.DataCentre] = true
	}
	for _, p := range s.opts.Settings.Peers {
		if !live[p.DataCentre] {
			return true
		}
	}
	return false
}

// publishStep writes a decided step of a rollout to the configuration for which the step was
// decided. If the configuration has changed since, nothing is written, and rolloutLoop decides
// again.
func (s *Server) publishStep(ctx context.Context, m contract.ModelID, next decidedStep) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	base, err := history.Load(ctx, s.store)
	if err != nil {
		return err
	}
	unchanged := false
	s.withLock(func() { unchanged = s.replica.Document().Revision == base.Root.Revision })
	if !unchanged {
		return nil
	}
	sections := base.Document.Sections()
	sections[config.ProgressSectionName(m)] = next.progress.Section()
	author := history.ChangeInfo{
		Author: string(s.opts.Settings.VM), At: s.clock.Now(),
		Reason: fmt.Sprintf("roll-out of %s: %s, step %d: %s", next.progress.To, next.progress.State, next.progress.Step, next.reason),
	}
	startedAt := s.clock.Now()
	root, err := history.Publish(ctx, s.store, base, sections, author)
	var conflict *history.ConflictError
	if errors.As(err, &conflict) {
		return nil // another VM or an operator changed the configuration first
	}
	if err != nil {
		return contract.WrapStep(contract.StepRollout, "platform", err)
	}
	s.log.Info("rollout-stepped", zap.String("version", string(next.progress.To)), zap.String("state", string(next.progress.State)),
		zap.Int("step", next.progress.Step), zap.String("why", string(next.reason)), zap.Uint64("revision", uint64(root.Revision)))
	return s.adoptDocument(document.New(root.Revision, root.Change, sections), startedAt, 0)
}
