// Package reading models what a model engine does before the first token of an
// answer: it reads the prompts that it has taken, one after the other in the
// order in which they came, and keeps what it has read until memory runs out.
// Reading takes most of an engine's time, so the choice of an upstream and of a
// model goes by it.
//
// The package is pure: times are given, and nothing is sent or logged. What it
// holds is a belief. It comes from what this VM sends, from what other VMs tell
// of their sends, and from the times at which answers begin, which correct it.
package reading

import "woaddoor/contract"

// Part is one part of a prompt. Parts are shared between requests; an engine
// that keeps a part, and all parts before it, does not read it again.
type Part struct {
	Key    uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt is what a request asks an engine to read. The zero value is a call to a
// plain service, which reads nothing.
type Prompt struct {
	Model contract.ModelID
	// Tokens is the prompt's whole length; Parts may add up to less.
	Tokens int
	Parts  []Part
}

// Shared returns how many tokens of the prompt other requests share: all parts
// but the last, which is the request's own, or the only one.
func (p Prompt) Shared() int {
	n := 0
	for i, part := range p.Parts {
		if i == 0 || i < len(p.Parts)-1 {
			n += part.Tokens
		}
	}
	return n
}
