package relay

import (
	"slices"

	"woaddoor/contract"
)

// AllowedIn reports whether a request may be executed, and its content stored, in a region.
// Both the route and the workspace of the request must allow the region.
// If neither the route nor the workspace restricts regions,
// all regions are allowed, even an unknown region.
// If either restricts regions, an unknown region is not allowed.
func (q *Request) AllowedIn(region string) bool {
	return allows(q.Route.Regions, region) && allows(q.Regions, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// regionRestricted reports whether the request is restricted to certain regions.
func (q *Request) regionRestricted() bool { return len(q.Route.Regions)+len(q.Regions) > 0 }

// allowedPools returns the pools in the regions that the request allows. The caller holds mu.
func (r *Relay) allowedPools(q *Request, ids []contract.PoolID) []contract.PoolID {
	if !q.regionRestricted() {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id contract.PoolID) bool {
		return !q.AllowedIn(r.opts.Regions[r.dataCentreOf[id]])
	})
}

// outsideRegions reports whether the service has upstreams,
// but no upstream in the regions that the request allows.
// The caller holds mu.
func (r *Relay) outsideRegions(j *job) bool {
	if !j.regionRestricted() {
		return false
	}
	ids := poolsExcept(r.poolsByRelease[j.service], nil)
	return len(ids) > 0 && len(r.allowedPools(j.Request, ids)) == 0
}
