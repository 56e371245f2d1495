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

// ordersLeaseName names the object of the lease whose holder may send orders to
// engines.
const ordersLeaseName = "woaddoor/lease/orders"

// leaseStore reads and writes the object of one lease in the platform's store. It
// implements leader.LeaseStore.
type leaseStore struct {
	store store.Store
	name  string
}

// Read returns the lease object, or leader.ErrGone if it does not exist.
func (l leaseStore) Read(ctx context.Context) (lease.Seen, error) {
	object, err := l.store.Read(ctx, l.name)
	if errors.Is(err, store.ErrNotFound) {
		return lease.Seen{}, leader.ErrGone
	}
	if err != nil {
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	seen := lease.Seen{Version: object.Version}
	if err := json.Unmarshal(object.Value, &seen.Object); err != nil {
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	return seen, nil
}

// Write stores the proposed lease object if the stored one still has the version
// that the proposal is based on. Version 0 creates the object.
func (l leaseStore) Write(ctx context.Context, p lease.Proposal) (lease.Seen, error) {
	value, err := json.Marshal(p.Object)
	if err != nil {
		return lease.Seen{}, contract.Fail(contract.StepOrder, "", err)
	}
	seen := lease.Seen{Object: p.Object}
	if p.Version == 0 {
		seen.Version, err = l.store.Create(ctx, l.name, value)
	} else {
		seen.Version, err = l.store.Update(ctx, l.name, value, p.Version)
	}
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists):
		return lease.Seen{}, leader.ErrTaken // the next read returns the object that another process wrote
	case errors.Is(err, store.ErrNotFound):
		return lease.Seen{}, leader.ErrGone
	case err != nil:
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	return seen, nil
}
