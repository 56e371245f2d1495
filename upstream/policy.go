package upstream

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism names a mechanism of the selection policy that can be disabled to measure its benefit.
// Each mechanism is enabled by default.
type Mechanism string

// The mechanisms of the selection policy.
const (
	// PrefillPrice is the cost that a prefill imposes on the requests queued behind it.
	PrefillPrice Mechanism = "price"
	// PrefixCaching is the estimate of which prompt prefixes engines have cached.
	PrefixCaching Mechanism = "kept"
	// Gossip is the reporting of requests, back-offs and the confidence of answers to other
	// VMs.
	Gossip Mechanism = "telling"
	// HomeUpstreams lets VMs agree without communication which upstream prefills a prompt
	// prefix.
	HomeUpstreams Mechanism = "homes"
	// PrefillRates is the learning of how long engines take to prefill a token.
	PrefillRates Mechanism = "pace"
	// Escalation replaces poor answers with answers of a larger model.
	Escalation Mechanism = "escalation"
	// LargestAlone allows the largest model to answer first.
	LargestAlone Mechanism = "largest-alone"
	// Exploration occasionally sends requests to models about which little is known.
	Exploration Mechanism = "untried"
	// EarlyRefusal immediately refuses requests that cannot be answered in the time left.
	EarlyRefusal Mechanism = "early-refusal"
	// UpstreamPace estimates how fast each upstream works, from what the upstream states.
	UpstreamPace Mechanism = "upstream-pace"
	// StreamPauses is the cost of the pauses that a prefill causes in running streams.
	StreamPauses Mechanism = "stream-pauses"
	// FairShare divides the capacity of a service among workspaces while its upstreams are short.
	FairShare Mechanism = "fair-share"
)

// Mechanisms lists all mechanisms, sorted by name.
var Mechanisms = []Mechanism{EarlyRefusal, Escalation, FairShare, HomeUpstreams, PrefixCaching, LargestAlone, PrefillRates, PrefillPrice, StreamPauses, Gossip, Exploration, UpstreamPace}

// Policy is the set of disabled mechanisms. The zero value disables no mechanism.
type Policy struct{ disabled []Mechanism }

// NewPolicy returns the policy with the given mechanisms disabled.
// NewPolicy fails if a name is not the name of a mechanism.
func NewPolicy(disabled []string) (Policy, error) {
	var p Policy
	for _, name := range disabled {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms, m) {
			return Policy{}, fmt.Errorf("unknown mechanism %q: expected some of %s", name, mechanismNames())
		}
		p.disabled = append(p.disabled, m)
	}
	return p, nil
}

func mechanismNames() string {
	all := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		all[i] = string(m)
	}
	return strings.Join(all, ", ")
}

// Has reports whether a mechanism is enabled.
func (p Policy) Has(m Mechanism) bool { return !slices.Contains(p.disabled, m) }
