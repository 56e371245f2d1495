package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/logs"
)

// Limits of orders to engines.
const (
	// orderTimeout bounds one order to an engine. orderTimeout is shorter than the safety margin at
	// the end of the orders lease, so that no order is still running when the lease expires.
	orderTimeout      = 3 * time.Second
	loadReportTimeout = time.Second
	// maxConcurrentLoads is how many engines load a version at the same time.
	// Engines that are loading a version share the limited rate of the store of model weights.
	maxConcurrentLoads = 2
)

// loadOnAllEngines orders the engines that hold the old version of a rollout to load the new
// version, a few engines at a time. loadOnAllEngines returns true once all of these engines hold
// the new version.
//
// loadOnAllEngines checks the versions that each engine reports and does not remember which orders
// were sent. A lost order is therefore sent again. An order is also sent again if a late order of a
// former lease holder undid the effect of the order.
func (s *Server) loadOnAllEngines(ctx context.Context, conf *config.Config, ro *config.Rollout) bool {
	targets, found := s.enginesToLoad(ctx, conf, ro)
	if !found {
		return false
	}
	if len(targets) == 0 {
		return true
	}
	if err := s.acquireOrdersLease(ctx); err != nil {
		s.log.Warn("lease-failed", logs.ErrorFields(err)...)
		return false
	}
	for _, m := range targets[:min(len(targets), maxConcurrentLoads)] {
		if err := s.sendOrder(ctx, m, ro.To); err != nil {
			s.log.Warn("order-failed", logs.ErrorFields(err)...)
		}
	}
	return false
}

// orderTarget is an engine to send an order to, and the pool of that engine.
type orderTarget struct {
	pool     *config.Pool
	upstream config.Upstream
}

// enginesToLoad returns the engines that hold the old version of a rollout but not the new
// version. The second result is false if none of the engines that answer holds the old version.
// enginesToLoad skips draining engines.
func (s *Server) enginesToLoad(ctx context.Context, conf *config.Config, ro *config.Rollout) ([]orderTarget, bool) {
	var targets []orderTarget
	found := false
	for _, p := range conf.Pools {
		if p.Kind != config.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			callCtx, cancel := context.WithTimeout(ctx, loadReportTimeout)
			report, err := s.engine.Load(callCtx, u.URL)
			cancel()
			if err != nil || report.Draining || !slices.Contains(report.Versions, ro.From) {
				continue
			}
			found = true
			if !slices.Contains(report.Versions, ro.To) {
				targets = append(targets, orderTarget{p, u})
			}
		}
	}
	slices.SortFunc(targets, func(a, b orderTarget) int {
		if a.upstream.ID < b.upstream.ID {
			return -1
		}
		return 1
	})
	return targets, found
}

// sendOrder orders an engine to load a version. The order carries the fencing token of the lease
// for orders. sendOrder does nothing while that lease is not usable.
func (s *Server) sendOrder(ctx context.Context, t orderTarget, v contract.VersionID) error {
	fencing, ready := s.ordersLease.ActiveFencing(t.pool.Fencing != config.FencingEnforced)
	if !ready {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.engine.Order(ctx, t.upstream.URL, engine.Order{Kind: engine.OrderLoad, Version: v, Fencing: fencing})
	if err == nil {
		s.log.Info("order-given", zap.String("upstream", string(t.upstream.ID)), zap.String("version", string(v)), zap.Uint64("fencing", uint64(fencing)))
	}
	return err
}

// acquireOrdersLease reads the lease for orders to engines.
// If the lease is free or already held by this process, acquireOrdersLease acquires or renews the
// lease.
func (s *Server) acquireOrdersLease(ctx context.Context) error {
	if err := s.ordersLease.Read(ctx); err != nil {
		return err
	}
	return s.ordersLease.Sync(ctx)
}
