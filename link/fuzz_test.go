package link

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that no bytes of a peer make the decoder panic or accept a
// frame over its bound.
func FuzzDecode(f *testing.F) {
	good, err := Encode(envelope{Kind: KindVote, Body: []byte{0xf6}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e envelope
		if err := readFrame(bytes.NewReader(raw), &e); err != nil {
			return
		}
		if len(e.Body) > len(raw) {
			t.Fatal("body is larger than its frame")
		}
	})
}
