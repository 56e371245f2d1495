package entry

import (
	"context"
	"time"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/logs"
)

// Interval and timeout of the load reports that are requested from upstreams.
const (
	loadReportInterval = 500 * time.Millisecond
	loadReportTimeout  = 400 * time.Millisecond
)

// loadReportLoop periodically requests a load report from the upstreams of all pools. An upstream that does
// not answer is no longer used after upstream.Options.ReportTimeout.
func (s *Server) loadReportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var upstreams []config.Upstream
		s.locked(func() {
			s.updateCapacity()
			upstreams = s.upstreams.All()
		})
		for _, u := range upstreams {
			go s.fetchLoad(ctx, u)
		}
		select {
		case <-s.reconfigured: // request reports from new upstreams immediately
		case <-time.After(loadReportInterval):
		case <-ctx.Done():
		}
	}
}

// fetchLoad requests one load report from an upstream and records the report.
func (s *Server) fetchLoad(ctx context.Context, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	askedAt := s.clock.Now()
	load, err := s.engine.Load(ctx, u.URL)
	if err != nil {
		s.metrics.reportFailures.Inc(1)
		s.log.Debug("report-failed", logs.ErrorFields(err)...)
		return
	}
	s.locked(func() { s.upstreams.ApplyReport(u.ID, load, askedAt) })
}

// expireInterval is the interval at which the queues are checked for requests past their deadline.
const expireInterval = 20 * time.Millisecond

// expireLoop removes queued requests whose deadline has passed, so that they are refused.
func (s *Server) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expireInterval)
		s.locked(func() {
			now := s.clock.Now()
			for _, item := range append(s.engineQueue.Expire(now), s.serviceQueue.Expire(now)...) {
				s.notifyWaiter(item.ID, false)
			}
		})
	}
}
