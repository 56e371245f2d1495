package fairshare

import (
	"maps"
	"math"
	"slices"

	"woaddoor/contract"
)

// ServiceDemand is the demand for one service at one or several VMs.
type ServiceDemand struct {
	// Pressure is the highest pressure at any of the VMs.
	Pressure Pressure
	// Capacity is the work per second that the upstreams can take of the VMs. Each VM estimates it
	// for its own part, and the sum is less uncertain than any of the estimates.
	Capacity float64
	Classes  Demand
}

// Pressure is how far the upstreams of a service are in use, as seen by a VM.
type Pressure uint8

const (
	// Relaxed means that the demand does not matter, because most slots are free.
	Relaxed Pressure = iota
	// Busy means that VMs exchange their demand.
	Busy
	// Short means that the upstreams are short of capacity.
	Short
)

// Demands is the demand for each service.
type Demands map[contract.ServiceID]ServiceDemand

// Add adds the demand of other to d.
func (d Demands) Add(other Demands) {
	for id, service := range other {
		sum, ok := d[id]
		if !ok {
			sum.Classes = make(Demand, len(service.Classes))
		}
		sum.Pressure = max(sum.Pressure, service.Pressure)
		sum.Capacity += service.Capacity
		sum.Classes.Add(service.Classes)
		d[id] = sum
	}
}

// PackedService is the demand for a service in the form that VMs send each other.
type PackedService struct {
	_          struct{} `cbor:",toarray"`
	Service    contract.ServiceID
	Pressure   Pressure
	Capacity   uint64 // in units of packedUnit
	Workspaces []PackedWorkspace
}

// PackedWorkspace is the demand of a workspace in the form that VMs send each other.
type PackedWorkspace struct {
	_         struct{} `cbor:",toarray"`
	Workspace contract.WorkspaceID
	// Work holds three numbers for each priority: the priority, and the offered and the admitted
	// work per second in units of packedUnit.
	Work []uint64
}

// Parameters of the packed form.
const (
	// packedUnit is the precision of reported work: a millisecond of prefill per second.
	packedUnit = 0.001
	// A workspace is reported by name only if it has at least minNamedShare of the work of the
	// service, or at least half of an equal share.
	minNamedShare = 0.01
	// maxPackedWork limits the work that a report can contain, per second.
	maxPackedWork = 1e9
)

// Pack returns the demands in the form that VMs send each other.
func (d Demands) Pack() []PackedService {
	var packed []PackedService
	for _, id := range slices.Sorted(maps.Keys(d)) {
		packed = append(packed, PackedService{Service: id, Pressure: d[id].Pressure, Capacity: packWork(d[id].Capacity), Workspaces: d[id].Classes.mergeSmall().pack()})
	}
	return packed
}

// mergeSmall returns the demand with small workspaces merged into one entry for each priority.
func (d Demand) mergeSmall() Demand {
	offered := make(map[contract.WorkspaceID]float64)
	total := 0.0
	for class, work := range d {
		offered[class.Workspace] += work.Offered
		total += work.Offered
	}
	smallest := total * min(minNamedShare, 0.5/float64(max(len(offered), 1)))
	merged := make(Demand, len(d))
	for class, work := range d {
		if offered[class.Workspace] < smallest {
			class.Workspace = Merged
		}
		merged.Add(Demand{class: work})
	}
	return merged
}

// pack returns the demand by workspace.
func (d Demand) pack() []PackedWorkspace {
	var packed []PackedWorkspace
	for _, classes := range d.classesByWorkspace() {
		w := PackedWorkspace{Workspace: classes[0].Workspace}
		for _, class := range classes {
			w.Work = append(w.Work, uint64(max(class.Priority, 0)), packWork(d[class].Offered), packWork(d[class].Admitted))
		}
		packed = append(packed, w)
	}
	return packed
}

// packWork converts work per second to units of packedUnit.
func packWork(perSecond float64) uint64 { return uint64(math.Round(max(perSecond, 0) / packedUnit)) }

// unpackWork converts units of packedUnit to work per second.
func unpackWork(n uint64) float64 { return min(float64(n)*packedUnit, maxPackedWork) }

// Unpack returns the demands that another VM has sent.
func Unpack(packed []PackedService) Demands {
	d := make(Demands, len(packed))
	for _, p := range packed {
		classes := make(Demand)
		for _, w := range p.Workspaces {
			for numbers := w.Work; len(numbers) >= 3; numbers = numbers[3:] {
				class := Class{Workspace: w.Workspace, Priority: int(min(numbers[0], math.MaxInt32))}
				classes.Add(Demand{class: {Offered: unpackWork(numbers[1]), Admitted: unpackWork(numbers[2])}})
			}
		}
		d[p.Service] = ServiceDemand{Pressure: p.Pressure, Capacity: unpackWork(p.Capacity), Classes: classes}
	}
	return d
}
