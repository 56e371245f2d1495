package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/link"
)

// upstreamDelta returns a full delta of n upstream entries that differ only in their
// names, addresses and similar values.
func upstreamDelta(n int) Delta {
	r := rand.New(rand.NewPCG(1, 1))
	d := Delta{Kind: "servers", Full: true, Revision: contract.Revision(n)}
	for i := range n {
		spec := fmt.Sprintf(`{"Service":"s","Address":"10.%d.%d.%d:8%03d","Zone":"d%d","Version":"v1","Slots":12,"State":"ready","ColdRemainingMs":0,"Phase":"combined","ModelList":[{"Name":"small","Version":1,"Adapters":[]},{"Name":"large","Version":1,"Adapters":[]}],"Sequence":%d}`,
			r.IntN(3), r.IntN(255), r.IntN(255), r.IntN(1000), r.IntN(3), r.IntN(40))
		d.Items = append(d.Items, RawObject{Name: fmt.Sprintf("i-%010x", r.Uint64()>>24), Revision: contract.Revision(i + 1), Spec: []byte(spec)})
	}
	return d
}

// TestPackRoundTrip checks that packing and unpacking restores deltas of any size, and
// that a long list is compressed to less than a tenth.
func TestPackRoundTrip(t *testing.T) {
	is := is.New(t)
	list := upstreamDelta(3000)
	packed, err := list.pack(compressThreshold)
	is.NoErr(err)
	is.True(packed.approxSize() < list.approxSize()/10)
	got, err := packed.unpack()
	is.NoErr(err)
	is.Equal(got, list)
	rapid.Check(t, func(t *rapid.T) {
		var d Delta
		for range rapid.IntRange(0, 60).Draw(t, "items") {
			d.Items = append(d.Items, RawObject{Name: rapid.String().Draw(t, "name"), Deleted: rapid.Bool().Draw(t, "deleted"), Spec: rapid.SliceOf(rapid.Byte()).Draw(t, "spec")})
		}
		packed, err := d.pack(compressThreshold)
		if err != nil {
			t.Fatal(err)
		}
		got, err := packed.unpack()
		if err != nil || len(got.Items) != len(d.Items) {
			t.Fatalf("%d items of %d: %v", len(got.Items), len(d.Items), err)
		}
		for i := range got.Items {
			if got.Items[i].Name != d.Items[i].Name || string(got.Items[i].Spec) != string(d.Items[i].Spec) {
				t.Fatalf("item %d differs", i)
			}
		}
	})
}

// TestUnpackMalformedBytes checks that bytes from a faulty VM lead to an error and not to
// a crash.
func TestUnpackMalformedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Delta{Packed: rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "bytes")}
		if got, err := d.unpack(); err == nil && len(got.Packed) > 0 {
			t.Fatal("unpack returned packed bytes and no error")
		}
	})
}

// TestFullDeltaIsPackedOnce checks that a hub packs a list once for all requests, and
// again when the list has changed.
func TestFullDeltaIsPackedOnce(t *testing.T) {
	is := is.New(t)
	p := &Peers{kinds: make(map[string]replicatedKind)}
	kind := &countingKind{list: upstreamDelta(100)}
	p.kinds["servers"] = kind
	request := func() Delta {
		d, err := p.handleChangesRequest(context.Background(), "", ChangesRequest{Kind: "servers"})
		is.NoErr(err)
		return d
	}
	is.Equal(request().Revision, contract.Revision(100))
	request()
	is.Equal(kind.built, 1)
	kind.list.Revision++
	is.Equal(request().Revision, contract.Revision(101))
	is.Equal(kind.built, 2)
}

// countingKind counts how often a delta is built.
type countingKind struct {
	replicatedKind
	list  Delta
	built int
}

func (k *countingKind) status() (KindStatus, bool) {
	return KindStatus{Kind: k.list.Kind, Revision: k.list.Revision}, true
}

func (k *countingKind) changesSince(contract.Revision, bool) Delta {
	k.built++
	return k.list
}

// BenchmarkPack measures packing and unpacking a list of 3,000 upstreams.
func BenchmarkPack(b *testing.B) {
	list := upstreamDelta(3000)
	raw, err := link.Encode(list)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := list.pack(compressThreshold)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("pack", func(b *testing.B) {
		for range b.N {
			_, _ = list.pack(compressThreshold) // checked above
		}
		b.ReportMetric(float64(len(raw)), "bytes")
		b.ReportMetric(float64(packed.approxSize()), "packed-bytes")
	})
	b.Run("unpack", func(b *testing.B) {
		for range b.N {
			_, _ = packed.unpack() // checked above
		}
	})
}
