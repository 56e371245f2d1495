package relay

import (
	"slices"

	"woaddoor/contract"
)

// AllowedIn tells whether a request may be run, and what it holds be kept, in a region: both
// its route and its workspace have to allow it. Where neither names any, all are allowed; a
// region that is not known is allowed only then.
func (q *Request) AllowedIn(region string) bool {
	return allows(q.Route.Regions, region) && allows(q.Regions, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// regional tells whether the request may not go everywhere.
func (q *Request) regional() bool { return len(q.Route.Regions)+len(q.Regions) > 0 }

// inside returns the pools that stand where the request may be. The caller holds mu.
func (r *Relay) inside(q *Request, ids []contract.PoolID) []contract.PoolID {
	if !q.regional() {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id contract.PoolID) bool {
		return !q.AllowedIn(r.opts.Regions[r.centreOf[id]])
	})
}

// outside tells whether the service has upstreams, and none where the request may be. The
// caller holds mu.
func (r *Relay) outside(j *job) bool {
	if !j.regional() {
		return false
	}
	ids := all(r.releases[j.service], nil)
	return len(ids) > 0 && len(r.inside(j.Request, ids)) == 0
}
