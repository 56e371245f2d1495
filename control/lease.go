package control

import (
	"context"
	"encoding/json"
	"errors"

	"woaddoor/contract"
	"woaddoor/leader"
	"woaddoor/lease"
	"woaddoor/store"
)

// ordersLeaseName is the name of the lease object in the platform's store.
// The holder of this lease may send orders to engines.
const ordersLeaseName = "woaddoor/lease/orders"

// leaseStore reads and writes the object of one lease in the platform's store.
// leaseStore implements leader.LeaseStore.
type leaseStore struct {
	store store.Store
	name  string
}

// Read returns the lease object, or leader.ErrNotFound if it does not exist.
func (l leaseStore) Read(ctx context.Context) (lease.VersionedObject, error) {
	object, err := l.store.Read(ctx, l.name)
	if errors.Is(err, store.ErrNotFound) {
		return lease.VersionedObject{}, leader.ErrNotFound
	}
	if err != nil {
		return lease.VersionedObject{}, contract.WrapStep(contract.StepOrder, "platform", err)
	}
	seen := lease.VersionedObject{Version: object.Version}
	if err := json.Unmarshal(object.Value, &seen.Object); err != nil {
		return lease.VersionedObject{}, contract.WrapStep(contract.StepOrder, "platform", err)
	}
	return seen, nil
}

// Write stores the proposed lease object if the stored object still has the version on which the
// proposal is based. Version 0 creates the object.
func (l leaseStore) Write(ctx context.Context, p lease.Proposal) (lease.VersionedObject, error) {
	value, err := json.Marshal(p.Object)
	if err != nil {
		return lease.VersionedObject{}, contract.WrapStep(contract.StepOrder, "", err)
	}
	seen := lease.VersionedObject{Object: p.Object}
	if p.Version == 0 {
		seen.Version, err = l.store.Create(ctx, l.name, value)
	} else {
		seen.Version, err = l.store.Update(ctx, l.name, value, p.Version)
	}
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists):
		return lease.VersionedObject{}, leader.ErrConflict // the caller reads the object that another process wrote
	case errors.Is(err, store.ErrNotFound):
		return lease.VersionedObject{}, leader.ErrNotFound
	case err != nil:
		return lease.VersionedObject{}, contract.WrapStep(contract.StepOrder, "platform", err)
	}
	return seen, nil
}
