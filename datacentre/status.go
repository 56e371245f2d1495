// Package datacentre reports which configuration is in force in each data centre,
// and what a data centre that does not respond may still serve.
package datacentre

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Status records which configurations the VMs of a data centre have in force.
// A Status is stored on the platform.
type Status struct {
	DataCentre contract.DataCentreID `json:"data_centre"`
	At         time.Time             `json:"at"`
	VMs        []VMStatus            `json:"vms"`
}

// VMStatus is the status of one VM.
type VMStatus struct {
	VM          contract.VMID        `json:"vm"`
	Incarnation contract.Incarnation `json:"incarnation"`
	Revision    contract.Revision    `json:"revision"`
	Leaving     bool                 `json:"leaving,omitempty"`
}

// StatusPrefix is the prefix of the names of status objects.
const StatusPrefix = "woaddoor/status/"

// StatusRankKey is the hash key that ranks the VMs of a data centre to choose
// which VM writes the status of the data centre.
const StatusRankKey = "status"

// StatusName returns the name of the status object of a data centre.
func StatusName(dc contract.DataCentreID) string { return StatusPrefix + string(dc) }

// RevisionStatus reports on which VMs a configuration revision is in force.
type RevisionStatus struct {
	Revision contract.Revision `json:"revision"`
	InForce  []contract.VMID   `json:"in_force"`
	// Pending lists the VMs that have not acknowledged the configuration revision.
	Pending []PendingVM `json:"pending"`
	// EnforcedAt is the time from which no VM, known or unknown, can act on an older configuration.
	// EnforcedAt is zero if there is no older configuration.
	EnforcedAt time.Time `json:"sure_at"`
}

// PendingVM is a VM that has not acknowledged a configuration revision.
type PendingVM struct {
	DataCentre contract.DataCentreID `json:"data_centre"`
	VM         contract.VMID         `json:"vm"`
	Revision   contract.Revision     `json:"revision"`
	// Until is the latest time at which the VM's permission to act on the older revision ends.
	Until time.Time `json:"until"`
}

// AssessRevision reports on which VMs a configuration revision is in force.
// expected holds the VMs known to exist.
// Each VM that has not acknowledged the revision is pending until enforcedAt.
func AssessRevision(revision contract.Revision, statuses []Status, expected map[contract.VMID]contract.DataCentreID, enforcedAt time.Time) RevisionStatus {
	r := RevisionStatus{Revision: revision, EnforcedAt: enforcedAt}
	acknowledged := make(map[contract.VMID]contract.Revision)
	dataCentreOf := make(map[contract.VMID]contract.DataCentreID)
	for _, status := range statuses {
		for _, v := range status.VMs {
			acknowledged[v.VM] = v.Revision
			dataCentreOf[v.VM] = status.DataCentre
		}
	}
	for v, dc := range expected {
		if _, ok := dataCentreOf[v]; !ok {
			dataCentreOf[v] = dc
		}
	}
	for v, dc := range dataCentreOf {
		if acknowledged[v] >= revision {
			r.InForce = append(r.InForce, v)
			continue
		}
		r.Pending = append(r.Pending, PendingVM{dc, v, acknowledged[v], enforcedAt})
	}
	slices.Sort(r.InForce)
	slices.SortFunc(r.Pending, func(a, b PendingVM) int { return cmp.Compare(a.VM, b.VM) })
	return r
}

// InForceEverywhere reports whether the revision is in force everywhere at now:
// every VM has acknowledged it, or no VM can act on an older configuration any more.
func (r RevisionStatus) InForceEverywhere(now time.Time) bool {
	if len(r.Pending) == 0 {
		return len(r.InForce) > 0
	}
	return !r.EnforcedAt.IsZero() && now.After(r.EnforcedAt)
}
