package contract

import (
	"strings"
	"time"
)

// WorkspaceID names a workspace, the customer that a request belongs to.
type WorkspaceID string

// ModelID names a model, such as "chat-small".
type ModelID string

// VersionID names one version of a model, written "model@number".
type VersionID string

// versionMark stands between a model and the number of its version.
const versionMark = "@"

// Model returns the model that v is a version of, or "" when v names none.
func (v VersionID) Model() ModelID {
	model, _, found := strings.Cut(string(v), versionMark)
	if !found {
		return ""
	}
	return ModelID(model)
}

// IsVersion tells whether name is a version, "model@number", and not a model.
func IsVersion(name string) bool {
	model, number, found := strings.Cut(name, versionMark)
	return found && model != "" && number != ""
}

// VMID names a VM of the system.
type VMID string

// DataCentreID names a data centre.
type DataCentreID string

// PoolID names a pool of upstreams.
type PoolID string

// UpstreamID names one upstream: a replica of an engine or of a plain service.
type UpstreamID string

// Life is one life of an upstream: it may start again under its id, and is another then.
// What was said of one life says nothing of the next.
type Life struct {
	Upstream UpstreamID `cbor:"1,keyasint"`
	// Born tells lives under one id apart; zero where an id is never used again.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// ServiceID names a plain service.
type ServiceID string

// RequestID names one request of one caller. It is unique over the fleet.
type RequestID string

// ChangeID names one change of configuration.
type ChangeID string

// Revision counts accepted configurations. It only rises; zero is "none yet".
type Revision uint64

// Incarnation tells apart the lives of a process under one name. It is drawn
// anew at each start, and a later start has a higher one.
type Incarnation uint64

// FencingNumber orders the holders of a lease: a later holder has a higher one.
type FencingNumber uint64

// Tokens counts tokens of a model.
type Tokens int64

// Money is an amount in millionths of the currency that the prices use.
type Money int64

// Bytes is a size in bytes.
type Bytes int64

// Sizes of common limits.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Price is what one million tokens cost.
type Price Money

// tokensPerPrice is the number of tokens that a Price is for.
const tokensPerPrice = 1_000_000

// Cost returns the price of n tokens, rounded down to a millionth.
func (p Price) Cost(n Tokens) Money {
	return Money(int64(p) * int64(n) / tokensPerPrice)
}

// NewIncarnation derives an incarnation from the time of a start. Two starts
// under one name in the same microsecond are not told apart.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMicro())
}
