package quarantine

import (
	"fmt"
	"testing"
	"time"

	"woaddoor/contract"
)

// BenchmarkCheckRequest measures the per-request cost of the quarantine check while 1,000 request
// contents are quarantined: hashing the content, by body size, and looking up its fingerprint.
func BenchmarkCheckRequest(b *testing.B) {
	table, now := NewTable(), time.Unix(1000, 0)
	for n := range 1000 {
		table.SetStored(QuarantinedContent{Fingerprint: Fingerprint{byte(n), byte(n >> 8)}, Revision: contract.Revision(n + 1)}, now)
	}
	for _, size := range []int{0, 2 << 10, 12 << 10, 72 << 10} {
		body := make([]byte, size)
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.Blocks(FingerprintOf("workspace", "host.example", "/path/of/a/request", body), now) {
					b.Fatal("unexpectedly quarantined")
				}
			}
		})
	}
}

// BenchmarkUpdatesWithoutChanges measures building a gossip message on a VM that tracks
// 4,000 request contents, each with one old crash, so that there is nothing left to send.
func BenchmarkUpdatesWithoutChanges(b *testing.B) {
	table, now := NewTable(), time.Unix(1000, 0)
	for n := range 4000 {
		table.RecordCrash(Fingerprint{byte(n), byte(n >> 8)}, Source{}, Crash{contract.UpstreamInstance{Upstream: "u", Incarnation: 1}, now, now, 0}, now)
	}
	now = now.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		if len(table.Updates(now)) > 0 {
			b.Fatal("unexpected gossip updates")
		}
	}
}
