// Package protocol defines the messages between woaddoor's own processes. The comment on each message type
// states what happens if a message is lost, repeated or late.
package protocol

import (
	"time"

	"woaddoor/bill"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/rollout"
	"woaddoor/ticket"
	"woaddoor/vm"
)

// PullRequest asks a control process for the newest configuration. A lost or repeated request only costs an
// attempt. A late one is answered with the configuration known by then.
type PullRequest struct {
	// Have is the configuration revision that the sender holds.
	Have contract.Revision `cbor:"1,keyasint"`
	// Hash is the short hash of the configuration document that the sender holds.
	Hash document.Hash `cbor:"2,keyasint"`
	// Wait is how long the control process may delay its answer to wait for a newer configuration.
	Wait time.Duration `cbor:"3,keyasint"`
	// Entry is the sender's state. It is set only if an entry process asks its own VM's control process.
	Entry *EntryState `cbor:"4,keyasint,omitempty"`
	// Members selects which of the live VMs the answer lists.
	Members MemberScope `cbor:"5,keyasint,omitempty"`
}

// MemberScope selects the VMs that the answer to a pull lists.
type MemberScope uint8

// The values of MemberScope.
const (
	// NoMembers requests no list of VMs.
	NoMembers MemberScope = iota
	// FarMembers requests the VMs of other data centres. A control process uses it, because it gets heartbeats
	// from the VMs of its own data centre.
	FarMembers
	// AllMembers requests all VMs. An entry process uses it, because it receives no heartbeats.
	AllMembers
)

// EntryState is the state that an entry process reports to its control process. A later report replaces an
// earlier one of the same incarnation.
type EntryState struct {
	Incarnation contract.Incarnation `cbor:"1,keyasint"`
	// Link is the address at which other processes can call the entry process.
	Link string `cbor:"2,keyasint"`
	// Revision is the revision of the configuration that the entry process uses.
	Revision contract.Revision `cbor:"3,keyasint"`
	// Leaving is set when the entry process is shutting down.
	Leaving bool `cbor:"4,keyasint"`
	// Evidence holds the good and bad answers that the entry process has counted for versions in rollout.
	Evidence rollout.Evidence `cbor:"5,keyasint"`
	// Halts lists the model versions that are halted at the entry process.
	Halts []contract.VersionID `cbor:"6,keyasint"`
}

// PullAnswer carries the newest configuration that the answering process holds.
//
// The requester measures the age of the configuration from before it sent the request, so a late answer only
// makes the configuration count as older than it is.
type PullAnswer struct {
	// Patch updates the requester's configuration. It is nil if both processes hold the same revision.
	Patch *document.Patch `cbor:"1,keyasint"`
	// Known reports whether Age is known, that is, whether the configuration was ever confirmed as the newest.
	Known bool `cbor:"2,keyasint"`
	// Age is the time since the configuration was last confirmed as the newest, when the answer was sent.
	Age time.Duration `cbor:"3,keyasint"`
	// Members lists the VMs that the answering process considers live, if the request asked for them.
	Members []vm.Member `cbor:"4,keyasint,omitempty"`
	// Halts lists the model versions that are halted on any VM.
	Halts []contract.VersionID `cbor:"5,keyasint"`
	// Leaving lists the upstreams that the platform reports as shutting down.
	Leaving []contract.UpstreamID `cbor:"6,keyasint"`
}

// Heartbeat tells a peer's control process that the sender is alive. The next heartbeat makes up for a lost one.
// Late ones are recognized by the incarnation and age of their members.
//
// Its size does not grow with the number of VMs. Within a data centre, a heartbeat carries only the sender once
// both VMs know the same members. To another data centre, it carries the few VMs that represent the sender's.
type Heartbeat struct {
	Members []vm.Member `cbor:"1,keyasint"`
	// Halts lists the model versions that the sender knows to be halted.
	Halts []contract.VersionID `cbor:"2,keyasint,omitempty"`
	// Evidence holds the answers that the sender's entry process has counted for versions in rollout. To
	// another data centre, it is the sum of the evidence known from the sender's data centre.
	Evidence rollout.Evidence `cbor:"3,keyasint,omitempty"`
	// Digest is a digest of the VMs that the sender knows in its data centre. Heartbeats between two VMs carry
	// all of these VMs only while their digests differ.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// VoteRequest asks an arbiter for its vote on a ticket. A repeated request gets the same vote. A late one finds
// that the arbiter has voted already or that the ticket has expired.
type VoteRequest struct {
	Ticket   ticket.Ticket   `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
}

// SettleRequest reports the result of a ticket's request to an arbiter. Only the first one from the claimant
// that holds the arbiter's vote counts. If it is lost, the arbiter does not know the result.
type SettleRequest struct {
	TicketID string          `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
	Result   ticket.Result   `cbor:"3,keyasint"`
}

// Records carries bill records that the receiver is to store for a peer, is to submit to the platform, or may
// drop because they were submitted. Repeating it is harmless, since each record has a unique ID.
type Records struct {
	Records []bill.Record `cbor:"1,keyasint"`
}

// Done is an empty answer. It acknowledges a request.
type Done struct{}
