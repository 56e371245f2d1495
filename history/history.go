// Package history reads and writes the accepted configuration in the platform's store.
// A change is accepted by a single conditional write of the root object,
// so the change is accepted as a whole or not at all. Every accepted change has an audit record.
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

// Snapshot is the accepted configuration at the time when the configuration was read.
type Snapshot struct {
	Root document.Root
	// Version is the object version of the root object. Zero means that the root
	// object does not exist yet.
	Version  contract.ObjectVersion
	Document *document.Document
}

// Load reads the accepted configuration. If no configuration has been accepted yet,
// Load returns an empty document.
func Load(ctx context.Context, st store.Store) (Snapshot, error) {
	rootObject, err := st.Read(ctx, document.RootName)
	if errors.Is(err, store.ErrNotFound) {
		return Snapshot{Document: document.New(0, "", nil)}, nil
	}
	if err != nil {
		return Snapshot{}, contract.WrapStep(contract.StepWatch, "platform", err)
	}
	return ReadSnapshot(ctx, st, rootObject)
}

// ReadSnapshot reads the configuration that a root object points at.
func ReadSnapshot(ctx context.Context, st store.Store, rootObject store.Object) (Snapshot, error) {
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return Snapshot{}, contract.WrapStep(contract.StepWatch, "platform", err)
	}
	content, err := st.Read(ctx, document.ContentName(root.Hash))
	if err != nil {
		return Snapshot{}, contract.WrapStep(contract.StepWatch, "platform", err)
	}
	d, err := document.DecodeContent(root, content.Value)
	return Snapshot{Root: root, Version: rootObject.Version, Document: d}, contract.WrapStep(contract.StepWatch, "platform", err)
}

// ReadSnapshotSince returns the configuration that a root object points at,
// for a process that already holds a document. If the root object is exactly one change ahead of
// the document held, ReadSnapshotSince reads only the audit record of that change,
// which is as small as the change itself. Otherwise ReadSnapshotSince reads the whole content.
func ReadSnapshotSince(ctx context.Context, st store.Store, held *document.Document, rootObject store.Object) (Snapshot, error) {
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return Snapshot{}, contract.WrapStep(contract.StepWatch, "platform", err)
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
		return ReadSnapshot(ctx, st, rootObject) // the change was made from a document other than the one held
	}
	return Snapshot{Root: root, Version: rootObject.Version, Document: d}, nil
}

// ChangeInfo is the author, the reason and the time of a change.
type ChangeInfo struct {
	Author, Reason string
	At             time.Time
}

// ConflictError means that a competing change was accepted as the revision that the rejected change
// was meant to become. No part of the rejected change is in force.
type ConflictError struct {
	Winner document.Change
	// CommonSections are the names of the sections that both changes modify.
	CommonSections []string
}

// Error names the change that was accepted, and the sections that both the accepted change and the
// rejected change modify.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was accepted first: %s by %s at %s; both changes modify the sections %v",
		c.Winner.ToRevision, c.Winner.ID, c.Winner.Author, c.Winner.At.Format(time.RFC3339), c.CommonSections)
}

// UnknownOutcomeError means that it is unknown whether a change was accepted, because the
// platform could not be read or the write may still be in progress. The ID of the
// change can be used to look up the outcome later.
type UnknownOutcomeError struct {
	Change contract.ChangeID
	Err    error
}

// Error names the change whose outcome is unknown.
func (u *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v; ask again with its id", u.Change, u.Err)
}

// Unwrap returns the error that left the outcome unknown.
func (u *UnknownOutcomeError) Unwrap() error { return u.Err }

// Publish makes a configuration with the given sections the successor of base.
//
// Publish writes the content and the audit record first, each under a unique name,
// and the root object last. If Publish is interrupted, it leaves objects that cannot be reached
// from the root object. If the reply to the write of the root object is lost,
// Publish reads the root object to find out the outcome, and never writes it again.
func Publish(ctx context.Context, st store.Store, base Snapshot, sections map[string]document.Section, info ChangeInfo) (document.Root, error) {
	change := contract.ChangeID(ulid.Make().String())
	nextDocument := document.New(base.Root.Revision+1, change, sections)
	if _, err := config.FromDocument(nextDocument); err != nil {
		return document.Root{}, err
	}
	content, err := document.EncodeContent(nextDocument)
	if err != nil {
		return document.Root{}, contract.WrapStep(contract.StepApply, "", err)
	}
	record := document.Change{
		ID: change, Previous: base.Root.Change, FromRevision: base.Root.Revision, ToRevision: nextDocument.Revision,
		Author: info.Author, Reason: info.Reason, At: info.At, Hash: nextDocument.Hash(), Sections: document.Diff(base.Document, nextDocument),
	}
	encodedRecord, err := json.Marshal(record)
	if err != nil {
		return document.Root{}, contract.WrapStep(contract.StepApply, "", err)
	}
	if err := createIfAbsent(ctx, st, document.ContentName(nextDocument.Hash()), content); err != nil {
		return document.Root{}, err
	}
	if err := createIfAbsent(ctx, st, document.ChangeName(change), encodedRecord); err != nil {
		return document.Root{}, err
	}
	root := document.Root{Revision: nextDocument.Revision, Change: change, Hash: nextDocument.Hash()}
	return root, updateRoot(ctx, st, base, root, record)
}

// createIfAbsent writes an object whose name determines its content.
// createIfAbsent succeeds if the object already exists, because the existing object is identical.
func createIfAbsent(ctx context.Context, st store.Store, name string, value []byte) error {
	_, err := st.Create(ctx, name, value)
	if err == nil || errors.Is(err, store.ErrExists) {
		return nil
	}
	return contract.WrapStep(contract.StepApply, "platform", err)
}

// updateRoot makes the root object point at a change.
// If the write of the root object fails, updateRoot finds out whether the change was accepted.
func updateRoot(ctx context.Context, st store.Store, base Snapshot, root document.Root, record document.Change) error {
	value, err := json.Marshal(root)
	if err != nil {
		return contract.WrapStep(contract.StepApply, "", err)
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

// resolveOutcome finds out whether a write of the root object that returned an error
// took effect. The change is accepted if it is in the chain of accepted changes.
func resolveOutcome(ctx context.Context, st store.Store, record document.Change, cause error) error {
	accepted, err := AcceptedChange(ctx, st, record.ID, record.ToRevision)
	if err != nil {
		return &UnknownOutcomeError{Change: record.ID, Err: errors.Join(cause, err)}
	}
	if accepted.ID == record.ID {
		return nil
	}
	if accepted.ID == "" && errors.Is(cause, store.ErrRateLimited) {
		return contract.WrapStep(contract.StepApply, "platform", cause)
	}
	if accepted.ID == "" {
		// The root object has not changed, but the write may still take effect.
		return &UnknownOutcomeError{Change: record.ID, Err: cause}
	}
	return &ConflictError{Winner: accepted, CommonSections: commonSections(record, accepted)}
}

// commonSections returns the names of the sections that both changes modify.
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

// AcceptedChange returns the change that was accepted as the given revision:
// the change with the given ID, a competing change, or the zero Change if that revision has not
// been reached. A stale read of the root object gives an older revision, never a wrong change.
func AcceptedChange(ctx context.Context, st store.Store, id contract.ChangeID, revision contract.Revision) (document.Change, error) {
	accepted := document.Change{}
	err := WalkChanges(ctx, st, func(c document.Change) bool {
		if c.ToRevision == revision {
			accepted = c
		}
		return c.ToRevision > revision && c.ID != id
	})
	return accepted, err
}

// WalkChanges calls visit for each accepted change, from the newest to the oldest, until visit
// returns false.
func WalkChanges(ctx context.Context, st store.Store, visit func(document.Change) bool) error {
	rootObject, err := st.Read(ctx, document.RootName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return contract.WrapStep(contract.StepWatch, "platform", err)
	}
	var root document.Root
	if err := json.Unmarshal(rootObject.Value, &root); err != nil {
		return contract.WrapStep(contract.StepWatch, "platform", err)
	}
	for id := root.Change; id != ""; {
		change, err := ReadChange(ctx, st, id)
		if err != nil {
			return err
		}
		if !visit(change) {
			return nil
		}
		id = change.Previous
	}
	return nil
}

// ReadChange returns the audit record of a change.
func ReadChange(ctx context.Context, st store.Store, id contract.ChangeID) (document.Change, error) {
	var change document.Change
	object, err := st.Read(ctx, document.ChangeName(id))
	if err != nil {
		return change, contract.WrapStep(contract.StepWatch, "platform", err)
	}
	return change, contract.WrapStep(contract.StepWatch, "platform", json.Unmarshal(object.Value, &change))
}
