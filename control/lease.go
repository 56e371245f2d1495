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

// ordersLease is the object that says who may give orders to engines.
const ordersLease = "woaddoor/lease/orders"

// leaseObject is the object of a lease in the platform's store.
type leaseObject struct {
	store store.Store
	name  string
}

// Read returns the object.
func (l leaseObject) Read(ctx context.Context) (lease.Seen, error) {
	o, err := l.store.Read(ctx, l.name)
	if errors.Is(err, store.ErrNotFound) {
		return lease.Seen{}, leader.ErrGone
	}
	if err != nil {
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	seen := lease.Seen{Version: o.Version}
	if err := json.Unmarshal(o.Value, &seen.Object); err != nil {
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	return seen, nil
}

// Write carries out a proposal.
func (l leaseObject) Write(ctx context.Context, p lease.Proposal) (lease.Seen, error) {
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
		return lease.Seen{}, leader.ErrTaken // the next read shows it
	case errors.Is(err, store.ErrNotFound):
		return lease.Seen{}, leader.ErrGone
	case err != nil:
		return lease.Seen{}, contract.Fail(contract.StepOrder, "platform", err)
	}
	return seen, nil
}
