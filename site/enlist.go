package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/logs"
)

// Timings of the list of VMs in the store. A VM writes itself there when nobody
// knows it yet, and the list is read by those whom others do not answer, to whom a
// stranger speaks, and now and then by the VMs that speak for their data centre: at
// 295 VMs that each read it, a start took 590 calls.
const (
	enlistAgain = 700 * time.Millisecond
	enlistMost  = 10 * time.Second
	enlistEvery = time.Minute
	// joinWithin is how long a VM that starts again waits for an answer of one that
	// knows it from before, and joinFirst how long one does at the first start of
	// the system, when those it asks have to read the list first.
	joinWithin = time.Second
	joinFirst  = 2500 * time.Millisecond
	// strangersGather is the pause before the list is read for a stranger, and
	// strangersRest the least time between two such readings: many start at once.
	strangersGather = 300 * time.Millisecond
	strangersRest   = time.Second
)

// enlist keeps this VM in the store's list of VMs, and what it knows of the others
// there up to date.
func (s *Site) enlist(ctx context.Context) {
	if s.opts.Peers.AskedFirst() && !s.opts.FirstStart {
		// Those that start with it are refused until it knows them: 0.3 s more
		// without a VM that serves, after a loss of power everywhere.
		go s.keepTrying(ctx, s.readVMs)
	}
	if !s.opts.FirstStart && s.joins(ctx, joinWithin) {
		s.log.Info("joined")
	} else {
		s.keepTrying(ctx, s.enlistOnce)
	}
	regularly := time.NewTicker(enlistEvery)
	defer regularly.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-regularly.C:
			if s.opts.Peers.Speaks() || s.opts.Peers.Alone() {
				s.keepTrying(ctx, s.readVMs)
			}
		case <-s.opts.Peers.Strangers():
			clock.Pause(ctx, strangersGather)
			s.keepTrying(ctx, s.readVMs)
			clock.Pause(ctx, strangersRest)
		}
	}
}

// joins tells whether another VM has answered this one within a time.
func (s *Site) joins(ctx context.Context, within time.Duration) bool {
	if !s.opts.Peers.Expected() {
		return false
	}
	for end := s.opts.Now().Add(within); ctx.Err() == nil && s.opts.Now().Before(end); {
		if s.opts.Peers.Joined() {
			return true
		}
		clock.Pause(ctx, lookAgain)
	}
	return false
}

// keepTrying makes a call until it succeeds, more and more seldom.
func (s *Site) keepTrying(ctx context.Context, call func(context.Context) error) {
	for pause := enlistAgain; ctx.Err() == nil; pause = min(2*pause, enlistMost) {
		err := call(ctx)
		if err == nil {
			return
		}
		s.log.Warn("enlist-failed", logs.Failure(err)...)
		clock.Pause(ctx, pause)
	}
}

// enlistOnce writes this VM into the list; one that nobody has answered reads who is
// there.
func (s *Site) enlistOnce(ctx context.Context) error {
	if err := s.opts.PutVM(ctx); err != nil {
		return err
	}
	s.log.Info("enlisted", zap.String("link", s.opts.Link))
	if s.opts.FirstStart && s.joins(ctx, joinFirst) {
		return nil
	}
	return s.readVMs(ctx)
}

// readVMs reads who is in the store's list.
func (s *Site) readVMs(ctx context.Context) error {
	vms, err := s.opts.VMs(ctx)
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(vms))
	for _, a := range vms {
		addresses = append(addresses, a)
	}
	s.opts.Peers.Listed(addresses)
	s.log.Info("vms-listed", zap.Int("listed", len(vms)))
	return nil
}
