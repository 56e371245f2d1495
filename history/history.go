// Package history reads and writes the accepted configuration in the
// platform's store. Each change is one conditional write of one root object,
// so it is accepted as a whole or not at all; each leaves its audit record.
package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/store"
)

// Snapshot is the accepted configuration at the time it was read.
type Snapshot struct {
	Root document.Root
	// Version is the root object's; zero means that there is none yet.
	Version  contract.ObjectVersion
	Document *document.Document
}

// Load reads the accepted configuration. Where there is none yet it returns
// the empty one.
func Load(ctx context.Context, st store.Store) (Snapshot, error) {
	rootObject, err := st.Read(ctx, document.RootName)
	if errors.Is(err, store.ErrNotFound) {
		return Snapshot{Document: document.New(0, "", nil)}, nil
	}
	if err != nil {
		return Snapshot{}, contract.Fail(contract.StepWatch, "platform", err)
	}
	return ReadSnapshot(ctx, st, rootObject)
}

// Follow reads what a root object points at.
func ReadSnapshot(ctx context.Context, st store.Store, rootObject store.Object) (Snapshot, error) {
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return Snapshot{}, contract.Fail(contract.StepWatch, "platform", err)
	}
	content, err := st.Read(ctx, document.ContentName(root.Hash))
	if err != nil {
		return Snapshot{}, contract.Fail(contract.StepWatch, "platform", err)
	}
	d, err := document.DecodeContent(root, content.Value)
	return Snapshot{Root: root, Version: rootObject.Version, Document: d}, contract.Fail(contract.StepWatch, "platform", err)
}

// Advance returns what a root object points at, for a process that holds a
// document already: when the root is one change further, the change's record,
// which is as small as the change, is read in place of the whole content.
func ReadSnapshotSince(ctx context.Context, st store.Store, held *document.Document, rootObject store.Object) (Snapshot, error) {
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return Snapshot{}, contract.Fail(contract.StepWatch, "platform", err)
	}
	if root.Revision != held.Revision+1 || held.Revision == 0 {
		return ReadSnapshot(ctx, st, rootObject)
	}
	change, err := ReadChange(ctx, st, root.Change)
	if err != nil {
		return Snapshot{}, err
	}
	d, err := change.Apply(held)
	if err != nil || d.Hash() != root.Hash {
		return ReadSnapshot(ctx, st, rootObject) // held is not what the change was made from
	}
	return Snapshot{Root: root, Version: rootObject.Version, Document: d}, nil
}

// Author is who makes a change, and why.
type Author struct {
	Who, Why string
	At       time.Time
}

// Conflict means that another change was accepted first. Nothing of this one
// is in force.
type Conflict struct {
	Winner document.Change
	// Clash are the sections that both changes touch.
	CommonSections []string
}

// Error names the winner, and where the two changes clash.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d was accepted first: %s by %s at %s; both change: %v",
		c.Winner.ToRevision, c.Winner.ID, c.Winner.Who, c.Winner.At.Format(time.RFC3339), c.CommonSections)
}

// Unsettled means that nobody knows yet whether a change was accepted: the
// platform could not be asked. Its id finds out later.
type Unsettled struct {
	Change contract.ChangeID
	Err    error
}

// Error names the change.
func (u *Unsettled) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v; ask again with its id", u.Change, u.Err)
}

// Unwrap returns the cause.
func (u *Unsettled) Unwrap() error { return u.Err }

// Publish makes the sections the successor of base.
//
// The order of writes is what makes it safe: content and audit record first,
// each under a name of its own, then the root. A stop in between leaves
// objects that nothing leads to. A lost reply to the root's write is settled
// by reading back, never by writing again.
func Publish(ctx context.Context, st store.Store, base Snapshot, sections map[string]document.Section, author Author) (document.Root, error) {
	change := contract.ChangeID(ulid.Make().String())
	next := document.New(base.Root.Revision+1, change, sections)
	if _, err := config.FromDocument(next); err != nil {
		return document.Root{}, err
	}
	content, err := document.EncodeContent(next)
	if err != nil {
		return document.Root{}, contract.Fail(contract.StepApply, "", err)
	}
	record := document.Change{
		ID: change, Previous: base.Root.Change, FromRevision: base.Root.Revision, ToRevision: next.Revision,
		Who: author.Who, Why: author.Why, At: author.At, Hash: next.Hash(), Sections: document.Diff(base.Document, next),
	}
	encodedRecord, err := json.Marshal(record)
	if err != nil {
		return document.Root{}, contract.Fail(contract.StepApply, "", err)
	}
	if err := createIfAbsent(ctx, st, document.ContentName(next.Hash()), content); err != nil {
		return document.Root{}, err
	}
	if err := createIfAbsent(ctx, st, document.ChangeName(change), encodedRecord); err != nil {
		return document.Root{}, err
	}
	root := document.Root{Revision: next.Revision, Change: change, Hash: next.Hash()}
	return root, updateRoot(ctx, st, base, root, record)
}

// create writes an object whose name fixes its content, so that one that
// exists already is the same one.
func createIfAbsent(ctx context.Context, st store.Store, name string, value []byte) error {
	_, err := st.Create(ctx, name, value)
	if err == nil || errors.Is(err, store.ErrExists) {
		return nil
	}
	return contract.Fail(contract.StepApply, "platform", err)
}

// point makes the root point at a change.
func updateRoot(ctx context.Context, st store.Store, base Snapshot, root document.Root, record document.Change) error {
	value, err := json.Marshal(root)
	if err != nil {
		return contract.Fail(contract.StepApply, "", err)
	}
	if base.Version == 0 {
		_, err = st.Create(ctx, document.RootName, value)
	} else {
		_, err = st.Update(ctx, document.RootName, value, base.Version)
	}
	if err == nil {
		return nil
	}
	return resolveOutcome(ctx, st, record, err)
}

// settle finds out what became of a write of the root that gave an error: the
// change is accepted when the chain of changes leads to it.
func resolveOutcome(ctx context.Context, st store.Store, record document.Change, cause error) error {
	accepted, err := AcceptedChange(ctx, st, record.ID, record.ToRevision)
	if err != nil {
		return &Unsettled{Change: record.ID, Err: errors.Join(cause, err)}
	}
	if accepted.ID == record.ID {
		return nil
	}
	if accepted.ID == "" && errors.Is(cause, store.ErrTooMany) {
		return contract.Fail(contract.StepApply, "platform", cause)
	}
	if accepted.ID == "" {
		// The root still stands where it stood, but the write may be on its way.
		return &Unsettled{Change: record.ID, Err: cause}
	}
	return &Conflict{Winner: accepted, CommonSections: commonSections(record, accepted)}
}

func commonSections(a, b document.Change) []string {
	changed := make(map[string]bool)
	for _, s := range a.Sections {
		changed[s.Name] = true
	}
	var common []string
	for _, s := range b.Sections {
		if changed[s.Name] {
			common = append(common, s.Name)
		}
	}
	return common
}

// Accepted returns the change that was accepted as a revision: the asked one,
// the one that won against it, or the zero Change while the revision is not
// reached. A stale read of the root shows an older one, never a wrong one.
func AcceptedChange(ctx context.Context, st store.Store, id contract.ChangeID, revision contract.Revision) (document.Change, error) {
	found := document.Change{}
	err := Walk(ctx, st, func(c document.Change) bool {
		if c.ToRevision == revision {
			found = c
		}
		return c.ToRevision > revision && c.ID != id
	})
	return found, err
}

// Walk calls visit with each accepted change, the newest first, until visit
// returns false or there are no more.
func Walk(ctx context.Context, st store.Store, visit func(document.Change) bool) error {
	rootObject, err := st.Read(ctx, document.RootName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return contract.Fail(contract.StepWatch, "platform", err)
	}
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return contract.Fail(contract.StepWatch, "platform", err)
	}
	for id := root.Change; id != ""; {
		c, err := ReadChange(ctx, st, id)
		if err != nil {
			return err
		}
		if !visit(c) {
			return nil
		}
		id = c.Previous
	}
	return nil
}

// ReadChange returns the audit record of a change.
func ReadChange(ctx context.Context, st store.Store, id contract.ChangeID) (document.Change, error) {
	var c document.Change
	object, err := st.Read(ctx, document.ChangeName(id))
	if err != nil {
		return c, contract.Fail(contract.StepWatch, "platform", err)
	}
	return c, contract.Fail(contract.StepWatch, "platform", json.Unmarshal(object.Value, &c))
}
