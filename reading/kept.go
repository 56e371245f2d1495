package reading

import (
	"container/list"

	"woaddoor/contract"
)

// Kept is what one engine is believed to keep of the prompts that it has read,
// by model. Its memory is shared by all models, and the least recently used
// parts give way. Its owner locks it.
type Kept struct {
	// capacity is the engine's memory, in tokens; zero means without bound.
	capacity int
	total    int
	parts    map[partOf]*list.Element
	// used holds what is kept, the least recently used first.
	used list.List
}

// partOf names a part as read by a model.
type partOf struct {
	model contract.ModelID
	key   uint64
}

// kept is one element of Kept.used. Its part is the zero value for tokens that
// nobody will ask for again.
type kept struct {
	part   partOf
	tokens int
}

// leastKept is the size of the smallest part that is told apart, in tokens: the
// saving of smaller ones is not worth the memory of a VM.
const leastKept = 48

// NewKept returns the belief on an engine that has read nothing yet.
func NewKept(capacity int) *Kept {
	return &Kept{capacity: capacity, parts: make(map[partOf]*list.Element)}
}

// Bound sets the engine's memory, in tokens; zero means without bound.
func (k *Kept) Bound(capacity int) { k.capacity = capacity }

// Of returns how many tokens of a prompt need not be read: those of the parts at
// its start that are kept without a gap.
func (k *Kept) Of(p Prompt) int {
	n := 0
	for _, part := range p.Parts {
		if _, ok := k.parts[partOf{p.Model, part.Key}]; !ok && part.Tokens >= leastKept {
			break
		}
		n += part.Tokens
	}
	return min(n, p.Tokens)
}

// Read notes that an engine reads a prompt. The last part belongs to its request
// alone, and takes room without being asked for again.
func (k *Kept) Read(p Prompt) {
	shared := 0
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && i > 0 {
			break
		}
		shared += part.Tokens
		if part.Tokens >= leastKept {
			k.touch(partOf{p.Model, part.Key}, part.Tokens)
		}
	}
	k.fill(max(p.Tokens-shared, 0))
	for k.capacity > 0 && k.total > k.capacity {
		k.evict()
	}
}

// touch makes a part the most recently used.
func (k *Kept) touch(id partOf, tokens int) {
	if e, ok := k.parts[id]; ok {
		k.used.MoveToBack(e)
		return
	}
	k.parts[id] = k.used.PushBack(&kept{id, tokens})
	k.total += tokens
}

// fill takes room for tokens that nobody will ask for again.
func (k *Kept) fill(tokens int) {
	k.total += tokens
	if last := k.used.Back(); last != nil {
		if e := last.Value.(*kept); e.part == (partOf{}) {
			e.tokens += tokens
			return
		}
	}
	k.used.PushBack(&kept{tokens: tokens})
}

func (k *Kept) evict() {
	e := k.used.Remove(k.used.Front()).(*kept)
	k.total -= e.tokens
	delete(k.parts, e.part)
}
