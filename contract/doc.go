// Package contract holds the words that the parts of woaddoor share: the ids
// of the things of its world, the outcome of a request, refusals, and errors
// that carry the step and the peer at which they arose.
//
// It has no behaviour of its own, so every other package may import it.
package contract
