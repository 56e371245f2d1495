// Package forward passes requests between VMs. A VM that has lost its network path to the upstreams
// of a service asks other VMs whether they reach the service, and passes its requests to one of them.
// So does a VM that has used up its share of what the upstreams accept, because callers came to it
// instead of to the other VMs.
//
// A request is passed on in these steps, all on one stream of package link:
//
//  1. The forwarding VM sends an Offer. The other VM, the helper, answers with an Admission. Before
//     the admission nothing of the request is known to the helper, so a refused or unanswered offer
//     proves that the request has not run, and the offer may go to another VM.
//  2. The forwarding VM sends the request. From here on it may run.
//  3. The helper sends the answer as a sequence of Parts, with an empty Part at least every
//     keepAliveInterval, and ends it with a Part that states how the request ended.
//
// A helper never passes a request on, so that there is one hop and no cycle. It counts the request
// against the limits of the upstreams, as the VM that sends it. If the caller leaves, the forwarding
// VM cancels the stream, and with it the request at the helper.
package forward

import (
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/relay"
)

// ReachQuery asks a VM whether it reaches the upstreams of a service.
// Losing the query or its answer only delays the choice of a helper.
type ReachQuery struct {
	Service contract.ServiceID `cbor:"1,keyasint"`
}

// ReachAnswer is the answer to a ReachQuery.
type ReachAnswer struct {
	Reaches bool `cbor:"1,keyasint"`
	// Running is the number of requests that the VM serves for other VMs.
	Running int `cbor:"2,keyasint,omitempty"`
	// Room means that the VM has not used up its share of what the upstreams accept.
	Room bool `cbor:"3,keyasint,omitempty"`
	// Holders are the VMs that hold the room of the service in the data centre of the VM, if only a few
	// of them do.
	Holders []Holder `cbor:"4,keyasint,omitempty"`
}

// Holder is a VM that holds room of a service: it may send requests to the upstreams.
type Holder struct {
	VM      contract.VMID `cbor:"1,keyasint"`
	Address string        `cbor:"2,keyasint"` // link address
}

// Offer announces a request before it is sent.
type Offer struct {
	Service contract.ServiceID `cbor:"1,keyasint"`
	// Bytes is the size of the request's body.
	Bytes contract.Bytes `cbor:"2,keyasint"`
	// Overflow means that the forwarding VM has used up its share of what the upstreams accept.
	// A helper that has used up its own declines.
	Overflow bool `cbor:"3,keyasint,omitempty"`
}

// Admission is the answer to an Offer.
type Admission struct {
	Accepted bool `cbor:"1,keyasint"`
	// Why is the reason for a refusal.
	Why Reason `cbor:"2,keyasint,omitempty"`
}

// Reason is why a helper does not accept a request.
type Reason string

// The reasons of refused offers.
const (
	Stopping Reason = "stopping"
	Full     Reason = "full"
	NoPath   Reason = "no-path"
)

// Part is a part of the answer to a request. An empty Part shows that the helper is alive.
type Part struct {
	// Head begins a stream or, with Whole set, is the head of the complete answer Body.
	Head  *Head  `cbor:"1,keyasint,omitempty"`
	Whole bool   `cbor:"2,keyasint,omitempty"`
	Body  []byte `cbor:"3,keyasint,omitempty"`
	// Events are complete events of a stream.
	Events []byte `cbor:"4,keyasint,omitempty"`
	// End is set in the last part.
	End *End `cbor:"5,keyasint,omitempty"`
}

// Head is the head of an upstream's answer, as far as the caller gets it.
type Head struct {
	Status         int         `cbor:"1,keyasint"`
	Header         http.Header `cbor:"2,keyasint"`
	Confidence     float64     `cbor:"3,keyasint"`
	WeightsVersion string      `cbor:"4,keyasint,omitempty"`
}

// End is how a request ended at a helper.
type End struct {
	RequestEnd relay.RequestEnd  `cbor:"1,keyasint"`
	Refusal    *contract.Refusal `cbor:"2,keyasint,omitempty"`
	Outcome    contract.Outcome  `cbor:"3,keyasint"`
	// Sends is the number of attempts that may have reached an upstream.
	Sends int `cbor:"4,keyasint,omitempty"`
}

// Timeouts between two VMs. Both ends of a stream use the same ones.
const (
	// reachTimeout bounds the answer to a ReachQuery, in which a VM may try to connect to an upstream.
	reachTimeout = 400 * time.Millisecond
	// admissionTimeout bounds the time until an offer is answered.
	admissionTimeout = 400 * time.Millisecond
	// keepAliveInterval is the longest pause between two parts of an answer.
	// helperTimeout is the silence after which a helper counts as lost.
	keepAliveInterval = 400 * time.Millisecond
	helperTimeout     = 1500 * time.Millisecond
	// requestTimeout bounds the time in which an accepted request has to arrive.
	requestTimeout = 2 * time.Second
)
