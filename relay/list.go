package relay

import (
	"maps"
	"slices"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/route"
	"woaddoor/upstream"
)

// SetUpstreams takes in the upstreams that are known, and the services that
// they belong to.
func (r *Relay) SetUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) {
	r.setUpstreams(entries, services, false)
}

// SetSomeUpstreams takes in some of the upstreams at a VM that knows no list yet: those
// that follow have not started since.
func (r *Relay) SetSomeUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) {
	r.setUpstreams(entries, services, true)
}

func (r *Relay) setUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service, some bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.limits, r.limitsOf(services))
	for id, s := range services {
		r.costs[id] = s.Costs
	}
	costs := make(map[contract.ModelID]float64)
	for _, s := range services {
		maps.Copy(costs, s.Costs)
	}
	r.table.SetCosts(costs)
	l := r.listOf(entries, services)
	l.Some = some
	entries = l.Entries
	r.table.ConfigureList(l)
	r.logCold()
	known := make(map[contract.UpstreamID]upstream.Entry, len(entries))
	r.releases = make(map[contract.ServiceID]map[string][]contract.PoolID)
	r.centreOf = make(map[contract.PoolID]contract.DataCentreID)
	for _, e := range entries {
		known[e.ID] = e
		r.addRelease(e)
		if p, ok := r.pools[e.ID]; ok {
			p.SetLimit(r.limits[e.Service])
		}
	}
	for id, p := range r.pools {
		if e, ok := known[id]; !ok || e.Address != r.entries[id].Address || e.Born != r.entries[id].Born {
			r.closePool(id, p)
		}
	}
	r.entries = known
	r.noteReplaced()
}

// limitsOf returns how many connections this VM may have to an upstream of each service.
func (r *Relay) limitsOf(services map[contract.ServiceID]*route.Service) map[contract.ServiceID]int {
	vms := max(r.opts.VMs(), 1)
	limits := make(map[contract.ServiceID]int, len(services))
	for id, s := range services {
		limits[id] = connectionsEach(s.MaxConnections, vms)
	}
	return limits
}

// connectionsEach returns how many connections one of some VMs may have to an upstream: a part
// of the share, and at least two where all of them may, so that one that is being given up holds
// up nothing. No VM is left without any. Zero for most means that no bound is known.
func connectionsEach(most, vms int) int {
	if most == 0 {
		return leastConnections
	}
	return max(int(connectionShare*float64(most)/float64(vms)), min(most/vms, leastConnections), 1)
}

// leastConnections is how many connections to an upstream a VM has at least, where there are
// enough.
const leastConnections = 2

// listOf returns entries as the table takes them in. The caller holds mu.
func (r *Relay) listOf(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) upstream.List {
	entries = slices.Clone(entries)
	for i, e := range entries {
		if s := services[e.Service]; s != nil {
			entries[i].Memory = s.Memory
		}
	}
	return upstream.List{
		Entries: entries, Connections: func(s contract.ServiceID) int { return r.limits[s] },
		Cold: func(s contract.ServiceID) upstream.ColdBound { return r.opts.Cold.of(services[s]) }, Now: r.opts.Now(),
	}
}

// closePool closes the connections to an upstream. The caller holds mu.
func (r *Relay) closePool(id contract.UpstreamID, p *exchange.Pool) {
	_, total := p.Count()
	r.dialedBefore += total
	p.Close()
	delete(r.pools, id)
}

// ChangeUpstreams takes in the upstreams that have changed or are gone since the whole list was
// taken in with the same services. It tells false, and changes nothing, where the whole list is
// to be taken in: connections are split among another number of VMs.
func (r *Relay) ChangeUpstreams(changed []upstream.Entry, gone []contract.UpstreamID, services map[contract.ServiceID]*route.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, limit := range r.limitsOf(services) {
		if r.limits[id] != limit {
			return false
		}
	}
	l := r.listOf(changed, services)
	r.table.ChangeList(l, gone)
	r.logCold()
	for _, id := range gone {
		r.forget(id)
	}
	for _, e := range l.Entries {
		r.change(e)
	}
	r.noteReplaced()
	return true
}

// change takes in one entry. The caller holds mu.
func (r *Relay) change(e upstream.Entry) {
	old, had := r.entries[e.ID]
	if p, ok := r.pools[e.ID]; ok && (old.Address != e.Address || old.Born != e.Born) {
		r.closePool(e.ID, p)
	}
	r.entries[e.ID] = e
	if had && old.PoolOf() != e.PoolOf() {
		r.dropRelease(old)
	}
	r.addRelease(e)
}

// forget takes out an upstream. The caller holds mu.
func (r *Relay) forget(id contract.UpstreamID) {
	old, had := r.entries[id]
	if p, ok := r.pools[id]; ok {
		r.closePool(id, p)
	}
	delete(r.entries, id)
	if had {
		r.dropRelease(old)
	}
}

// dropRelease takes out the pool that an upstream was in, if it has no other. The caller holds mu.
func (r *Relay) dropRelease(e upstream.Entry) {
	id := e.PoolOf()
	byRelease := r.releases[e.Service]
	if byRelease == nil || r.table.HasPool(id) {
		return
	}
	delete(r.centreOf, id)
	byRelease[e.Release] = slices.DeleteFunc(byRelease[e.Release], func(have contract.PoolID) bool { return have == id })
	if len(byRelease[e.Release]) == 0 {
		delete(byRelease, e.Release)
	}
	if len(byRelease) == 0 {
		delete(r.releases, e.Service)
	}
}

// addRelease notes the pool of an upstream under its service and release. The
// caller holds mu.
func (r *Relay) addRelease(e upstream.Entry) {
	byRelease := r.releases[e.Service]
	if byRelease == nil {
		byRelease = make(map[string][]contract.PoolID)
		r.releases[e.Service] = byRelease
	}
	id := e.PoolOf()
	r.centreOf[id] = e.DataCentre
	for _, have := range byRelease[e.Release] {
		if have == id {
			return
		}
	}
	byRelease[e.Release] = append(byRelease[e.Release], id)
}
