package stream

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEventsWholeAndOnce cuts a series at any byte, breaks it off, and goes on
// with another upstream that repeats some events: what is passed on is each
// event once, in order. Copying bytes as they come, the naive way, repeats and
// joins pieces.
func TestEventsWholeAndOnce(t *testing.T) {
	naiveWrong := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "events")
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
		var whole bytes.Buffer
		for i := range n {
			whole.WriteString(event(i + 1))
		}
		cut := rapid.IntRange(0, whole.Len()).Draw(t, "cut")
		var got, naive bytes.Buffer
		var e Events
		feed := func(b []byte) {
			for len(b) > 0 {
				size := min(rapid.IntRange(1, 40).Draw(t, "size"), len(b))
				out, _, err := e.Feed(b[:size])
				if err != nil {
					t.Fatal(err)
				}
				got.Write(out)
				naive.Write(b[:size])
				b = b[size:]
			}
		}
		feed(whole.Bytes()[:cut])
		e.Restart()
		last, _ := e.Last()
		from := max(int(last)-rapid.IntRange(0, 2).Draw(t, "repeated"), 0)
		for i := from; i < n; i++ {
			feed([]byte(event(i + 1)))
		}
		if got.String() != whole.String() {
			t.Fatalf("got %q, want %q", got.String(), whole.String())
		}
		if naive.String() != whole.String() {
			naiveWrong++
		}
	})
	is.New(t).True(naiveWrong > 0)
}

// FuzzEvents checks that no bytes of an upstream make the reader panic, pass on
// what is not whole, or pass on more than came.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("id: 9223372036854775808\n\n\n\n"))
	f.Add([]byte("x-weight-versions: 3\nid: 1\n\nid: 1\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e Events
		total := 0
		for _, b := range raw {
			out, n, err := e.Feed([]byte{b})
			if err != nil {
				return
			}
			if (n > 0) != (len(out) > 0) {
				t.Fatalf("%d events of %d bytes", n, len(out))
			}
			total += len(out)
		}
		if total > len(raw) {
			t.Fatal("passed on more than came")
		}
	})
}
