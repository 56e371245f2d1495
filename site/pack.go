package site

import (
	"bytes"
	"cmp"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"woaddoor/contract"
	"woaddoor/link"
)

// A list of 3,000 upstreams takes 0.82 MB, because the entries mostly repeat the same words.
// The compressed list takes 79 KB (4.2 ms to compress, 4.1 ms to decompress, BenchmarkPack).
// Without compression, 281 VMs that started together sent 800 MB to each other in their first 12 s,
// and 17 MB between data centres. Few of these transfers ended within their timeout,
// and every transfer that timed out started again.

// Size limits of compression.
const (
	// compressThreshold is the size from which a delta (a set of changes of objects) is compressed.
	// A smaller delta fits into two packets uncompressed.
	compressThreshold = 2 << 10
	// maxUnpackedBytes limits the size of a decompressed delta.
	// The limit is ten times the size of a list of 10,000 upstreams.
	maxUnpackedBytes = 64 << 20
)

// errUnpackedTooLarge means that a decompressed delta is larger than any valid list of objects.
var errUnpackedTooLarge = errors.New("delta is over 64 MiB")

// pack returns the delta in the form in which it is sent:
// compressed if the delta has at least threshold bytes.
func (d Delta) pack(threshold int) (Delta, error) {
	if d.approxSize() < threshold {
		return d, nil
	}
	raw, err := link.Encode(d.Items)
	if err != nil {
		return Delta{}, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return Delta{}, err
	}
	if _, err := w.Write(raw); err != nil {
		return Delta{}, err
	}
	if err := w.Close(); err != nil {
		return Delta{}, err
	}
	d.Items, d.Packed = nil, packed.Bytes()
	return d, nil
}

// unpack reverses pack.
func (d Delta) unpack() (Delta, error) {
	if len(d.Packed) == 0 {
		return d, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return Delta{}, err
	}
	if len(raw) > maxUnpackedBytes {
		return Delta{}, errUnpackedTooLarge
	}
	d.Packed = nil
	return d, link.Decode(raw, &d.Items)
}

// packedCache caches the newest full delta
// (all objects) of each kind of objects in the form in which the delta is sent. All leaves of a hub
// (the VMs for which the hub forwards messages) request the same full delta when they start.
type packedCache struct {
	// threshold is the size from which deltas are compressed. Zero means compressThreshold.
	threshold int
	// mu guards newest.
	mu     sync.Mutex
	newest map[string]Delta
}

// full returns the cached full delta of a kind of objects if that delta has the given revision.
func (p *packedCache) full(kind string, revision contract.Revision) (Delta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.newest[kind]
	return d, ok && d.Revision == revision
}

// pack returns a delta in the form in which VMs send the delta.
func (p *packedCache) pack(d Delta) (Delta, error) {
	return d.pack(cmp.Or(p.threshold, compressThreshold))
}

// store caches a packed full delta.
func (p *packedCache) store(d Delta) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == nil {
		p.newest = make(map[string]Delta)
	}
	p.newest[d.Kind] = d
}
