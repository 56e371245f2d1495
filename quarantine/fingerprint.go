// Package quarantine detects requests that crash the upstreams that run them ("queries of
// death") and blocks further sends of such requests. The package does no I/O and reads no clock:
// its callers pass in the events, the current time and the gossip from other VMs.
//
// No response states that a request crashes upstreams.
// The caller repeats such a request with another
// request id, possibly through another VM, and each VM sees only one broken connection.
// Requests are therefore identified by a fingerprint (a hash) of their content, upstream crashes
// are derived from broken connections, and VMs share their observations by gossip.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"woaddoor/contract"
)

// fingerprintBytes is the length of a Fingerprint. With 128 bits of SHA-256, a caller needs about
// 2^64 attempts to find two of its own requests with the same fingerprint, and 2^128 to
// match the fingerprint of another caller's request.
const fingerprintBytes = 16

// Fingerprint is the fingerprint of a request's content, or of one part of its prompt. A content is
// workspace, host, path and body: the request id, the headers and the transfer encoding do not
// affect it.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(w contract.WorkspaceID, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{string(w), host, uri} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// partPrefix precedes the name of a part in its fingerprint. No content begins with it: the
// fingerprint of a content begins with the length of the workspace.
const partPrefix = "prompt part\x00"

// FingerprintOfPart returns the fingerprint of a prompt part, which is the same for all requests
// with the part, whatever their workspace, path, model and other parts.
func FingerprintOfPart(name string) Fingerprint {
	sum := sha256.Sum256([]byte(partPrefix + name))
	return Fingerprint(sum[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Prefix returns the first 64 bits of the fingerprint.
func (f Fingerprint) Prefix() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// ParseFingerprint parses a fingerprint in the format of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(fingerprintBytes) {
		return f, fmt.Errorf("fingerprint %q: has %d digits, want %d", text, len(text), hex.EncodedLen(fingerprintBytes))
	}
	raw, err := hex.DecodeString(text)
	if err != nil {
		return f, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return Fingerprint(raw), nil
}
