package engine

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// BenchmarkChunk measures reading, decoding and checking one chunk of a stream,
// without network I/O.
func BenchmarkChunk(b *testing.B) {
	const event = `id: 7
data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m@1","choices":[{"index":0,"delta":{"role":"assistant","content":"word "},"finish_reason":null}]}

`
	text := strings.Repeat(event, b.N)
	s := &Stream{call: Call{Version: "m@1"}, reader: bufio.NewReaderSize(bytes.NewBufferString(text), int(streamBufferBytes))}
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
