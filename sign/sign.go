// Package sign creates and verifies signed texts, such as session tokens. Clients carry
// signed texts from one VM to another, because VMs share no state.
//
// The signature is an HMAC-SHA256 with a key that all VMs share. The content of a text
// is not encrypted, but only the VMs can create or alter a text.
package sign

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// ErrInvalidSignature means that a text is malformed,
// or was not signed with this key for this purpose.
var ErrInvalidSignature = errors.New("signature is not valid")

// maxTextLength is the maximum length of a signed text in bytes.
const maxTextLength = 4096

// separator separates the content of a signed text from the signature.
const separator = "."

// Key signs and verifies texts for one purpose. A text that was signed for one purpose
// is not valid for another.
type Key struct {
	secret  []byte
	purpose string
}

// NewKey returns a Key that uses secret for the given purpose.
func NewKey(secret []byte, purpose string) *Key { return &Key{secret: secret, purpose: purpose} }

// mac returns the HMAC of the purpose and the content.
func (k *Key) mac(content string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(k.purpose + "\x00" + content))
	return h.Sum(nil)
}

// Sign returns a signed text that contains v, encoded as CBOR.
func (k *Key) Sign(v any) (string, error) {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return "", err
	}
	content := base64.RawURLEncoding.EncodeToString(encoded)
	return content + separator + base64.RawURLEncoding.EncodeToString(k.mac(content)), nil
}

// Verify verifies a signed text and decodes its content into v.
// It decodes nothing if the signature is not valid.
func (k *Key) Verify(text string, v any) error {
	content, signature, ok := strings.Cut(text, separator)
	if !ok || len(text) > maxTextLength {
		return ErrInvalidSignature
	}
	got, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(got, k.mac(content)) {
		return ErrInvalidSignature
	}
	encoded, err := base64.RawURLEncoding.DecodeString(content)
	if err != nil {
		return ErrInvalidSignature
	}
	return cbor.Unmarshal(encoded, v)
}
