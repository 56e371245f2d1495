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

// PullRequest asks a control process for the newest configuration.
// A lost or repeated request costs only an attempt.
// A late request is answered with the configuration that the control process knows by then.
type PullRequest struct {
	// HeldRevision is the configuration revision that the sender holds.
	HeldRevision contract.Revision `cbor:"1,keyasint"`
	// HeldHash is the short hash of the configuration document that the sender holds.
	HeldHash document.Hash `cbor:"2,keyasint"`
	// MaxWait is how long the control process may delay its answer to wait for a newer configuration.
	MaxWait time.Duration `cbor:"3,keyasint"`
	// Entry is the sender's state. Entry is set only if an entry process asks its own VM's
	// control process.
	Entry *EntryState `cbor:"4,keyasint,omitempty"`
	// MemberScope selects which of the live VMs are listed in the answer to the pull.
	MemberScope MemberScope `cbor:"5,keyasint,omitempty"`
}

// MemberScope selects the VMs that the answer to a pull lists.
type MemberScope uint8

// The values of MemberScope.
const (
	// NoMembers requests no list of VMs.
	NoMembers MemberScope = iota
	// RemoteMembers requests the VMs of other data centres.
	// A control process uses RemoteMembers, because it gets heartbeats from the VMs of its own data
	// centre.
	RemoteMembers
	// AllMembers requests all VMs. An entry process uses AllMembers,
	// because it receives no heartbeats.
	AllMembers
)

// EntryState is the state that an entry process reports to its control process.
// A later report replaces an earlier report of the same incarnation.
type EntryState struct {
	Incarnation contract.Incarnation `cbor:"1,keyasint"`
	// Address is the address at which other processes can call the entry process.
	Address string `cbor:"2,keyasint"`
	// Revision is the revision of the configuration that the entry process uses.
	Revision contract.Revision `cbor:"3,keyasint"`
	// Stopping is set when the entry process is shutting down.
	Stopping bool `cbor:"4,keyasint"`
	// RolloutEvidence holds the counts of good and bad answers that the entry process has counted
	// for versions that are being rolled out.
	RolloutEvidence rollout.Evidence `cbor:"5,keyasint"`
	// HaltedVersions lists the model versions that are halted at the entry process.
	HaltedVersions []contract.VersionID `cbor:"6,keyasint"`
}

// PullResponse carries the newest configuration that the answering process holds.
//
// The requester measures the age of the configuration from a time before it sent the request.
// A late answer therefore only makes the configuration count as older than it is.
type PullResponse struct {
	// Patch updates the requester's configuration.
	// Patch is nil if both processes hold the same revision.
	Patch *document.Patch `cbor:"1,keyasint"`
	// AgeKnown reports whether Age is known, that is, whether the configuration was ever confirmed as the newest.
	AgeKnown bool `cbor:"2,keyasint"`
	// ConfigAge is the time from the last confirmation of the configuration as the newest to the
	// sending of the answer.
	ConfigAge time.Duration `cbor:"3,keyasint"`
	// Members lists the VMs that the answering process considers live, if the request asked for them.
	Members []vm.Member `cbor:"4,keyasint,omitempty"`
	// HaltedVersions lists the model versions that are halted on any VM.
	HaltedVersions []contract.VersionID `cbor:"5,keyasint"`
	// LeavingUpstreams lists the upstreams that the platform reports as shutting down.
	LeavingUpstreams []contract.UpstreamID `cbor:"6,keyasint"`
}

// Heartbeat informs a peer's control process that the sender is alive.
// The next heartbeat makes up for a lost heartbeat.
// Late heartbeats are recognized by the incarnation and age of their members.
//
// The size of a heartbeat does not grow with the number of VMs.
// Within a data centre, a heartbeat carries only the sender once both VMs know the same members.
// To another data centre, a heartbeat carries the few VMs that represent the sender's data centre.
type Heartbeat struct {
	Members []vm.Member `cbor:"1,keyasint"`
	// HaltedVersions lists the model versions that the sender knows to be halted.
	HaltedVersions []contract.VersionID `cbor:"2,keyasint,omitempty"`
	// RolloutEvidence holds the counts of good and bad answers of versions that are being rolled
	// out, as counted by the sender's entry process. To another data centre,
	// a heartbeat carries the sum of the counts that the sender knows from its own data centre.
	RolloutEvidence rollout.Evidence `cbor:"3,keyasint,omitempty"`
	// MembersDigest is a digest of the VMs that the sender knows in its data centre.
	// Heartbeats between two VMs carry all VMs of the data centre only while the digests of the two
	// VMs differ.
	MembersDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// VoteRequest asks an arbiter for its vote on a ticket. A repeated request gets the same vote.
// A late request finds that the arbiter has voted already or that the ticket has expired.
type VoteRequest struct {
	Ticket   ticket.Ticket   `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
}

// SettleRequest reports the result of a ticket's request to an arbiter.
// Only the first report from the claimant that holds the arbiter's vote counts.
// If a report is lost, the arbiter does not know the result.
type SettleRequest struct {
	TicketID string          `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
	Result   ticket.Result   `cbor:"3,keyasint"`
}

// BillRecords carries bill records that the receiver is to store for a peer,
// is to submit to the platform, or may drop because they were submitted.
// Repeating the message is harmless, since each record has a unique ID.
type BillRecords struct {
	Records []bill.Record `cbor:"1,keyasint"`
}

// Ack is an empty answer that acknowledges a request.
type Ack struct{}
