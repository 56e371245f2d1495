package stream

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEventsDeliveredWholeAndOnce breaks a stream off at any byte and continues it
// from another upstream that repeats some events. Each event must be passed on
// whole, once and in order. Copying the bytes as they arrive would repeat some
// events and merge fragments of others.
func TestEventsDeliveredWholeAndOnce(t *testing.T) {
	naiveFailures := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "events")
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
		var want bytes.Buffer
		for i := range n {
			want.WriteString(event(i + 1))
		}
		cut := rapid.IntRange(0, want.Len()).Draw(t, "cut")
		var got, naive bytes.Buffer
		var e EventSplitter
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
		feed(want.Bytes()[:cut])
		e.DiscardPartial()
		last, _ := e.LastID()
		from := max(int(last)-rapid.IntRange(0, 2).Draw(t, "repeated"), 0)
		for i := from; i < n; i++ {
			feed([]byte(event(i + 1)))
		}
		if got.String() != want.String() {
			t.Fatalf("got %q, want %q", got.String(), want.String())
		}
		if naive.String() != want.String() {
			naiveFailures++
		}
	})
	is.New(t).True(naiveFailures > 0)
}

// FuzzEvents checks that no input makes EventSplitter panic, return partial events, or
// return more bytes than it received.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("id: 9223372036854775808\n\n\n\n"))
	f.Add([]byte("x-weight-versions: 3\nid: 1\n\nid: 1\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e EventSplitter
		total := 0
		for _, b := range raw {
			out, n, err := e.Feed([]byte{b})
			if err != nil {
				return
			}
			if (n > 0) != (len(out) > 0) {
				t.Fatalf("got %d events in %d bytes", n, len(out))
			}
			total += len(out)
		}
		if total > len(raw) {
			t.Fatal("returned more bytes than received")
		}
	})
}
