// Package contract defines the types that all other packages of woaddoor
// share: ids, the outcome of a request, refusals, and errors that record the
// processing step and the peer that failed.
//
// Package contract imports no other package of woaddoor, so every package may import contract.
package contract
