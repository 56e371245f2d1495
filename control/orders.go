package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/lease"
	"woaddoor/logs"
	"woaddoor/store"
)

// ordersLease is the object that says who may give orders to engines.
const ordersLease = "woaddoor/lease/orders"

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
	if err := s.holdLease(ctx); err != nil {
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
	var number contract.FencingNumber
	ready := false
	s.locked(func() { number, ready = s.orders.Ready(s.clock.Now(), t.pool.Fencing != config.FencingRefuses) })
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

// holdLease takes or renews the lease for orders, if it may.
func (s *Server) holdLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := s.readLease(ctx); err != nil {
		return err
	}
	var p lease.Proposal
	due := false
	asked := s.clock.Now()
	s.locked(func() { p, due = s.orders.Propose(asked) })
	if !due {
		return nil
	}
	value, err := json.Marshal(p.Object)
	if err != nil {
		return contract.Fail(contract.StepOrder, "", err)
	}
	var v contract.ObjectVersion
	if p.Version == 0 {
		v, err = s.store.Create(ctx, ordersLease, value)
	} else {
		v, err = s.store.Update(ctx, ordersLease, value, p.Version)
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrExists) {
		return nil // another was first; the next read shows it
	}
	if err != nil {
		return contract.Fail(contract.StepOrder, "platform", err)
	}
	s.locked(func() { s.orders.Wrote(p, v, asked) })
	return nil
}

func (s *Server) readLease(ctx context.Context) error {
	o, err := s.store.Read(ctx, ordersLease)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return contract.Fail(contract.StepOrder, "platform", err)
	}
	var held lease.Object
	if err := json.Unmarshal(o.Value, &held); err != nil {
		return contract.Fail(contract.StepOrder, "platform", err)
	}
	s.locked(func() { s.orders.Saw(held, o.Version, s.clock.Now()) })
	return nil
}
