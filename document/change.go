package document

import (
	"encoding/json"
	"fmt"
	"time"

	"woaddoor/contract"
)

// Root is the content of the single root object in the platform's store.
// The root object points at the accepted configuration.
// A change is accepted at the moment when the conditional update of the root object succeeds.
type Root struct {
	Revision contract.Revision `json:"revision"`
	Change   contract.ChangeID `json:"change"`
	Hash     Hash              `json:"hash"`
}

// Change is the audit record of one configuration change.
// The audit record is written before the root object points at it, so every accepted change has a
// record. A record that cannot be reached from the root object was never accepted.
type Change struct {
	ID           contract.ChangeID `json:"id"`
	Previous     contract.ChangeID `json:"previous,omitempty"`
	FromRevision contract.Revision `json:"from_revision"`
	ToRevision   contract.Revision `json:"to_revision"`
	Author       string            `json:"who"`
	Reason       string            `json:"why"`
	At           time.Time         `json:"at"`
	Hash         Hash              `json:"hash"`
	Sections     []SectionChange   `json:"sections"`
}

// Content is the form in which a configuration document is stored.
// The object name of a Content contains the document's hash.
type Content struct {
	Sections map[string]Section `json:"sections"`
}

// Apply returns the document that results from applying the change to the document old.
// Apply fails with ErrHashMismatch if the change was made from a document other than old.
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
	result := New(c.ToRevision, c.ID, sections)
	if result.Hash() != c.Hash {
		return nil, ErrHashMismatch
	}
	return result, nil
}

// Names and name prefixes of the configuration objects in the platform's store.
const (
	RootName      = "woaddoor/root"
	changePrefix  = "woaddoor/change/"
	contentPrefix = "woaddoor/content/"
)

// ChangeName returns the object name of the audit record of a change.
func ChangeName(id contract.ChangeID) string { return changePrefix + string(id) }

// ContentName returns the object name of the content of a document.
func ContentName(h Hash) string { return contentPrefix + string(h) }

// MaxContentSize is the platform's maximum size of an object's value.
const MaxContentSize = contract.MiB

// EncodeContent returns the encoded Content of document d.
// EncodeContent fails if the encoded Content is larger than MaxContentSize.
func EncodeContent(d *Document) ([]byte, error) {
	value, err := json.Marshal(Content{Sections: d.sections})
	if err != nil {
		return nil, err
	}
	if contract.Bytes(len(value)) > MaxContentSize {
		return nil, fmt.Errorf("configuration is %d bytes, the platform accepts at most %d", len(value), MaxContentSize)
	}
	return value, nil
}

// DecodeContent returns the document with the revision and change ID of root and with the sections
// in the stored value. DecodeContent fails with ErrHashMismatch if the hash of the sections differs
// from the hash in root.
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
