// Package ticket ensures that a request that must not be repeated runs at most once.
// The package needs no data store of its own and no writes to the platform.
//
// A caller first requests a ticket. The ticket permanently names a few entry processes of its home
// data centre, the arbiters, each with its incarnation.
// A VM runs the request only after a majority of these arbiters has voted for that VM's attempt,
// and an arbiter votes only once. A process that replaces an arbiter has another incarnation and no
// vote, so no vote is ever forgotten.
//
// Because a majority of the arbiters is needed to run, enough votes for Nobody prove that a request
// did not run and never will. The outcome NotRun relies on this proof.
//
// docs/design/at-most-once.md compares this design with its alternatives and their costs.
package ticket

import (
	"errors"
	"time"

	"woaddoor/contract"
	"woaddoor/sign"
)

// Arbiter is an entry process that votes on a ticket.
type Arbiter struct {
	VM          contract.VMID        `cbor:"1,keyasint"`
	Incarnation contract.Incarnation `cbor:"2,keyasint"`
	// Address is the UDP address of the process.
	Address string `cbor:"3,keyasint"`
}

// Ticket permits one request to run at most once.
type Ticket struct {
	ID             string                `cbor:"1,keyasint"`
	Workspace      contract.WorkspaceID  `cbor:"2,keyasint"`
	HomeDataCentre contract.DataCentreID `cbor:"3,keyasint"`
	Arbiters       []Arbiter             `cbor:"4,keyasint"`
	Expires        int64                 `cbor:"5,keyasint"` // Unix seconds
}

// Quorum returns how many votes of arbiters a claim on the ticket needs to win.
func (t Ticket) Quorum() int { return len(t.Arbiters)/2 + 1 }

// BlockingQuorum returns how many votes for Nobody prove that no other claimant can win.
func (t Ticket) BlockingQuorum() int { return len(t.Arbiters) - t.Quorum() + 1 }

// Limits of tickets.
const (
	// MaxArbiters is the maximum number of arbiters of a ticket.
	MaxArbiters = 3
	// Lifetime is how long a ticket can be claimed.
	Lifetime = 10 * time.Minute
)

// keyPurpose makes the signature of a ticket invalid for a session token.
const keyPurpose = "ticket"

// ErrOtherWorkspace means that a ticket was issued for another workspace.
var ErrOtherWorkspace = errors.New("ticket belongs to another workspace")

// ErrExpired means that a ticket can no longer be claimed.
var ErrExpired = errors.New("ticket has expired")

// Signer issues and verifies tickets.
type Signer struct{ key *sign.Key }

// NewSigner returns a Signer that uses the fleet's signing key.
func NewSigner(secret []byte) *Signer { return &Signer{key: sign.NewKey(secret, keyPurpose)} }

// Issue returns a signed ticket that expires Lifetime from now.
func (s *Signer) Issue(t Ticket, now time.Time) (string, error) {
	t.Expires = now.Add(Lifetime).Unix()
	return s.key.Sign(t)
}

// Open verifies and decodes a ticket presented by workspace w.
// Open fails with sign.ErrInvalidSignature or ErrOtherWorkspace.
// Open also accepts an expired ticket, because the result of its request can still be retrieved.
func (s *Signer) Open(text string, w contract.WorkspaceID) (Ticket, error) {
	var t Ticket
	if err := s.key.Verify(text, &t); err != nil {
		return Ticket{}, err
	}
	if t.Workspace != w {
		return Ticket{}, ErrOtherWorkspace
	}
	return t, nil
}
