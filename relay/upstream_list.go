package relay

import (
	"maps"
	"slices"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/route"
	"woaddoor/upstream"
)

// SetUpstreams replaces the list of upstreams,
// and updates the services to which the upstreams belong.
func (r *Relay) SetUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) {
	r.setUpstreams(entries, services, false)
}

// SetPartialUpstreams sets a partial list of upstreams on a VM that has no upstream list yet.
// Upstreams that the next upstream list adds are not treated as newly started.
func (r *Relay) SetPartialUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) {
	r.setUpstreams(entries, services, true)
}

// setUpstreams replaces the list of upstreams.
// The argument partial means that further upstreams exist.
func (r *Relay) setUpstreams(entries []upstream.Entry, services map[contract.ServiceID]*route.Service, partial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.connectionLimits, r.connectionLimitsFor(services))
	for id, s := range services {
		r.modelCosts[id] = s.Costs
	}
	costs := make(map[contract.ModelID]float64)
	for _, s := range services {
		maps.Copy(costs, s.Costs)
	}
	r.table.SetModelPrices(costs)
	list := r.tableList(entries, services)
	list.Incomplete = partial
	entries = list.Entries
	r.table.ApplyList(list)
	r.logColdUpstreams()
	known := make(map[contract.UpstreamID]upstream.Entry, len(entries))
	r.poolsByRelease = make(map[contract.ServiceID]map[string][]contract.PoolID)
	r.dataCentreOf = make(map[contract.PoolID]contract.DataCentreID)
	for _, e := range entries {
		known[e.ID] = e
		r.addPool(e)
		if p, ok := r.pools[e.ID]; ok {
			p.SetLimit(r.connectionLimits[e.Service])
		}
	}
	for id, p := range r.pools {
		if e, ok := known[id]; !ok || e.Address != r.entries[id].Address || e.Incarnation != r.entries[id].Incarnation {
			r.closePool(id, p)
		}
	}
	r.entries = known
	r.detectReplaced()
}

// connectionLimitsFor returns how many connections this VM
// may have to one upstream of each service.
func (r *Relay) connectionLimitsFor(services map[contract.ServiceID]*route.Service) map[contract.ServiceID]int {
	vms := max(r.opts.VMs(), 1)
	limits := make(map[contract.ServiceID]int, len(services))
	for id, s := range services {
		limits[id] = connectionsPerVM(s.MaxConnections, vms)
	}
	return limits
}

// connectionsPerVM returns how many connections each of several VMs may have to an upstream.
// The connections that the upstream accepts,
// times connectionShare, are divided equally among the VMs.
// Each VM gets at least 1 connection, and at least 2 if the upstream accepts 2 from every VM.
// With a second connection, requests are not blocked while the first connection is being closed.
// If maxConnections is zero, the upstream has no known limit.
func connectionsPerVM(maxConnections, vms int) int {
	if maxConnections == 0 {
		return minConnections
	}
	return max(int(connectionShare*float64(maxConnections)/float64(vms)), min(maxConnections/vms, minConnections), 1)
}

// minConnections is the smallest number of connections that each VM may have to an upstream,
// if the upstream accepts minConnections from every VM.
const minConnections = 2

// tableList converts entries to the list that the upstream table takes. The caller holds mu.
func (r *Relay) tableList(entries []upstream.Entry, services map[contract.ServiceID]*route.Service) upstream.List {
	entries = slices.Clone(entries)
	for i, e := range entries {
		if s := services[e.Service]; s != nil {
			entries[i].CacheTokens, entries[i].EventTokens = s.CacheTokens, s.EventTokens
		}
	}
	return upstream.List{
		Entries: entries, Connections: func(s contract.ServiceID) int { return r.connectionLimits[s] },
		Cold: func(s contract.ServiceID) upstream.ColdBound { return r.opts.ColdBounds.boundFor(services[s]) }, Now: r.opts.Now(),
	}
}

// closePool closes the connections to an upstream. The caller holds mu.
func (r *Relay) closePool(id contract.UpstreamID, p *exchange.Pool) {
	_, total := p.Stats()
	r.closedPoolDials += total
	p.Close()
	r.paths.Forget(r.entries[id].Service, id)
	delete(r.pools, id)
}

// ChangeUpstreams applies a change to the full upstream list
// that was last set, for the same services.
// If connections are now divided among a different number of VMs, ChangeUpstreams changes nothing
// and returns false; the caller must then set the full upstream list.
func (r *Relay) ChangeUpstreams(changed []upstream.Entry, gone []contract.UpstreamID, services map[contract.ServiceID]*route.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, limit := range r.connectionLimitsFor(services) {
		if r.connectionLimits[id] != limit {
			return false
		}
	}
	list := r.tableList(changed, services)
	r.table.ApplyListChanges(list, gone)
	r.logColdUpstreams()
	for _, id := range gone {
		r.removeEntry(id)
	}
	for _, e := range list.Entries {
		r.updateEntry(e)
	}
	r.detectReplaced()
	return true
}

// updateEntry adds or replaces one entry of the upstream list. The caller holds mu.
func (r *Relay) updateEntry(e upstream.Entry) {
	old, known := r.entries[e.ID]
	if p, ok := r.pools[e.ID]; ok && (old.Address != e.Address || old.Incarnation != e.Incarnation) {
		r.closePool(e.ID, p)
	}
	r.entries[e.ID] = e
	if known && old.PoolID() != e.PoolID() {
		r.removePool(old)
	}
	r.addPool(e)
}

// removeEntry removes an upstream from the upstream list. The caller holds mu.
func (r *Relay) removeEntry(id contract.UpstreamID) {
	old, known := r.entries[id]
	if p, ok := r.pools[id]; ok {
		r.closePool(id, p)
	}
	delete(r.entries, id)
	if known {
		r.removePool(old)
	}
}

// removePool removes the pool of a removed upstream if no other upstream is left in the pool.
// The caller holds mu.
func (r *Relay) removePool(e upstream.Entry) {
	id := e.PoolID()
	byRelease := r.poolsByRelease[e.Service]
	if byRelease == nil || r.table.HasPool(id) {
		return
	}
	delete(r.dataCentreOf, id)
	byRelease[e.Release] = slices.DeleteFunc(byRelease[e.Release], func(pool contract.PoolID) bool { return pool == id })
	if len(byRelease[e.Release]) == 0 {
		delete(byRelease, e.Release)
	}
	if len(byRelease) == 0 {
		delete(r.poolsByRelease, e.Service)
	}
}

// addPool adds the pool of an upstream under its service and release. The caller holds mu.
func (r *Relay) addPool(e upstream.Entry) {
	byRelease := r.poolsByRelease[e.Service]
	if byRelease == nil {
		byRelease = make(map[string][]contract.PoolID)
		r.poolsByRelease[e.Service] = byRelease
	}
	id := e.PoolID()
	r.dataCentreOf[id] = e.DataCentre
	for _, pool := range byRelease[e.Release] {
		if pool == id {
			return
		}
	}
	byRelease[e.Release] = append(byRelease[e.Release], id)
}
