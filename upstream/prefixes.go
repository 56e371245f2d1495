package upstream

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"woaddoor/contract"
)

// prefixes remembers where a prompt's prefix was sent last, in bounded memory.
// It is a guess: engines drop prefixes, and their cache events come late.
type prefixes struct {
	holders *lru.Cache[uint64, contract.UpstreamID]
}

func newPrefixes(max int) *prefixes {
	holders, err := lru.New[uint64, contract.UpstreamID](max)
	if err != nil {
		panic(err) // only for a size below 1, which Options rule out
	}
	return &prefixes{holders: holders}
}

func (p *prefixes) note(prefix uint64, id contract.UpstreamID) {
	if prefix != 0 {
		p.holders.Add(prefix, id)
	}
}

// holder returns where a prefix was sent last, or "".
func (p *prefixes) holder(prefix uint64) contract.UpstreamID {
	if prefix == 0 {
		return ""
	}
	id, _ := p.holders.Get(prefix)
	return id
}

// drop forgets what a former life of an upstream had cached.
func (p *prefixes) drop(id contract.UpstreamID) {
	for _, prefix := range p.holders.Keys() {
		if held, _ := p.holders.Peek(prefix); held == id {
			p.holders.Remove(prefix)
		}
	}
}

// Cached takes in an engine's cache event.
func (t *Table) Cached(id contract.UpstreamID, prefix uint64, held bool) {
	if held {
		t.prefixes.note(prefix, id)
		return
	}
	if t.prefixes.holder(prefix) == id {
		t.prefixes.holders.Remove(prefix)
	}
}
