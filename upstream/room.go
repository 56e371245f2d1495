package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// The slots of a brittle upstream are divided among VMs, so that the sum of what they send finds room.
// Where the upstreams of a service have many slots for each VM of their data centre, every VM gets some
// slots of some upstreams. Where they have few, slots that are spread over all VMs would be idle at one VM
// while another refuses its callers: a few VMs of the data centre then hold all slots of the service, and
// the other VMs pass their requests to these holders.

const (
	// slotsPerVM is how many slots of a service each VM of a data centre must get, summed over the
	// upstreams there, for the slots to be spread over all of them.
	slotsPerVM = 3
	// slotsPerHolder is how many slots of each upstream a holder gets at least, if its connections suffice.
	slotsPerHolder = 3
)

// room is the division of a brittle upstream's slots among the VMs. The VMs of its own data centre
// get at least half of the slots.
type room struct {
	// senders is the number of VMs that may have a request in flight.
	senders int
	// local is the share of a VM of the upstream's data centre, of which localSenders have one. The
	// first extra of them have one slot more. remote is the share of any other VM.
	local, localSenders, extra, remote int
}

// divideRoom divides slots among the VMs of a data centre and those of other data centres.
// VMs of other data centres get a share only if there is a slot for each VM.
func divideRoom(slots, localVMs, remoteVMs int) room {
	slots, localVMs = max(slots, 1), max(localVMs, 1)
	var r room
	if remoteVMs > 0 && localVMs+remoteVMs <= slots {
		r.remote = max(slots/2/remoteVMs, 1)
		r.senders = remoteVMs
	}
	left := slots - r.remote*remoteVMs
	r.localSenders = min(localVMs, left)
	r.local, r.extra = left/r.localSenders, left%r.localSenders
	r.senders += r.localSenders
	return r
}

// serviceRoom is the upstreams of a service in one data centre.
type serviceRoom struct {
	serviceHash uint64
	// slots is the sum of the slots of the upstreams, and largest the most that one of them has.
	slots, largest int
	// connections is how many requests each VM may have in flight at an upstream; 0 means any number.
	connections int
	// cachedRank is this VM's rank among the VMs that may hold the slots, for one version of the owners.
	cachedRank, cachedRankVersion int
}

// groupRoom sums up the slots of each service in each data centre. It is called whenever upstreams or
// their statements have changed while any of them is brittle.
func (t *Table) groupRoom() {
	type key struct {
		service    contract.ServiceID
		dataCentre contract.DataCentreID
	}
	groups := make(map[key]*serviceRoom)
	for _, s := range t.sortedStates {
		k := key{s.service, s.pool.DataCentre}
		if groups[k] == nil {
			groups[k] = &serviceRoom{serviceHash: xxhash.Sum64String(string(s.service))}
		}
		s.serviceRoom = groups[k]
		s.serviceRoom.connections = s.pool.MaxConnections
		s.serviceRoom.slots += s.slots
		s.serviceRoom.largest = max(s.serviceRoom.largest, s.slots)
	}
}

// holders returns how many of the VMs of a data centre hold the slots of its upstreams, or 0 if the
// slots are spread over all VMs.
func (r *serviceRoom) holders(vms int) int {
	if r.slots >= slotsPerVM*vms {
		return 0
	}
	perHolder := slotsPerHolder
	if r.connections > 0 {
		perHolder = min(perHolder, r.connections)
	}
	return min(max(r.largest/perHolder, 1), vms)
}

// roomOf returns the division of an upstream's slots.
func (t *Table) roomOf(s *state) room {
	vms := max(t.vms, len(t.owners.VMs), 1)
	local := len(t.owners.VMs)
	if s.pool.DataCentre != t.owners.dc { // assume that the VMs are spread evenly
		local = max(vms/max(len(t.byDataCentre), 1), 1)
	}
	if n := s.serviceRoom.holders(max(local, 1)); n > 0 {
		return divideRoom(s.slots, n, 0)
	}
	return divideRoom(s.slots, local, vms-local)
}

// roomRank returns the rank of this VM among the VMs of its data centre that may have slots of an upstream.
func (t *Table) roomRank(s *state) int {
	r := s.serviceRoom
	if r.holders(max(len(t.owners.VMs), 1)) == 0 {
		return t.ownerRank(s)
	}
	if r.cachedRankVersion != t.owners.version {
		r.cachedRank, r.cachedRankVersion = slices.Index(t.owners.order(r.serviceHash), t.owners.Self), t.owners.version
	}
	return r.cachedRank
}

// dividedShare returns this VM's share of the slots of a brittle upstream if it knows all VMs.
func (t *Table) dividedShare(s *state) int {
	r := t.roomOf(s)
	if s.pool.DataCentre != t.owners.dc {
		return r.remote
	}
	switch rank := t.roomRank(s); {
	case rank < r.extra:
		return r.local + 1
	case rank < r.localSenders:
		return r.local
	}
	return 0
}

// RoomHolders returns the other VMs of this data centre that hold the slots of a service, if its
// upstreams are brittle and only a few VMs hold slots.
func (t *Table) RoomHolders(service contract.ServiceID) []contract.VMID {
	i := slices.IndexFunc(t.bounded, func(s *state) bool {
		return s.service == service && s.pool.DataCentre == t.owners.dc && s.notices.isBrittle()
	})
	if i < 0 || len(t.owners.VMs) == 0 {
		return nil
	}
	r := t.bounded[i].serviceRoom
	holders := t.owners.order(r.serviceHash)[:r.holders(len(t.owners.VMs))]
	return slices.DeleteFunc(holders, func(id contract.VMID) bool { return id == t.owners.Self })
}
