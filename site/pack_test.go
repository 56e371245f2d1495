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

// upstreamsOf returns a full delta of n entries of upstreams, alike but for what tells
// them apart.
func upstreamsOf(n int) Delta {
	r := rand.New(rand.NewPCG(1, 1))
	d := Delta{Kind: "servers", Full: true, At: contract.Revision(n)}
	for i := range n {
		spec := fmt.Sprintf(`{"Service":"s","Address":"10.%d.%d.%d:8%03d","Zone":"d%d","Version":"v1","Slots":12,"State":"ready","ColdRemainingMs":0,"Phase":"combined","ModelList":[{"Name":"small","Version":1,"Adapters":[]},{"Name":"large","Version":1,"Adapters":[]}],"Sequence":%d}`,
			r.IntN(3), r.IntN(255), r.IntN(255), r.IntN(1000), r.IntN(3), r.IntN(40))
		d.Items = append(d.Items, Raw{Name: fmt.Sprintf("i-%010x", r.Uint64()>>24), Revision: contract.Revision(i + 1), Spec: []byte(spec)})
	}
	return d
}

// TestPacked checks that a delta comes out as it went in, whatever its size, and that a
// long list takes a tenth of its size.
func TestPacked(t *testing.T) {
	is := is.New(t)
	list := upstreamsOf(3000)
	packed, err := list.pack(packFrom)
	is.NoErr(err)
	is.True(packed.size() < list.size()/10)
	got, err := packed.unpack()
	is.NoErr(err)
	is.Equal(got, list)
	rapid.Check(t, func(t *rapid.T) {
		var d Delta
		for range rapid.IntRange(0, 60).Draw(t, "items") {
			d.Items = append(d.Items, Raw{Name: rapid.String().Draw(t, "name"), Deleted: rapid.Bool().Draw(t, "deleted"), Spec: rapid.SliceOf(rapid.Byte()).Draw(t, "spec")})
		}
		packed, err := d.pack(packFrom)
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

// TestPackedByAnother checks that bytes of a broken VM are an error, not an end of this
// one.
func TestPackedByAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Delta{Packed: rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "bytes")}
		if got, err := d.unpack(); err == nil && len(got.Packed) > 0 {
			t.Fatal("neither unpacked nor refused")
		}
	})
}

// TestPackedOnce checks that a hub packs a list once for all who ask for it, and again
// when it has changed.
func TestPackedOnce(t *testing.T) {
	is := is.New(t)
	p := &Peers{kinds: make(map[string]shared)}
	counted := &countedKind{list: upstreamsOf(100)}
	p.kinds["servers"] = counted
	ask := func() Delta {
		d, err := p.answerChanges(context.Background(), "", Wanted{Kind: "servers"})
		is.NoErr(err)
		return d
	}
	is.Equal(ask().At, contract.Revision(100))
	ask()
	is.Equal(counted.built, 1)
	counted.list.At++
	is.Equal(ask().At, contract.Revision(101))
	is.Equal(counted.built, 2)
}

// countedKind counts how often a delta is built.
type countedKind struct {
	shared
	list  Delta
	built int
}

func (c *countedKind) status() (Have, bool) { return Have{Kind: c.list.Kind, At: c.list.At}, true }

func (c *countedKind) since(contract.Revision, bool) Delta {
	c.built++
	return c.list
}

// BenchmarkPack measures what the list of 3,000 upstreams costs.
func BenchmarkPack(b *testing.B) {
	list := upstreamsOf(3000)
	raw, err := link.Encode(list)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := list.pack(packFrom)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("pack", func(b *testing.B) {
		for range b.N {
			_, _ = list.pack(packFrom) // seen to work above
		}
		b.ReportMetric(float64(len(raw)), "bytes")
		b.ReportMetric(float64(packed.size()), "packed-bytes")
	})
	b.Run("unpack", func(b *testing.B) {
		for range b.N {
			_, _ = packed.unpack() // seen to work above
		}
	})
}
