package entry

import (
	"context"
	"time"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/logs"
)

// Timings of load reports.
const (
	reportEvery   = 500 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
)

// reportLoop asks the upstreams of all pools for their load. An upstream that
// does not answer is out of use after upstream.Options.SilentAfter.
func (s *Server) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var all []config.Upstream
		s.locked(func() {
			s.size()
			all = s.upstreams.Every()
		})
		for _, u := range all {
			go s.report(ctx, u)
		}
		select {
		case <-s.reconfigured: // new upstreams are asked at once
		case <-time.After(reportEvery):
		case <-ctx.Done():
		}
	}
}

func (s *Server) report(ctx context.Context, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := s.clock.Now()
	l, err := s.engine.Load(ctx, u.URL)
	if err != nil {
		s.metrics.reportFailures.Inc(1)
		s.log.Debug("report-failed", logs.Failure(err)...)
		return
	}
	s.locked(func() { s.upstreams.Reported(u.ID, l, asked) })
}

// expireEvery is how often requests that wait are looked through.
const expireEvery = 20 * time.Millisecond

// expireLoop gives requests whose deadline has come their final answer.
func (s *Server) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, expireEvery)
		s.locked(func() {
			now := s.clock.Now()
			for _, item := range append(s.engines.Expire(now), s.services.Expire(now)...) {
				s.tell(item.ID, false)
			}
		})
	}
}
