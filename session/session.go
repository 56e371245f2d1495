// Package session keeps a session on its model version, even if every VM that has served the
// session is gone.
//
// No VM stores the model version of a session: the version is part of a signed session token that
// the caller carries. A session begins only with a session token that the router has issued,
// so no VM has to guess the version of an unknown session.
package session

import (
	"errors"
	"time"

	"woaddoor/contract"
	"woaddoor/sign"
)

// Token is a session token, which records the model version that a session uses.
type Token struct {
	Session   string               `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint"`
	Version   contract.VersionID   `cbor:"3,keyasint"`
	// Revision is the revision of the configuration under which the model version was chosen.
	Revision contract.Revision `cbor:"4,keyasint"`
	IssuedAt int64             `cbor:"5,keyasint"` // Unix seconds
}

// keyPurpose makes the signature of a session token invalid for a ticket.
const keyPurpose = "session"

// ErrOtherWorkspace means that a session token was issued for another workspace.
// The client gets the same refusal as for a forged session token.
var ErrOtherWorkspace = errors.New("session token belongs to another workspace")

// Signer issues and verifies session tokens.
type Signer struct{ key *sign.Key }

// NewSigner returns a Signer that uses the fleet's signing key.
func NewSigner(secret []byte) *Signer { return &Signer{key: sign.NewKey(secret, keyPurpose)} }

// Issue returns the signed session token of a session that begins now.
func (s *Signer) Issue(t Token, now time.Time) (string, error) {
	t.IssuedAt = now.Unix()
	return s.key.Sign(t)
}

// Open verifies and decodes a session token presented by workspace w. Open fails with
// sign.ErrInvalidSignature or ErrOtherWorkspace.
func (s *Signer) Open(text string, w contract.WorkspaceID) (Token, error) {
	var t Token
	if err := s.key.Verify(text, &t); err != nil {
		return Token{}, err
	}
	if t.Workspace != w {
		return Token{}, ErrOtherWorkspace
	}
	return t, nil
}
