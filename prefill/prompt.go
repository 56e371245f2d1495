// Package prefill models the prefill of a model engine, that is,
// what the engine does with a prompt before the first token of the answer.
// An engine processes the prompts that it has accepted one after the other,
// in the order of arrival, and caches processed prefixes until its memory is full.
// Prefill takes most of an engine's time,
// so the choice of an upstream and of a model depends on the prefill.
//
// The package performs no I/O and reads no clock.
// The state is an estimate derived from what this VM sends
// and from what other VMs report about their sends.
// The times at which answers begin correct the estimate.
package prefill

import "woaddoor/contract"

// Part is a section of a prompt that several requests may share.
// An engine that has cached a part and all parts before that part does not process the part again.
type Part struct {
	// Key is a hash that identifies the section, Tokens is its length in tokens.
	Key    uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt is what a request asks an engine to process. The zero value is a call to a plain
// service, which needs no prefill.
type Prompt struct {
	Model contract.ModelID
	// Tokens is the length of the whole prompt; Parts may add up to less.
	Tokens int
	Parts  []Part
}

// SharedTokens returns the number of prompt tokens that other requests may share.
// Of several parts, these are the tokens of all parts but the last, which is unique to the request.
// Of a single part, these are the tokens of that part.
func (p Prompt) SharedTokens() int {
	n := 0
	for i, part := range p.Parts {
		if i == 0 || i < len(p.Parts)-1 {
			n += part.Tokens
		}
	}
	return n
}
