package link

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that arbitrary bytes from a peer neither make the decoder panic
// nor decode to a body that is larger than its frame.
func FuzzDecode(f *testing.F) {
	valid, err := Encode(requestFrame{Kind: KindTicketVote, Body: []byte{0xf6}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var frame requestFrame
		if err := readFrame(bytes.NewReader(raw), &frame); err != nil {
			return
		}
		if len(frame.Body) > len(raw) {
			t.Fatal("decoded body is larger than its frame")
		}
	})
}
