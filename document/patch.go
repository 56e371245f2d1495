package document

import (
	"errors"

	"woaddoor/contract"
)

// Patch carries a document from one VM to another. It holds only the sections
// that changed since From, so that a change costs its own size and not that
// of the whole document; From zero carries the whole.
type Patch struct {
	From     contract.Revision  `cbor:"1,keyasint"`
	FromHash Hash               `cbor:"2,keyasint"`
	To       contract.Revision  `cbor:"3,keyasint"`
	ToHash   Hash               `cbor:"4,keyasint"`
	Change   contract.ChangeID  `cbor:"5,keyasint"`
	Set      map[string]Section `cbor:"6,keyasint"`
	Removed  []string           `cbor:"7,keyasint"`
}

// ErrWrongBase means that a patch does not start at the document held; the
// whole document has to be asked for.
var ErrBaseMismatch = errors.New("patch starts at another revision")

// ErrWrongHash means that the patched document is not the one that was sent.
var ErrHashMismatch = errors.New("patched document has another hash")

// NewPatch returns the patch that leads from old to d. A nil old, or one that
// is empty, gives a patch that carries all of d.
func NewPatch(old, updated *Document) Patch {
	if old == nil {
		old = &Document{}
	}
	p := Patch{
		From: old.Revision, FromHash: old.Hash(),
		To: updated.Revision, ToHash: updated.Hash(), Change: updated.Change,
		Set: make(map[string]Section),
	}
	for _, c := range Diff(old, updated) {
		if c.Removed {
			p.Removed = append(p.Removed, c.Name)
			continue
		}
		p.Set[c.Name] = c.To
	}
	return p
}

// Apply returns the document that p leads to. It fails with ErrWrongBase or
// ErrWrongHash and then changes nothing.
func (p Patch) Apply(old *Document) (*Document, error) {
	if p.From == 0 {
		old = &Document{} // it carries the whole
	}
	if p.From != old.Revision || p.FromHash != old.Hash() {
		return nil, ErrBaseMismatch
	}
	sections := old.Sections()
	if sections == nil {
		sections = make(map[string]Section)
	}
	for _, name := range p.Removed {
		delete(sections, name)
	}
	for name, s := range p.Set {
		sections[name] = s
	}
	d := New(p.To, p.Change, sections)
	if d.Hash() != p.ToHash {
		return nil, ErrHashMismatch
	}
	return d, nil
}
