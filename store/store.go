// Package store meets the platform's service: its object API with versions,
// conditional updates and watches, and its list of VMs.
//
// Everything that the system has to keep lives there. Each call is counted by
// the platform, a waiting watch as one, so callers state how often they call.
package store

import (
	"context"
	"errors"
	"time"

	"woaddoor/contract"
)

// Object is one object of the store.
type Object struct {
	Name    string
	Version contract.ObjectVersion
	Value   []byte
}

// The errors that a Store tells apart. Every other error means that the call
// may or may not have taken effect.
var (
	ErrNotFound  = errors.New("no such object")
	ErrExists    = errors.New("object exists already")
	ErrConflict  = errors.New("object has another version")
	ErrUnchanged = errors.New("object is unchanged")
	ErrTooMany   = errors.New("platform's rate limit reached")
)

// Store is the object API.
//
// A write whose reply is lost may have taken effect: callers settle it by
// reading back, never by trying blindly again. A write that arrives late is
// harmless, since each carries its condition.
type Store interface {
	// Read returns an object, or ErrNotFound. A replica that lags may answer.
	Read(ctx context.Context, name string) (Object, error)
	// Create writes a new object, or fails with ErrExists.
	Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error)
	// Update replaces the object if it still has version, else ErrConflict.
	Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error)
	// List returns the names under prefix that sort after the name after, in
	// order, at most ListPage of them.
	List(ctx context.Context, prefix, after string) ([]string, error)
	// Watch waits up to wait for a version other than after, and returns the
	// object, or ErrUnchanged.
	Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (Object, error)
}

// ListPage is the number of names that one List returns at most.
const ListPage = 1000

// VMList is the platform's list of VMs. It lags by seconds.
type VMList interface {
	VMs(ctx context.Context) ([]contract.VMEntry, error)
}
