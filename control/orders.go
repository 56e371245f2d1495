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

// Bounds of orders.
const (
	// orderTimeout is below the lease's margin: no order outlasts its lease.
	orderTimeout = 3 * time.Second
	loadTimeout  = time.Second
	// maxLoads is how many engines load at once, since the weight store limits
	// its rate.
	maxLoads = 2
)

// loadEverywhere has the engines that hold the old version of a roll-out load
// the new one, a few at a time, and tells whether they all hold it. It goes by
// what each engine says it holds, so an order that was lost is given again, and
// what a late order of a former holder undid is repaired.
func (s *Server) loadEverywhere(ctx context.Context, conf *config.Config, ro *config.Rollout) bool {
	missing, known := s.missing(ctx, conf, ro)
	if !known {
		return false
	}
	if len(missing) == 0 {
		return true
	}
	if err := s.holdOrders(ctx); err != nil {
		s.log.Warn("lease-failed", logs.Failure(err)...)
		return false
	}
	for _, m := range missing[:min(len(missing), maxLoads)] {
		if err := s.order(ctx, m, ro.To); err != nil {
			s.log.Warn("order-failed", logs.Failure(err)...)
		}
	}
	return false
}

// target is an engine that an order is for.
type target struct {
	pool     *config.Pool
	upstream config.Upstream
}

// missing returns the engines that hold the old version and not the new one.
// It tells false when no engine holds the old one, as far as they answer.
func (s *Server) missing(ctx context.Context, conf *config.Config, ro *config.Rollout) ([]target, bool) {
	var missing []target
	known := false
	for _, p := range conf.Pools {
		if p.Kind != config.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			ask, cancel := context.WithTimeout(ctx, loadTimeout)
			l, err := s.engine.Load(ask, u.URL)
			cancel()
			if err != nil || l.Draining || !slices.Contains(l.Versions, ro.From) {
				continue
			}
			known = true
			if !slices.Contains(l.Versions, ro.To) {
				missing = append(missing, target{p, u})
			}
		}
	}
	slices.SortFunc(missing, func(a, b target) int {
		if a.upstream.ID < b.upstream.ID {
			return -1
		}
		return 1
	})
	return missing, known
}

// order gives one order, under the lease's fencing number.
func (s *Server) order(ctx context.Context, t target, v contract.VersionID) error {
	number, ready := s.orders.Ready(t.pool.Fencing != config.FencingRefuses)
	if !ready {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.engine.Order(ctx, t.upstream.URL, engine.Order{Kind: engine.OrderLoad, Version: v, Fencing: number})
	if err == nil {
		s.log.Info("order-given", zap.String("upstream", string(t.upstream.ID)), zap.String("version", string(v)), zap.Uint64("fencing", uint64(number)))
	}
	return err
}

// holdOrders takes or renews the lease for orders, if it may.
func (s *Server) holdOrders(ctx context.Context) error {
	if err := s.orders.Look(ctx); err != nil {
		return err
	}
	return s.orders.Step(ctx)
}
