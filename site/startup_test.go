package site

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/link"
)

// cacheKind is a kind of objects without a store. A VM has it from the start or receives
// it from a peer.
type cacheKind struct {
	// mu guards cache.
	mu    sync.Mutex
	cache *ObjectCache
}

func (k *cacheKind) status() (KindStatus, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	revision, known := k.cache.Revision()
	return KindStatus{Kind: "servers", LastChange: k.cache.LastChange(), Revision: revision}, known
}

func (k *cacheKind) compareWithPeer(peer KindStatus) Comparison {
	own, known := k.status()
	if !known || peer.LastChange > own.Revision {
		return Comparison{Behind: true, Request: ChangesRequest{Kind: peer.Kind, After: own.Revision, Known: known}}
	}
	return Comparison{}
}

func (k *cacheKind) changesSince(after contract.Revision, known bool) Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cache.Since(after, known)
}

func (k *cacheKind) applyFromPeer(d Delta, _ KindStatus, _ string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cache.Apply(d)
}

func (k *cacheKind) isWatching() bool { return false }

// startWithList starts VMs of which one knows a list of upstreams, and waits until all
// do. It returns how long that took and how many bytes of changes were sent.
func startWithList(tb testing.TB, dataCentres, perDataCentre, upstreams, threshold int) (took time.Duration, bytes int64) {
	tb.Helper()
	ctx, cancel := context.WithCancel(tb.Context())
	defer cancel()
	all := startFleet(tb, ctx, dataCentres, perDataCentre, func(n int, p *Peers) {
		k := &cacheKind{cache: NewObjectCache("servers")}
		if n == 0 {
			k.cache.Apply(upstreamDelta(upstreams))
		}
		p.packedLists.threshold = threshold
		p.registerKind("servers", k)
	})
	began := time.Now()
	for _, p := range all {
		for {
			if _, known := p.status("servers"); known {
				break
			}
			if time.Since(began) > time.Minute {
				tb.Fatal("a VM did not receive the list within a minute")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	took = time.Since(began)
	for _, p := range all {
		for _, s := range p.endpoint.SentCounts() {
			if s.Kind == link.KindObjectChanges {
				bytes += s.Bytes
			}
		}
		_ = p.Close() // the fleet has ended
	}
	return took, bytes
}

// TestListsAreCompressedAtStart starts 18 VMs, of which one knows 600 upstreams and the
// others have no state. All must receive the list, and the bytes sent must be a small
// part of the list per VM. Without compression at least the whole list is sent to each
// VM.
func TestListsAreCompressedAtStart(t *testing.T) {
	is := is.New(t)
	const vms, upstreams = 18, 600
	whole := int64(upstreamDelta(upstreams).approxSize())
	_, compressed := startWithList(t, 3, vms/3, upstreams, 0)
	is.True(compressed < vms*whole/4)
	_, uncompressed := startWithList(t, 3, vms/3, upstreams, noCompression)
	is.True(uncompressed > (vms-1)*whole*3/4)
}

// noCompression is a threshold above the size of any list.
const noCompression = 1 << 40

// BenchmarkFleetStart measures sending a list of 3,000 upstreams to 300 VMs that start
// together, with and without compression.
func BenchmarkFleetStart(b *testing.B) {
	for name, threshold := range map[string]int{"packed": 0, "plain": noCompression} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				took, bytes := startWithList(b, 3, 100, 3000, threshold)
				b.ReportMetric(took.Seconds(), "s-until-all-know")
				b.ReportMetric(float64(bytes)/1e6, "MB-sent")
			}
		})
	}
}
