// Package site keeps what one VM knows of its deployment in step with the
// platform's store and with the other VMs: the configuration, the upstreams,
// the orders to bring in a release, and which VMs there are.
//
// What is known only moves forward: each object carries the revision at which
// the store changed it, and an older one never takes the place of a newer one,
// whichever way it comes.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"woaddoor/contract"
)

// Errors that a store tells apart. Every other error means that the call may or
// may not have taken effect.
var (
	ErrConflict    = errors.New("object has another revision")
	ErrNotFound    = errors.New("no such object")
	ErrHistoryGone = errors.New("history of changes is gone")
	ErrTooMany     = errors.New("store's rate limit reached")
	ErrEnough      = errors.New("rest of the list is not wanted")
)

// Raw is an object as the store holds it, in the form in which VMs hand it to
// one another.
type Raw struct {
	Name     string            `cbor:"1,keyasint"`
	Revision contract.Revision `cbor:"2,keyasint"`
	Deleted  bool              `cbor:"3,keyasint,omitempty"`
	Spec     json.RawMessage   `cbor:"4,keyasint,omitempty"`
	Status   json.RawMessage   `cbor:"5,keyasint,omitempty"`
}

// Item is one object, or the news that it is gone.
type Item[T any] struct {
	Raw
	Value T
	// Err is why Value could not be decoded.
	Err error
}

// Changes are objects and the revision of the store up to which they hold.
type Changes[T any] struct {
	Items    []Item[T]
	Revision contract.Revision
}

// Source is one kind of the store's objects.
type Source[T any] interface {
	Name() string
	// Timing is how the kind is kept up with.
	Timing() Timing
	// List returns all objects. It hands what each call to the store brings to page, and
	// fails with ErrEnough when that wants no more.
	List(ctx context.Context, page func(c Changes[T], more bool) bool) (Changes[T], error)
	// Watch waits for changes after a revision. It fails with ErrHistoryGone
	// when only List can tell what has changed.
	Watch(ctx context.Context, after contract.Revision, wait time.Duration) (Changes[T], error)
	// Decode reads an object that another VM has handed over.
	Decode(Raw) (T, error)
}
