// Package sign makes and checks signed texts: what a caller carries from one
// VM to another in place of the memory that VMs do not have.
//
// The signature is HMAC-SHA256 under a key that the fleet shares. The text is
// not secret, but nobody outside the fleet can make or alter one.
package sign

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// ErrForged means that a text was not signed with this key for this purpose.
var ErrForged = errors.New("signature does not fit")

// maxText bounds a signed text.
const maxTextLength = 4096

// mark stands between the content and the signature.
const separator = "."

// Key signs texts of one purpose, so that a text made for one purpose never
// passes for another.
type Key struct {
	secret  []byte
	purpose string
}

// NewKey returns the key for a purpose.
func NewKey(secret []byte, purpose string) *Key { return &Key{secret: secret, purpose: purpose} }

func (k *Key) mac(content string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(k.purpose + "\x00" + content))
	return h.Sum(nil)
}

// Sign returns the signed text of v.
func (k *Key) Sign(v any) (string, error) {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return "", err
	}
	content := base64.RawURLEncoding.EncodeToString(raw)
	return content + separator + base64.RawURLEncoding.EncodeToString(k.mac(content)), nil
}

// Open checks a signed text and reads it into v. It reads nothing of a text
// whose signature does not fit.
func (k *Key) Open(text string, v any) error {
	content, signature, ok := strings.Cut(text, separator)
	if !ok || len(text) > maxTextLength {
		return ErrForged
	}
	got, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(got, k.mac(content)) {
		return ErrForged
	}
	raw, err := base64.RawURLEncoding.DecodeString(content)
	if err != nil {
		return ErrForged
	}
	return cbor.Unmarshal(raw, v)
}
