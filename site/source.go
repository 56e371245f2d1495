// Package site keeps one VM's state of its deployment up to date,
// from the platform's store and from the other VMs. The state consists of the configuration,
// the upstreams, the rollout orders, the evacuations, the quarantined contents and the set of VMs.
//
// State only moves forward: each object carries the store revision of its last change,
// and an older version never replaces a newer one, whether it comes from the store or from a peer.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"woaddoor/contract"
)

// Errors of store calls. After any other error, the call may or may not have taken effect.
var (
	ErrConflict    = errors.New("object has another revision")
	ErrNotFound    = errors.New("no such object")
	ErrHistoryGone = errors.New("change history is no longer available")
	ErrRateLimited = errors.New("store's rate limit reached")
	ErrStopListing = errors.New("list stopped before its end")
)

// RawObject is an undecoded object as the store holds it,
// in the form in which VMs send objects to each other.
type RawObject struct {
	Name     string            `cbor:"1,keyasint"`
	Revision contract.Revision `cbor:"2,keyasint"`
	Deleted  bool              `cbor:"3,keyasint,omitempty"`
	Spec     json.RawMessage   `cbor:"4,keyasint,omitempty"`
	Status   json.RawMessage   `cbor:"5,keyasint,omitempty"`
}

// Item is an object or its deletion.
type Item[T any] struct {
	RawObject
	Value T
	// Err is the error from decoding Value.
	Err error
}

// Changes holds objects and the store revision up to which these objects are complete.
type Changes[T any] struct {
	Items    []Item[T]
	Revision contract.Revision
}

// Source provides one kind of the store's objects.
type Source[T any] interface {
	Name() string
	// Timing returns the timing with which this kind of objects is kept up to date.
	Timing() Timing
	// List returns all objects. List passes the result of each store call to page,
	// and fails with ErrStopListing when page returns false.
	List(ctx context.Context, page func(c Changes[T], more bool) bool) (Changes[T], error)
	// Watch waits for changes after a revision. Watch fails with ErrHistoryGone
	// if the store no longer has the changes since that revision, so that List is needed.
	Watch(ctx context.Context, after contract.Revision, wait time.Duration) (Changes[T], error)
	// Decode decodes an object that another VM has sent.
	Decode(RawObject) (T, error)
}
