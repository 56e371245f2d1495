package relay

import (
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/route"
	"woaddoor/upstream"
)

// ColdBounds limits the requests per second that a cold upstream (one
// that handles little for a while after its start) receives from all VMs together.
// The limit is relative to the configured rate that a cold upstream can handle.
// The zero ColdBounds allows the configured rate and no more.
type ColdBounds struct {
	// Overshoot is the allowed multiple of the configured rate, at least 1.
	// Slack is added to the multiplied rate, in requests per second.
	Overshoot, Slack float64
}

// boundFor returns the bound on the requests per second to a cold upstream of a service.
func (b ColdBounds) boundFor(s *route.Service) upstream.ColdBound {
	if s == nil || s.Cold.PerSecond <= 0 {
		return upstream.ColdBound{}
	}
	return upstream.ColdBound{
		Duration: s.Cold.Duration, PerSecond: s.Cold.PerSecond, MaxPerSecond: s.Cold.PerSecond*max(b.Overshoot, 1) + b.Slack,
	}
}

// logColdUpstreams logs which upstreams are newly considered cold. The caller holds mu.
func (r *Relay) logColdUpstreams() {
	for _, c := range r.table.TakeColdTransitions() {
		r.log.Info("upstreams-cold", zap.String("why", c.Reason), zap.Int("count", len(c.Upstreams)), zap.Duration("for", c.Duration),
			zap.Strings("upstreams", idStrings(c.Upstreams)))
	}
}

// maxLoggedIDs limits how many upstreams are named in one log line.
const maxLoggedIDs = 64

// idStrings returns at most maxLoggedIDs upstream IDs as strings.
func idStrings(ids []contract.UpstreamID) []string {
	out := make([]string, 0, min(len(ids), maxLoggedIDs))
	for _, id := range ids[:min(len(ids), maxLoggedIDs)] {
		out = append(out, string(id))
	}
	return out
}

// CountCold returns how many upstreams are considered cold.
func (r *Relay) CountCold() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountCold(r.opts.Now())
}
