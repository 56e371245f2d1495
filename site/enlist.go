package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/logs"
)

// Timings of the list of VMs in the store. It is read seldom: a VM that starts
// writes itself there and then speaks to all it finds.
const (
	enlistAgain = 700 * time.Millisecond
	enlistEvery = time.Minute
)

// enlist writes this VM into the store's list of VMs and reads who is there.
func (s *Site) enlist(ctx context.Context) {
	for ctx.Err() == nil {
		pause := enlistEvery
		if err := s.enlistOnce(ctx); err != nil {
			s.log.Warn("enlist-failed", logs.Failure(err)...)
			pause = enlistAgain
		}
		clock.Pause(ctx, pause)
	}
}

func (s *Site) enlistOnce(ctx context.Context) error {
	vms, err := s.opts.VMs(ctx)
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(vms))
	for _, a := range vms {
		addresses = append(addresses, a)
	}
	s.opts.Peers.Listed(addresses)
	if vms[s.opts.VM] == s.opts.Link {
		return nil
	}
	if err := s.opts.PutVM(ctx); err != nil {
		return err
	}
	s.log.Info("enlisted", zap.String("link", s.opts.Link), zap.Int("others", len(vms)))
	return nil
}
