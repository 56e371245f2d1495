package relay

import (
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/route"
	"woaddoor/upstream"
)

// ColdBounds bound what a cold upstream gets from all VMs together in any second, from
// what it bears a second. The zero value bounds nothing beyond that.
type ColdBounds struct {
	// Overshoot is how many times what it bears, at least 1, and Slack how many requests
	// more.
	Overshoot, Slack float64
}

// of returns what an upstream of a service may get while it is cold.
func (b ColdBounds) of(s *route.Service) upstream.ColdBound {
	if s == nil || s.Cold.PerSecond <= 0 {
		return upstream.ColdBound{}
	}
	return upstream.ColdBound{
		For: s.Cold.For, Bears: s.Cold.PerSecond, Most: s.Cold.PerSecond*max(b.Overshoot, 1) + b.Slack,
	}
}

// logCold says which upstreams are taken to be cold now. The caller holds mu.
func (r *Relay) logCold() {
	for _, c := range r.table.Chilled() {
		r.log.Info("upstreams-cold", zap.String("why", c.Why), zap.Int("count", len(c.Upstreams)), zap.Duration("for", c.For),
			zap.Strings("upstreams", idsOf(c.Upstreams)))
	}
}

// idsLogged bounds how many upstreams one line names.
const idsLogged = 64

func idsOf(ids []contract.UpstreamID) []string {
	out := make([]string, 0, min(len(ids), idsLogged))
	for _, id := range ids[:min(len(ids), idsLogged)] {
		out = append(out, string(id))
	}
	return out
}

// Cold returns how many upstreams are taken to be cold.
func (r *Relay) Cold() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Cold(r.opts.Now())
}
