package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestFingerprintCoversEveryPart checks that a change to any part of a request changes its
// fingerprint, also when only the boundary between two parts moves.
func TestFingerprintCoversEveryPart(t *testing.T) {
	is := is.New(t)
	p := FingerprintOf("w", "h", "/a", []byte("body"))
	is.Equal(p, FingerprintOf("w", "h", "/a", []byte("body")))
	for name, other := range map[string]Fingerprint{
		"workspace":                    FingerprintOf("v", "h", "/a", []byte("body")),
		"host":                         FingerprintOf("w", "g", "/a", []byte("body")),
		"path":                         FingerprintOf("w", "h", "/b", []byte("body")),
		"body":                         FingerprintOf("w", "h", "/a", []byte("bodx")),
		"byte moved from body to path": FingerprintOf("w", "h", "/ab", []byte("ody")),
		"byte moved from path to host": FingerprintOf("w", "h/", "a", []byte("body")),
	} {
		if other == p {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
	is.Equal(len(p.String()), 32)
}
