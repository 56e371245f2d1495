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

// heldKind is a kind of objects that a VM knows or is told of; its store is away.
type heldKind struct {
	// mu guards ledger.
	mu     sync.Mutex
	ledger *Ledger
}

func (k *heldKind) status() (Have, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.ledger.At()
	return Have{Kind: "servers", Last: k.ledger.Last(), At: at}, known
}

func (k *heldKind) compare(h Have) Compared {
	have, known := k.status()
	if !known || h.Last > have.At {
		return Compared{Lacks: true, Wanted: Wanted{Kind: h.Kind, After: have.At, Holds: known}}
	}
	return Compared{}
}

func (k *heldKind) since(after contract.Revision, holds bool) Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Since(after, holds)
}

func (k *heldKind) feed(d Delta, _ Have, _ string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Apply(d)
}

func (k *heldKind) asks() bool { return false }

// startWithList starts VMs of which one knows a list of upstreams, and waits until all
// do. It returns how long that took and what was sent as changes.
func startWithList(tb testing.TB, dataCentres, each, upstreams, packFrom int) (took time.Duration, bytes int64) {
	tb.Helper()
	ctx, cancel := context.WithCancel(tb.Context())
	defer cancel()
	all := startFleet(tb, ctx, dataCentres, each, func(n int, p *Peers) {
		k := &heldKind{ledger: NewLedger("servers")}
		if n == 0 {
			k.ledger.Apply(upstreamsOf(upstreams))
		}
		p.packs.from = packFrom
		p.share("servers", k)
	})
	began := time.Now()
	for _, p := range all {
		for {
			if _, known := p.status("servers"); known {
				break
			}
			if time.Since(began) > time.Minute {
				tb.Fatal("a VM was not told within a minute")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	took = time.Since(began)
	for _, p := range all {
		for _, s := range p.endpoint.Sent() {
			if s.Kind == link.KindChanges {
				bytes += s.Bytes
			}
		}
		_ = p.Close() // the fleet is over
	}
	return took, bytes
}

// TestStartOfAllIsPacked starts 18 VMs that know nothing beside one that knows 600
// upstreams: all are told, and what is sent for it is a small part of the list for
// each. The plain way sends the whole list to each VM at least.
func TestStartOfAllIsPacked(t *testing.T) {
	is := is.New(t)
	const vms, upstreams = 18, 600
	whole := int64(upstreamsOf(upstreams).size())
	_, packed := startWithList(t, 3, vms/3, upstreams, 0)
	is.True(packed < vms*whole/4)
	_, plain := startWithList(t, 3, vms/3, upstreams, never)
	is.True(plain > (vms-1)*whole*3/4)
}

// never is a size from which nothing is packed.
const never = 1 << 40

// BenchmarkStart measures the hand-over of a list of 3,000 upstreams to 300 VMs that
// start together, packed and plain.
func BenchmarkStart(b *testing.B) {
	for name, from := range map[string]int{"packed": 0, "plain": never} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				took, bytes := startWithList(b, 3, 100, 3000, from)
				b.ReportMetric(took.Seconds(), "s-until-all-know")
				b.ReportMetric(float64(bytes)/1e6, "MB-sent")
			}
		})
	}
}
