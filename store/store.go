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

// Version is the version of one object. It rises with each update of it.
type Version uint64

// Object is one object of the store.
type Object struct {
	Name    string
	Version Version
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
	Create(ctx context.Context, name string, value []byte) (Version, error)
	// Update replaces the object if it still has version, else ErrConflict.
	Update(ctx context.Context, name string, value []byte, version Version) (Version, error)
	// List returns the names under prefix that sort after the name after, in
	// order, at most ListPage of them.
	List(ctx context.Context, prefix, after string) ([]string, error)
	// Watch waits up to wait for a version other than after, and returns the
	// object, or ErrUnchanged.
	Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error)
}

// ListPage is the number of names that one List returns at most.
const ListPage = 1000

// VMState is what the platform's list says of a VM.
type VMState string

// The states in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one line of the VM list.
type VMEntry struct {
	ID         contract.VMID         `json:"id"`
	DataCentre contract.DataCentreID `json:"data_centre"`
	// Address is the IP and port that the VM serves at. For a VM of the system
	// it is the link address of its control process.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Upstream is true for a VM that carries an upstream.
	Upstream bool `json:"upstream"`
}

// VMList is the platform's list of VMs. It lags by seconds.
type VMList interface {
	VMs(ctx context.Context) ([]VMEntry, error)
}
