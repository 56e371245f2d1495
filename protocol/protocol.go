// Package protocol holds the messages between the system's own processes. Each
// type says what a lost, a repeated and a late message do.
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

// PullRequest asks a control process for the newest configuration. A lost or
// repeated one costs a try; a late one is answered with what is known then.
type PullRequest struct {
	Have contract.Revision `cbor:"1,keyasint"`
	// Hash is the short hash of the document held.
	Hash document.Hash `cbor:"2,keyasint"`
	// Wait is how long the answer may wait for something newer.
	Wait time.Duration `cbor:"3,keyasint"`
	// Entry is set when an entry process asks its own VM's control process.
	Entry *EntryState `cbor:"4,keyasint,omitempty"`
	// Members says which of the VMs known to live to tell of.
	Members MemberScope `cbor:"5,keyasint,omitempty"`
}

// MemberScope is which VMs a pull asks for.
type MemberScope uint8

// The scopes.
const (
	// NoMembers asks for none.
	NoMembers MemberScope = iota
	// FarMembers asks for those of other data centres: a control process hears
	// of the near ones by heartbeats.
	FarMembers
	// AllMembers asks for all: an entry process hears no heartbeats.
	AllMembers
)

// EntryState is what an entry process tells its control process of itself. A
// later one replaces an earlier one of the same incarnation.
type EntryState struct {
	Incarnation contract.Incarnation `cbor:"1,keyasint"`
	Link        string               `cbor:"2,keyasint"`
	Revision    contract.Revision    `cbor:"3,keyasint"`
	Leaving     bool                 `cbor:"4,keyasint"`
	// Evidence is what it has seen of versions in roll-out.
	Evidence rollout.Evidence `cbor:"5,keyasint"`
	// Halts are versions it has halted by itself.
	Halts []contract.VersionID `cbor:"6,keyasint"`
}

// PullAnswer carries the newest configuration that the answerer holds.
//
// The asker counts freshness from before it asked, so an answer that comes
// late is only less fresh.
type PullAnswer struct {
	// Patch is nil when the asker holds the same revision.
	Patch *document.Patch `cbor:"1,keyasint"`
	// Known tells whether the answerer knows at all how fresh it is.
	Known bool `cbor:"2,keyasint"`
	// Age is how old its knowledge was when it answered.
	Age time.Duration `cbor:"3,keyasint"`
	// Members are the VMs it knows to live, when they were asked for.
	Members []vm.Member `cbor:"4,keyasint,omitempty"`
	// Halts are versions halted anywhere.
	Halts []contract.VersionID `cbor:"5,keyasint"`
	// Leaving are the upstreams that the platform lists as leaving.
	Leaving []contract.UpstreamID `cbor:"6,keyasint"`
}

// Heartbeat tells a peer's control process that the sender lives. Lost ones
// are made up for by the next; late ones are told by incarnation and age.
//
// Its size does not grow with the fleet: within a data centre it carries the
// sender alone, once both know of the same VMs; to another data centre the few
// VMs that stand for its own.
type Heartbeat struct {
	Members []vm.Member          `cbor:"1,keyasint"`
	Halts   []contract.VersionID `cbor:"2,keyasint,omitempty"`
	// Evidence is what the sender's entry process has seen; to another data
	// centre, the sum of what is known of the sender's own.
	Evidence rollout.Evidence `cbor:"3,keyasint,omitempty"`
	// Digest is over the VMs that the sender knows of in its data centre. Only
	// while two VMs' digests differ do their heartbeats carry all of them.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// VoteRequest asks an arbiter for its vote. Repeated ones get the same vote; a
// late one finds the ticket voted on or expired.
type VoteRequest struct {
	Ticket   ticket.Ticket   `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
}

// SettleRequest tells an arbiter what became of a ticket. Only the first of
// the claimant that holds the vote counts; a lost one leaves it unknown.
type SettleRequest struct {
	TicketID string          `cbor:"1,keyasint"`
	Claimant ticket.Claimant `cbor:"2,keyasint"`
	Result   ticket.Result   `cbor:"3,keyasint"`
}

// Records carries bill records: to keep, to file, or that are filed. Each is
// harmless when repeated, since records are told apart by their id.
type Records struct {
	Records []bill.Record `cbor:"1,keyasint"`
}

// Done is an answer without content.
type Done struct{}
