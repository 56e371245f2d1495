package contract

import (
	"strings"
	"time"
)

// WorkspaceID identifies a workspace: the customer that a request belongs to.
type WorkspaceID string

// ModelID identifies a model, such as "chat-small".
type ModelID string

// VersionID identifies one version of a model, in the form "model@number".
type VersionID string

// versionSeparator separates the model from the version number in a VersionID.
const versionSeparator = "@"

// Model returns the model that v is a version of, or "" if v has no version
// separator.
func (v VersionID) Model() ModelID {
	model, _, found := strings.Cut(string(v), versionSeparator)
	if !found {
		return ""
	}
	return ModelID(model)
}

// IsVersion reports whether name is a version ("model@number") rather than a model.
func IsVersion(name string) bool {
	model, number, found := strings.Cut(name, versionSeparator)
	return found && model != "" && number != ""
}

// VMID identifies a VM, whether it runs the router or an upstream.
type VMID string

// DataCentreID identifies a data centre.
type DataCentreID string

// PoolID identifies a pool of upstreams.
type PoolID string

// UpstreamID identifies one upstream: a replica of a model engine or of a plain
// HTTP service.
type UpstreamID string

// UpstreamInstance identifies one run of an upstream. An upstream that restarts under the same id
// is a new instance: load, limits and failures that were recorded for the previous instance do not
// apply to the new instance.
type UpstreamInstance struct {
	Upstream UpstreamID `cbor:"1,keyasint"`
	// Incarnation distinguishes the runs of an upstream that restarts under the same id. It is
	// zero where an id is never reused.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
}

// ServiceID identifies a plain HTTP service.
type ServiceID string

// RequestID identifies one client request. It is unique across all VMs.
type RequestID string

// ChangeID identifies one configuration change.
type ChangeID string

// Incarnation distinguishes the runs of a process that restarts under the same name.
// Each start gets a new incarnation, and a later start gets a higher incarnation.
type Incarnation uint64

// FencingToken is the fencing token of a lease: each new holder of the lease gets a higher token,
// so that a request from a previous holder can be rejected.
type FencingToken uint64

// Tokens is a number of model tokens.
type Tokens int64

// Money is an amount in millionths of the currency in which prices are set.
type Money int64

// Bytes is a size in bytes.
type Bytes int64

// Binary units of size.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// PricePerMillion is the price of one million tokens.
type PricePerMillion Money

// tokensPerPrice is the number of tokens that a PricePerMillion applies to.
const tokensPerPrice = 1_000_000

// Cost returns the price of n tokens, rounded down to one millionth of the
// currency.
func (p PricePerMillion) Cost(n Tokens) Money {
	return Money(int64(p) * int64(n) / tokensPerPrice)
}

// NewIncarnation derives an incarnation from the start time of a process. Two
// starts under the same name within one microsecond get the same incarnation.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMicro())
}
