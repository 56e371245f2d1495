package quarantine

import (
	"fmt"
	"testing"
	"time"

	"woaddoor/contract"
)

// BenchmarkRequest is what a request costs while a thousand contents are held: its print,
// by the length of its body, and the look whether it is one of them.
func BenchmarkRequest(b *testing.B) {
	table, now := NewTable(), time.Unix(1000, 0)
	for n := range 1000 {
		table.Listed(Held{Print: Print{byte(n), byte(n >> 8)}, Revision: contract.Revision(n + 1)}, now)
	}
	for _, size := range []int{0, 2 << 10, 12 << 10, 72 << 10} {
		body := make([]byte, size)
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.Bars(PrintOf("workspace", "host.example", "/path/of/a/request", body), now) {
					b.Fatal("held")
				}
			}
		})
	}
}

// BenchmarkTold is what a word costs at a VM that remembers 4,000 contents under which one
// upstream has ended, some time ago.
func BenchmarkTold(b *testing.B) {
	table, now := NewTable(), time.Unix(1000, 0)
	for n := range 4000 {
		table.End(Print{byte(n), byte(n >> 8)}, About{}, End{contract.Life{Upstream: "u", Born: 1}, now, now}, now)
	}
	now = now.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		if len(table.Told(now)) > 0 {
			b.Fatal("told")
		}
	}
}
