// Package ticket lets a request that may not be repeated run at most once,
// with no store of our own and no write to the platform.
//
// A caller first takes a ticket. It names, for ever, the few entry processes
// (arbiters) of its home data centre that vote on it, each with its
// incarnation. A VM runs the request only after a majority of these arbiters
// has voted for it; an arbiter votes once. A process that was replaced has
// another incarnation and no vote, so it cannot forget what it voted.
//
// Because a majority is needed to run, enough votes for "nobody" prove that a
// request did not run and never will: that is what "not run" rests on.
//
// Ways weighed and their costs are in docs/design/at-most-once.md.
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
	// Link is the UDP address of the process.
	Link string `cbor:"3,keyasint"`
}

// Ticket is the right to run one request at most once.
type Ticket struct {
	ID        string                `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID  `cbor:"2,keyasint"`
	Home      contract.DataCentreID `cbor:"3,keyasint"`
	Arbiters  []Arbiter             `cbor:"4,keyasint"`
	Expires   int64                 `cbor:"5,keyasint"` // Unix seconds
}

// Quorum returns how many votes a claim needs to run.
func (t Ticket) Quorum() int { return len(t.Arbiters)/2 + 1 }

// Blocking returns how many votes for nobody prove that no claim can run.
func (t Ticket) Blocking() int { return len(t.Arbiters) - t.Quorum() + 1 }

// Limits of tickets.
const (
	// MaxArbiters bounds the arbiters of a ticket.
	MaxArbiters = 3
	// Lifetime is how long a ticket can be claimed.
	Lifetime = 10 * time.Minute
)

const purpose = "ticket"

// ErrOtherWorkspace means that a ticket was made for another workspace.
var ErrOtherWorkspace = errors.New("ticket is of another workspace")

// ErrExpired means that a ticket can no longer be claimed.
var ErrExpired = errors.New("ticket has expired")

// Office makes and opens tickets.
type Office struct{ key *sign.Key }

// NewOffice returns an office with the fleet's signing key.
func NewOffice(secret []byte) *Office { return &Office{key: sign.NewKey(secret, purpose)} }

// Issue signs a ticket that expires Lifetime from now.
func (o *Office) Issue(t Ticket, now time.Time) (string, error) {
	t.Expires = now.Add(Lifetime).Unix()
	return o.key.Sign(t)
}

// Open reads a ticket that workspace w has shown. It fails with
// sign.ErrForged or ErrOtherWorkspace; an expired ticket still opens, since
// what became of it can still be asked.
func (o *Office) Open(text string, w contract.WorkspaceID) (Ticket, error) {
	var t Ticket
	if err := o.key.Open(text, &t); err != nil {
		return Ticket{}, err
	}
	if t.Workspace != w {
		return Ticket{}, ErrOtherWorkspace
	}
	return t, nil
}
