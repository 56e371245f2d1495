// Package session keeps a session on its version while every VM that served
// it may be gone.
//
// The version is not remembered by any VM: it is in a signed token that the
// caller carries. A session begins only with a token that the router made, so
// no VM ever has to guess which version an unknown session was on.
package session

import (
	"errors"
	"time"

	"woaddoor/contract"
	"woaddoor/sign"
)

// Token says which version a session keeps.
type Token struct {
	Session   string               `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint"`
	Version   contract.VersionID   `cbor:"3,keyasint"`
	// Revision is the configuration that the version was chosen under.
	Revision contract.Revision `cbor:"4,keyasint"`
	IssuedAt int64             `cbor:"5,keyasint"` // Unix seconds
}

// purpose keeps a token from passing for a ticket.
const purpose = "session"

// ErrOtherWorkspace means that a token was made for another workspace. The
// caller is told no more than of a forged one.
var ErrOtherWorkspace = errors.New("token is of another workspace")

// Keeper makes and opens tokens.
type Keeper struct{ key *sign.Key }

// NewKeeper returns a keeper with the fleet's signing key.
func NewKeeper(secret []byte) *Keeper { return &Keeper{key: sign.NewKey(secret, purpose)} }

// Issue makes the token of a session that begins now.
func (k *Keeper) Issue(t Token, now time.Time) (string, error) {
	t.IssuedAt = now.Unix()
	return k.key.Sign(t)
}

// Open reads a token that workspace w has shown. It fails with sign.ErrForged
// or ErrOtherWorkspace.
func (k *Keeper) Open(text string, w contract.WorkspaceID) (Token, error) {
	var t Token
	if err := k.key.Open(text, &t); err != nil {
		return Token{}, err
	}
	if t.Workspace != w {
		return Token{}, ErrOtherWorkspace
	}
	return t, nil
}
