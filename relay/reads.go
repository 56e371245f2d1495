package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/reading"
)

// Sent is a prompt that a VM has sent to an upstream, as it tells other VMs: what
// the upstream has to read before what they send, and what it will keep.
type Sent struct {
	Upstream contract.UpstreamID `cbor:"1,keyasint"`
	Model    contract.ModelID    `cbor:"2,keyasint"`
	Tokens   int                 `cbor:"3,keyasint"`
	Parts    []reading.Part      `cbor:"4,keyasint"`
	// Unread is how many of the tokens the teller expects to be read, and Takes
	// how long that takes.
	Unread int           `cbor:"5,keyasint"`
	Takes  time.Duration `cbor:"6,keyasint"`
}

// leastTold is how long a reading takes at least that other VMs are told of:
// shorter ones delay nobody by more than a step or two of an engine.
const leastTold = 25 * time.Millisecond

// HearSent takes in what another VM has sent to upstreams.
func (r *Relay) HearSent(sent []Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, s := range sent {
		r.table.Told(s.Upstream, reading.Prompt{Model: s.Model, Tokens: s.Tokens, Parts: s.Parts}, s.Unread, s.Takes, now)
	}
}
