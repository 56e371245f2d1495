package upstream

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism names one mechanism of the policy that can be left out, to measure
// what it is worth. Each is in use unless it is left out.
type Mechanism string

// The mechanisms.
const (
	// Price is what a reading costs the requests that come after it.
	Price Mechanism = "price"
	// Kept is the belief on what engines keep of prompts.
	Kept Mechanism = "kept"
	// Telling is what other VMs tell of their sends and of opinions.
	Telling Mechanism = "telling"
	// Homes make VMs that do not hear each other agree on where to read.
	Homes Mechanism = "homes"
	// Pace is the learning of how long engines take to read a token.
	Pace Mechanism = "pace"
	// Escalation gives poor answers up for a larger model's.
	Escalation Mechanism = "escalation"
	// LargestAlone lets the largest model answer first.
	LargestAlone Mechanism = "largest-alone"
	// Untried asks models of which little is known now and then.
	Untried Mechanism = "untried"
	// EarlyRefusal refuses at once what cannot be answered in time left.
	EarlyRefusal Mechanism = "early-refusal"
)

// Mechanisms are all, in the order of their names.
var Mechanisms = []Mechanism{EarlyRefusal, Escalation, Homes, Kept, LargestAlone, Pace, Price, Telling, Untried}

// Policy says which mechanisms are left out. The zero value leaves out none.
type Policy struct{ without []Mechanism }

// NewPolicy returns the policy without some mechanisms. It fails on a name that is
// none.
func NewPolicy(without []string) (Policy, error) {
	var p Policy
	for _, name := range without {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms, m) {
			return Policy{}, fmt.Errorf("has %q: expected some of %s", name, names())
		}
		p.without = append(p.without, m)
	}
	return p, nil
}

func names() string {
	all := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		all[i] = string(m)
	}
	return strings.Join(all, ", ")
}

// Has tells whether a mechanism is in use.
func (p Policy) Has(m Mechanism) bool { return !slices.Contains(p.without, m) }
