package document

import (
	"errors"

	"woaddoor/contract"
)

// Patch transfers a configuration document from one VM to another.
// A patch holds only the sections that changed since the revision From, so that the size of the
// patch depends on the change and not on the whole document.
// If From is zero, the patch holds all sections.
type Patch struct {
	From     contract.Revision  `cbor:"1,keyasint"`
	FromHash Hash               `cbor:"2,keyasint"`
	To       contract.Revision  `cbor:"3,keyasint"`
	ToHash   Hash               `cbor:"4,keyasint"`
	Change   contract.ChangeID  `cbor:"5,keyasint"`
	Set      map[string]Section `cbor:"6,keyasint"`
	Removed  []string           `cbor:"7,keyasint"`
}

// ErrBaseMismatch means that a patch was applied to another document than the one it was made from.
// The whole document has to be requested instead.
var ErrBaseMismatch = errors.New("patch was made from a different document")

// ErrHashMismatch means that the sections of a received or stored document do not
// have the expected hash.
var ErrHashMismatch = errors.New("document does not have the expected hash")

// NewPatch returns the patch that turns the document old into the document updated.
// If old is nil or empty, the patch holds all sections of updated.
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

// Apply returns the document that results from applying patch p to the document old.
// Apply fails with ErrBaseMismatch or ErrHashMismatch. Apply never modifies old.
func (p Patch) Apply(old *Document) (*Document, error) {
	if p.From == 0 {
		old = &Document{} // the patch holds the whole document
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
	result := New(p.To, p.Change, sections)
	if result.Hash() != p.ToHash {
		return nil, ErrHashMismatch
	}
	return result, nil
}
