// Package fairshare divides the capacity of a service among workspaces and priorities while the
// upstreams of the service are short of capacity.
//
// Each VM counts the work that its callers offer and the work that it admits, and learns the counts
// of the other VMs by gossip. While the upstreams are short, each workspace gets its max-min fair
// share of the capacity. A VM admits the same fraction of its requests of a workspace as every
// other VM, so that the VMs need no coordination beyond these counts.
//
// The package is pure: it reads no clock, does no I/O and creates no random numbers.
package fairshare
