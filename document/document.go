// Package document defines the configuration document: named sections of text with a
// single revision.
//
// A Document is immutable. The settings from the operator's file, and the decisions of the system
// itself (the progress of rollouts), are sections of the same document.
// Settings and decisions are therefore written by the same conditional write and distributed
// together.
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

// Section is the text of one section: lines of the form "key = value", sorted by key.
type Section string

// Hash is the hex-encoded SHA-256 hash of the sections of a document.
type Hash string

// shortHashLength is the number of hex digits of a short hash.
// So many digits are enough to distinguish documents with the same revision.
const shortHashLength = 16

// Short returns the first hex digits of the hash.
// A process sends the short hash in a pull request to identify
// the document that the process holds.
func (h Hash) Short() Hash { return h[:min(len(h), shortHashLength)] }

// Document is one revision of the configuration. The zero value is the empty
// document with revision 0.
type Document struct {
	Revision contract.Revision
	Change   contract.ChangeID
	sections map[string]Section
	hash     Hash
}

// New returns a document with the given sections. New copies the map of sections.
func New(revision contract.Revision, change contract.ChangeID, sections map[string]Section) *Document {
	d := &Document{Revision: revision, Change: change, sections: maps.Clone(sections)}
	d.hash = computeHash(d)
	return d
}

// SectionNames returns the sorted names of the sections.
func (d *Document) SectionNames() []string {
	return slices.Sorted(maps.Keys(d.sections))
}

// Section returns the text of a section, and whether the section exists.
func (d *Document) Section(name string) (Section, bool) {
	s, ok := d.sections[name]
	return s, ok
}

// Sections returns a copy of the map of all sections.
func (d *Document) Sections() map[string]Section { return maps.Clone(d.sections) }

// Hash returns the hash of all sections. The hash does not cover the revision.
func (d *Document) Hash() Hash {
	if d.hash == "" {
		return computeHash(d)
	}
	return d.hash
}

// Text returns the document in INI format, with the sections sorted by name.
func (d *Document) Text() string {
	var b strings.Builder
	for i, name := range d.SectionNames() {
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

// SectionChange is the difference in one section between two documents.
type SectionChange struct {
	Name string  `cbor:"1,keyasint" json:"name"`
	From Section `cbor:"2,keyasint" json:"from,omitempty"`
	To   Section `cbor:"3,keyasint" json:"to,omitempty"`
	// Removed distinguishes a section that was removed from a section that has no keys.
	Removed bool `cbor:"4,keyasint" json:"removed,omitempty"`
}

// Diff returns the sections that differ between old and updated, sorted by name.
func Diff(old, updated *Document) []SectionChange {
	var changes []SectionChange
	for _, name := range old.SectionNames() {
		to, exists := updated.sections[name]
		if !exists || to != old.sections[name] {
			changes = append(changes, SectionChange{Name: name, From: old.sections[name], To: to, Removed: !exists})
		}
	}
	for _, name := range updated.SectionNames() {
		if _, existed := old.sections[name]; !existed {
			changes = append(changes, SectionChange{Name: name, To: updated.sections[name]})
		}
	}
	slices.SortFunc(changes, func(a, b SectionChange) int { return strings.Compare(a.Name, b.Name) })
	return changes
}
