// Package datacentre tells what is in force in each data centre, and what one
// that does not answer may still serve.
package datacentre

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Status is what one data centre's VMs have in force, as the platform keeps it.
type Status struct {
	DataCentre contract.DataCentreID `json:"data_centre"`
	At         time.Time             `json:"at"`
	VMs        []VMStatus            `json:"vms"`
}

// VMStatus is one VM's part of a Status.
type VMStatus struct {
	VM          contract.VMID        `json:"vm"`
	Incarnation contract.Incarnation `json:"incarnation"`
	Revision    contract.Revision    `json:"revision"`
	Leaving     bool                 `json:"leaving,omitempty"`
}

// StatusPrefix begins the names of the status objects.
const StatusPrefix = "woaddoor/status/"

// StatusKey ranks the VMs of a data centre for writing the status.
const StatusKey = "status"

// StatusName returns the object name of a data centre's status.
func StatusName(dc contract.DataCentreID) string { return StatusPrefix + string(dc) }

// Force says where a revision is in force.
type Force struct {
	Revision contract.Revision `json:"revision"`
	InForce  []contract.VMID   `json:"in_force"`
	// Pending are VMs that have not said so.
	Pending []PendingVM `json:"pending"`
	// SureAt is when no VM can act on an older configuration any more, whether
	// it was heard of or not. Zero when there is no older one.
	SureAt time.Time `json:"sure_at"`
}

// PendingVM is a VM that has not said that a revision is in force.
type PendingVM struct {
	DataCentre contract.DataCentreID `json:"data_centre"`
	VM         contract.VMID         `json:"vm"`
	Revision   contract.Revision     `json:"revision"`
	// Until is when its permission to act on the older one ends at the latest.
	Until time.Time `json:"until"`
}

// Assess tells where a revision is in force. expected are the VMs known to
// exist; each that has not acknowledged the revision is pending until sureAt.
func Assess(revision contract.Revision, statuses []Status, expected map[contract.VMID]contract.DataCentreID, sureAt time.Time) Force {
	f := Force{Revision: revision, SureAt: sureAt}
	acked := make(map[contract.VMID]contract.Revision)
	where := make(map[contract.VMID]contract.DataCentreID)
	for _, st := range statuses {
		for _, v := range st.VMs {
			acked[v.VM] = v.Revision
			where[v.VM] = st.DataCentre
		}
	}
	for v, dc := range expected {
		if _, ok := where[v]; !ok {
			where[v] = dc
		}
	}
	for v, dc := range where {
		if acked[v] >= revision {
			f.InForce = append(f.InForce, v)
			continue
		}
		f.Pending = append(f.Pending, PendingVM{dc, v, acked[v], sureAt})
	}
	slices.Sort(f.InForce)
	slices.SortFunc(f.Pending, func(a, b PendingVM) int { return cmp.Compare(a.VM, b.VM) })
	return f
}

// Everywhere tells whether the revision is in force everywhere, at now: every
// VM said so, or none can act on an older one any more.
func (f Force) Everywhere(now time.Time) bool {
	if len(f.Pending) == 0 {
		return len(f.InForce) > 0
	}
	return !f.SureAt.IsZero() && now.After(f.SureAt)
}
