package document

import (
	"encoding/json"
	"fmt"
	"time"

	"woaddoor/contract"
)

// Root is the one object that says which configuration is accepted. Its
// conditional update is the moment of acceptance.
type Root struct {
	Revision contract.Revision `json:"revision"`
	Change   contract.ChangeID `json:"change"`
	Hash     Hash              `json:"hash"`
}

// Change is the audit record of one change. It is written before the root
// points at it, so an accepted change always has its record; a record that the
// root does not lead to was never accepted.
type Change struct {
	ID           contract.ChangeID `json:"id"`
	Previous     contract.ChangeID `json:"previous,omitempty"`
	FromRevision contract.Revision `json:"from_revision"`
	ToRevision   contract.Revision `json:"to_revision"`
	Who          string            `json:"who"`
	Why          string            `json:"why"`
	At           time.Time         `json:"at"`
	Hash         Hash              `json:"hash"`
	Sections     []SectionChange   `json:"sections"`
}

// Content is the stored form of a document, named by its hash.
type Content struct {
	Sections map[string]Section `json:"sections"`
}

// Apply returns the document that the change leads to from old. It fails with
// ErrWrongHash when old is not the document that it was made from.
func (c Change) Apply(old *Document) (*Document, error) {
	sections := old.Sections()
	if sections == nil {
		sections = make(map[string]Section)
	}
	for _, section := range c.Sections {
		if section.Removed {
			delete(sections, section.Name)
			continue
		}
		sections[section.Name] = section.To
	}
	d := New(c.ToRevision, c.ID, sections)
	if d.Hash() != c.Hash {
		return nil, ErrHashMismatch
	}
	return d, nil
}

// Names of the objects in the platform's store.
const (
	RootName      = "woaddoor/root"
	changePrefix  = "woaddoor/change/"
	contentPrefix = "woaddoor/content/"
)

// ChangeName returns the object name of a change's record.
func ChangeName(id contract.ChangeID) string { return changePrefix + string(id) }

// ContentName returns the object name of a document's content.
func ContentName(h Hash) string { return contentPrefix + string(h) }

// MaxContent is the platform's cap for a value.
const MaxContentSize = contract.MiB

// EncodeContent returns the stored form of d. It fails when d is larger than
// the platform takes.
func EncodeContent(d *Document) ([]byte, error) {
	value, err := json.Marshal(Content{Sections: d.sections})
	if err != nil {
		return nil, err
	}
	if contract.Bytes(len(value)) > MaxContentSize {
		return nil, fmt.Errorf("configuration is %d bytes, the platform takes %d", len(value), MaxContentSize)
	}
	return value, nil
}

// DecodeContent returns the document that root and the stored value make, and
// fails with ErrWrongHash when the value is not what root points at.
func DecodeContent(root Root, value []byte) (*Document, error) {
	var c Content
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	d := New(root.Revision, root.Change, c.Sections)
	if d.Hash() != root.Hash {
		return nil, ErrHashMismatch
	}
	return d, nil
}
