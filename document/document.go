// Package document holds one accepted configuration as a whole: named sections
// of text under one revision.
//
// A Document is immutable. The operator's file and what the system itself has
// decided (the progress of roll-outs) are sections of the same document, so
// one revision, one conditional write and one way of distribution serve both.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"woaddoor/contract"
)

// Section is the text of one section: lines "key = value", sorted by key.
type Section string

// Hash is the SHA-256 of a document's sections, in hex.
type Hash string

// shortHash is how much of a hash tells documents of one revision apart.
const shortHashLength = 16

// Short returns the beginning of the hash, for telling what is held.
func (h Hash) Short() Hash { return h[:min(len(h), shortHashLength)] }

// Document is one configuration. The zero value is the empty one, revision 0.
type Document struct {
	Revision contract.Revision
	Change   contract.ChangeID
	sections map[string]Section
	hash     Hash
}

// New returns the document with these sections. It keeps a copy of the map.
func New(revision contract.Revision, change contract.ChangeID, sections map[string]Section) *Document {
	d := &Document{Revision: revision, Change: change, sections: maps.Clone(sections)}
	d.hash = computeHash(d)
	return d
}

// Names returns the names of the sections, sorted.
func (d *Document) Names() []string {
	return slices.Sorted(maps.Keys(d.sections))
}

// Section returns the text of a section, and whether there is one.
func (d *Document) Section(name string) (Section, bool) {
	s, ok := d.sections[name]
	return s, ok
}

// Sections returns a copy of all sections.
func (d *Document) Sections() map[string]Section { return maps.Clone(d.sections) }

// Hash returns the hash over all sections; the revision is not part of it.
func (d *Document) Hash() Hash {
	if d.hash == "" {
		return computeHash(d)
	}
	return d.hash
}

// Text returns the document as an INI text, sections in the order of names.
func (d *Document) Text() string {
	var b strings.Builder
	for i, name := range d.Names() {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n%s", name, d.sections[name])
	}
	return b.String()
}

func computeHash(d *Document) Hash {
	sum := sha256.Sum256([]byte(d.Text()))
	return Hash(hex.EncodeToString(sum[:]))
}

// SectionChange is what became of one section between two documents.
type SectionChange struct {
	Name string  `cbor:"1,keyasint" json:"name"`
	From Section `cbor:"2,keyasint" json:"from,omitempty"`
	To   Section `cbor:"3,keyasint" json:"to,omitempty"`
	// Removed tells a removed section from one without keys.
	Removed bool `cbor:"4,keyasint" json:"removed,omitempty"`
}

// Diff returns the sections that differ from old to d, sorted by name.
func Diff(old, updated *Document) []SectionChange {
	var changes []SectionChange
	for _, name := range old.Names() {
		to, exists := updated.sections[name]
		if !exists || to != old.sections[name] {
			changes = append(changes, SectionChange{Name: name, From: old.sections[name], To: to, Removed: !exists})
		}
	}
	for _, name := range updated.Names() {
		if _, existed := old.sections[name]; !existed {
			changes = append(changes, SectionChange{Name: name, To: updated.sections[name]})
		}
	}
	slices.SortFunc(changes, func(a, b SectionChange) int { return strings.Compare(a.Name, b.Name) })
	return changes
}
