package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/reading"
	"woaddoor/upstream"
)

// Sent is a prompt that a VM has sent to an upstream, as it tells other VMs: what
// the upstream has to read before what they send, and what it will keep.
type Sent struct {
	Upstream contract.UpstreamID `cbor:"1,keyasint"`
	Model    contract.ModelID    `cbor:"2,keyasint"`
	Tokens   int                 `cbor:"3,keyasint"`
	Parts    []reading.Part      `cbor:"4,keyasint"`
	// Takes is how long the teller expects the reading to take.
	Takes time.Duration `cbor:"5,keyasint"`
	// Token is how long the model takes a token by the teller's own times; zero
	// when it has too few.
	Token time.Duration `cbor:"6,keyasint,omitempty"`
	// Born tells which life of the upstream it was sent to.
	Born int64 `cbor:"7,keyasint,omitempty"`
}

// Opinion is what a model thinks of one of its answers, as VMs tell each other.
type Opinion struct {
	Model contract.ModelID `cbor:"1,keyasint"`
	// Largest is the model that good answers are measured by.
	Largest contract.ModelID `cbor:"2,keyasint"`
	Opinion float64          `cbor:"3,keyasint"`
}

// HearOpinions takes in what models think of answers that other VMs got.
func (r *Relay) HearOpinions(opinions []Opinion) {
	if !r.opts.Policy.Has(upstream.Telling) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range opinions {
		r.opinions.Observe(o.Model, o.Largest, o.Opinion)
	}
}

// opinion takes in what a model thinks of an answer, and has others told. The
// caller holds mu.
func (r *Relay) opinion(m, largest contract.ModelID, opinion float64) {
	if opinion < 0 {
		return // the model tells none
	}
	r.opinions.Observe(m, largest, opinion)
	if r.opts.Opinion != nil {
		r.opts.Opinion(Opinion{m, largest, opinion})
	}
}

// leastTold is how long a reading takes at least that other VMs are told of:
// shorter ones delay nobody by more than a step or two of an engine.
const leastTold = 25 * time.Millisecond

// HearSent takes in what another VM has sent to upstreams.
func (r *Relay) HearSent(sent []Sent) {
	if !r.opts.Policy.Has(upstream.Telling) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, s := range sent {
		if !r.lives(s.Upstream, s.Born) {
			continue // of an earlier life, or not listed here
		}
		r.table.Told(s.Upstream, reading.Prompt{Model: s.Model, Tokens: s.Tokens, Parts: s.Parts}, s.Takes, s.Token, now)
	}
}
