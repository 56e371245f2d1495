package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/logs"
)

// Timings of the VM list in the store. A VM registers in the store if no other VM knows it yet.
// The VM list is read by VMs that get no reply from other VMs, by VMs
// that are contacted by an unknown VM, and periodically by the delegates of each data centre.
// When each of 295 VMs read the list, a start took 590 store calls.
const (
	minRegisterPause = 700 * time.Millisecond
	maxRegisterPause = 10 * time.Second
	relistInterval   = time.Minute
	// joinTimeout is how long a restarted VM waits for a reply from a VM
	// that knows the restarted VM from before.
	// firstStartJoinTimeout is how long a VM waits for a reply
	// at the first start of the deployment, when the contacted VMs have to read the VM list first.
	joinTimeout           = time.Second
	firstStartJoinTimeout = 2500 * time.Millisecond
	// relistDelay is the pause before this VM reads the VM list because an unknown VM made contact.
	// relistMinInterval is the minimum time between two such reads of the VM list.
	// Many VMs may start at once.
	relistDelay       = 300 * time.Millisecond
	relistMinInterval = time.Second
	// rejectionPatience is how long other VMs reject this VM before it checks its registration:
	// VMs that have restarted reject all others until they have read the VM list.
	// rejectionGap is the time without a rejection after which the others know this VM:
	// a VM that has rejected this one is skipped for unresponsivePeriod.
	rejectionPatience = 2 * time.Second
	rejectionGap      = unresponsivePeriod + 3*time.Second
)

// maintainRegistration keeps this VM registered in the store
// and its knowledge of the other registered VMs up to date.
func (s *Site) maintainRegistration(ctx context.Context) {
	if s.opts.Peers.IsSeed() && !s.opts.FirstStart {
		// VMs that start together with a seed (a VM that starting VMs contact first) are rejected
		// until the seed knows them. Without this read of the VM list,
		// a VM served requests 0.3 s later after a power loss of all VMs.
		go s.retryUntilSuccess(ctx, s.listVMs)
	}
	if !s.opts.FirstStart && s.awaitJoin(ctx, joinTimeout) {
		s.log.Info("joined")
	} else {
		s.retryUntilSuccess(ctx, s.register)
	}
	regularly := time.NewTicker(relistInterval)
	defer regularly.Stop()
	var rejected rejections
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.opts.Peers.Rejected():
			if rejected.persist(s.opts.Now()) {
				s.retryUntilSuccess(ctx, s.listVMs)
			}
		case <-regularly.C:
			if s.opts.Peers.IsDelegate() || s.opts.Peers.Alone() {
				s.retryUntilSuccess(ctx, s.listVMs)
			}
		case <-s.opts.Peers.UnknownPeer():
			clock.Sleep(ctx, relistDelay)
			s.retryUntilSuccess(ctx, s.listVMs)
			clock.Sleep(ctx, relistMinInterval)
		}
	}
}

// rejections is a row of rejections of this VM by others. The zero value holds none.
type rejections struct{ since, last time.Time }

// persist records a rejection and reports whether the row has lasted for rejectionPatience.
// If so, a new row begins.
func (r *rejections) persist(now time.Time) bool {
	if now.Sub(r.last) > rejectionGap {
		r.since = now
	}
	r.last = now
	if now.Sub(r.since) < rejectionPatience {
		return false
	}
	r.since = now
	return true
}

// awaitJoin reports whether another VM has replied to this VM within timeout.
func (s *Site) awaitJoin(ctx context.Context, timeout time.Duration) bool {
	if !s.opts.Peers.HasSeeds() {
		return false
	}
	for deadline := s.opts.Now().Add(timeout); ctx.Err() == nil && s.opts.Now().Before(deadline); {
		if s.opts.Peers.Joined() {
			return true
		}
		clock.Sleep(ctx, idleCheckInterval)
	}
	return false
}

// retryUntilSuccess repeats call until call succeeds, with growing pauses.
func (s *Site) retryUntilSuccess(ctx context.Context, call func(context.Context) error) {
	for pause := minRegisterPause; ctx.Err() == nil; pause = min(2*pause, maxRegisterPause) {
		err := call(ctx)
		if err == nil {
			return
		}
		s.log.Warn("enlist-failed", logs.ErrorFields(err)...)
		clock.Sleep(ctx, pause)
	}
}

// register adds this VM to the VM list in the store.
// If no other VM has replied to this VM, register also reads the VM list.
func (s *Site) register(ctx context.Context) error {
	if err := s.opts.RegisterVM(ctx); err != nil {
		return err
	}
	s.log.Info("enlisted", zap.String("link", s.opts.Link))
	if s.opts.FirstStart && s.awaitJoin(ctx, firstStartJoinTimeout) {
		return nil
	}
	return s.listVMs(ctx)
}

// listVMs reads the registered VMs from the store. If this VM is not among them,
// because the store has returned from an older copy, listVMs registers it again.
func (s *Site) listVMs(ctx context.Context) error {
	vms, err := s.opts.ListVMs(ctx)
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(vms))
	for _, address := range vms {
		addresses = append(addresses, address)
	}
	s.opts.Peers.AddListed(addresses)
	s.log.Info("vms-listed", zap.Int("listed", len(vms)))
	if _, registered := vms[s.opts.VM]; registered {
		return nil
	}
	if err := s.opts.RegisterVM(ctx); err != nil {
		return err
	}
	s.log.Info("enlisted", zap.String("link", s.opts.Link))
	return nil
}
