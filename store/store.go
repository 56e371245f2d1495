// Package store is the client of the platform's service: an object API with versions,
// conditional updates and watches, and a list of VMs.
//
// The platform stores all durable state of the system. The platform counts every call, and
// counts a waiting watch as one call, so callers bound how often they call the platform.
package store

import (
	"context"
	"errors"
	"time"

	"woaddoor/contract"
)

// Object is a named value in the platform's object store, and the version of this value.
type Object struct {
	Name    string
	Version contract.ObjectVersion
	Value   []byte
}

// Errors that a Store returns for a known outcome. After any other error, the call may
// or may not have taken effect.
var (
	ErrNotFound    = errors.New("no such object")
	ErrExists      = errors.New("object exists already")
	ErrConflict    = errors.New("object has another version")
	ErrUnchanged   = errors.New("object is unchanged")
	ErrRateLimited = errors.New("platform's rate limit reached")
)

// Store is the platform's object API.
//
// A write whose reply is lost may have taken effect. Callers read the object to find
// out, and never repeat the write without reading. A write that arrives late is
// harmless, because every write is conditional.
type Store interface {
	// Read returns an object, or ErrNotFound.
	// The answer may come from a lagging replica of the platform.
	Read(ctx context.Context, name string) (Object, error)
	// Create writes a new object, or returns ErrExists.
	Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error)
	// Update replaces the object if it still has the given version, or else returns ErrConflict.
	Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error)
	// List returns a sorted page of at most ListPageSize names. The names begin with
	// prefix and sort after the name in the argument after.
	List(ctx context.Context, prefix, after string) ([]string, error)
	// Watch waits until the version of the object differs from the argument after, and
	// returns the object. It returns ErrUnchanged if the version is still the same when
	// the duration wait has passed.
	Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (Object, error)
}

// ListPageSize is the maximum number of names that one List call returns.
const ListPageSize = 1000

// VMList reads the platform's list of VMs, which is seconds behind the actual state.
type VMList interface {
	VMs(ctx context.Context) ([]contract.VMEntry, error)
}
