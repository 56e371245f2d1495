package scaling

import "time"

// Load is the measured load on the upstreams of a service,
// as seen by one VM or summed over several VMs.
type Load struct {
	// Prefill is how many seconds of each second the engines spend on prefill (processing prompts),
	// summed over the upstreams. PromptRate is the number of prompts per second.
	Prefill    float64 `cbor:"1,keyasint,omitempty"`
	PromptRate float64 `cbor:"3,keyasint,omitempty"`
	// SlotsInUse is the number of request slots in use.
	SlotsInUse float64 `cbor:"2,keyasint,omitempty"`
}

// Add returns the sum of both loads.
func (l Load) Add(other Load) Load {
	return Load{Prefill: l.Prefill + other.Prefill, PromptRate: l.PromptRate + other.PromptRate, SlotsInUse: l.SlotsInUse + other.SlotsInUse}
}

// Highest planned utilization of an upstream.
const (
	// maxPrefillShare is the highest planned fraction of an upstream's time for prefill
	// if the latency objective or the prompt rate is unknown.
	maxPrefillShare = 0.5
	// maxSlotShare is the highest planned fraction of an upstream's request slots in use.
	// Each token of a text takes longer the more requests run together on an upstream.
	maxSlotShare = 0.5
	// meanWaitDivisor divides the latency objective to get the mean time
	// that a prompt may wait for other prompts.
	// Prompts that wait several times longer than the mean still meet the objective.
	meanWaitDivisor = 8
)

// prefillShare returns the largest fraction of time that an upstream may spend on prefill
// while the mean wait of prompts stays within its limit.
// In a queue with one server, the mean wait grows with share / (1 - share) times the time
// that one prompt takes, where share is the fraction of time spent on prefill.
func (l Load) prefillShare(objective time.Duration) float64 {
	if l.PromptRate <= 0 || objective <= 0 {
		return maxPrefillShare
	}
	prefillTime := l.Prefill / l.PromptRate
	meanWait := objective.Seconds() / meanWaitDivisor
	return meanWait / (meanWait + prefillTime)
}

// Need returns how many upstreams, with the given number of slots each,
// the load requires so that responses begin within the objective.
func (l Load) Need(slots int, objective time.Duration) float64 {
	need := 0.0
	if l.Prefill > 0 {
		need = l.Prefill / l.prefillShare(objective)
	}
	if slots > 0 {
		need = max(need, l.SlotsInUse/(maxSlotShare*float64(slots)))
	}
	return need
}

// peakWindow is how long a past peak of the need for upstreams counts.
// Load comes in waves, and it takes seconds to get released upstreams back.
const peakWindow = time.Minute

// Peak tracks the largest recent need for upstreams. The zero value has recorded no need.
type Peak struct {
	highest   float64
	highestAt time.Time
	// recent is the largest need recorded after half of peakWindow has passed since highestAt.
	// recent replaces highest when highest expires.
	recent   float64
	recentAt time.Time
}

// Record records a need for upstreams and returns the largest recent need.
func (p *Peak) Record(need float64, now time.Time) float64 {
	if need >= p.highest {
		p.highest, p.highestAt = need, now
		p.recent, p.recentAt = 0, now
	}
	if now.Sub(p.highestAt) > peakWindow/2 && need >= p.recent {
		p.recent, p.recentAt = need, now
	}
	if now.Sub(p.highestAt) > peakWindow {
		p.highest, p.highestAt = p.recent, p.recentAt
		p.recent, p.recentAt = 0, now
	}
	return p.highest
}
