// Package route holds the configuration of a deployment in the form that the request path reads:
// which route handles a request, which workspace owns an API key, and which limits apply. A Table
// is immutable.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// Kind determines how often a request of a route may be executed and whether its answer is
// streamed.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests are executed at most once for each attempt of the caller.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Stream requests are answered with a stream of events.
	Stream
)

// Route assigns the requests of a host and path prefix to services, with their limits and
// objectives.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request is served.
	Timeout time.Duration
	// Objective is the target for the time to the answer, or to its first event.
	Objective time.Duration
	// TargetGap is the target for the longest pause between two events of a stream.
	// TargetGap is zero if the route sets no such target.
	TargetGap time.Duration
	// MaxAttempts is the largest number of upstreams to which the request of one attempt of the
	// caller may be sent.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Models are the models from which the router may choose, smallest first; empty if the
	// caller names the model.
	Models    []contract.ModelID
	Anonymous bool
	Resumable bool
	// Regions are the regions to which the route's requests are restricted; empty means any
	// region.
	Regions []string
	// Unreadable is set if the configuration's text does not tell where the route's requests may run. They are refused.
	Unreadable bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Share is the part of a route's requests that a service receives, as a weight relative to the
// other shares of the route.
type Share struct {
	Service contract.ServiceID
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID contract.ServiceID
	// MaxConnections is the number of connections that one upstream accepts from all callers
	// together.
	MaxConnections int
	// Costs are the costs of the models for 1,000 output tokens. A prompt token costs a
	// quarter of an output token. The map is empty for a service without models.
	Costs map[contract.ModelID]float64
	// CacheTokens is the number of tokens that one engine of the service can cache; zero for a
	// service without models.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream; zero if it is not configured.
	EventTokens int
	// Cold is the load that an upstream of the service can handle while the upstream is cold
	// (recently started).
	Cold ColdCapacity
	// Scaling limits how many upstreams may be ordered for the service.
	// Scaling is nil if no upstreams may be ordered.
	Scaling *scaling.Limits
}

// ColdCapacity is the load that a cold (recently started) upstream can handle.
// The zero value describes an upstream that can handle its full load from the start.
type ColdCapacity struct {
	// Duration is how long an upstream stays cold after a start while its service receives
	// traffic.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold upstream can handle from all
	// VMs together; zero means no limit.
	PerSecond float64
}

// Workspace is a customer on whose behalf requests run.
type Workspace struct {
	ID contract.WorkspaceID
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions to which the workspace restricts its requests; empty means any
	// region.
	Regions []string
	// Weight is the weight of the workspace's fair share; zero means 1.
	Weight float64
	// Unreadable is set if the configuration's text does not tell which workspace this is or where its requests may run.
	// They are refused.
	Unreadable bool
}

// Limits bounds the requests that callers send. Zero means no limit.
type Limits struct {
	Header, Body               contract.Bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one revision of the configuration, as the request path uses it.
type Table struct {
	// Revision orders configurations. A VM never returns to a lower revision.
	Revision contract.Revision
	// Version is the operator's version number of the configuration.
	Version  int64
	Services map[contract.ServiceID]*Service
	Limits   Limits
	// KeyRequired is set if requests need an API key.
	KeyRequired bool
	// Unreadable names the parts of the configuration's text that could not be read, and why.
	Unreadable []string

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	// weights holds the weights that workspaces have.
	weights map[contract.WorkspaceID]float64
}

// NewTable returns a table with the given routes and with the workspaces by API key.
// A nil map of workspaces means that requests need no API key.
func NewTable(routes []*Route, keys map[string]*Workspace) *Table {
	t := &Table{byHost: make(map[string][]*Route), byKey: keys, KeyRequired: keys != nil, weights: make(map[contract.WorkspaceID]float64)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, w := range keys {
		if w.Weight > 0 {
			t.weights[w.ID] = w.Weight
		}
	}
	return t
}

// CountRoutes returns the number of routes.
func (t *Table) CountRoutes() int {
	n := 0
	for _, routes := range t.byHost {
		n += len(routes)
	}
	return n
}

// Find returns the route for a host with the longest prefix that matches the path, or nil. The
// path is compared in its escaped form.
func (t *Table) Find(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace that owns an API key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Weight returns the weight of a workspace's fair share, or zero if none is configured.
func (t *Table) Weight(w contract.WorkspaceID) float64 { return t.weights[w] }

// PickService returns the service for a request, in proportion to the weights of the shares of the
// route. The point in [0, 1) determines the choice and is usually random.
// A share with weight zero is picked only if all weights are zero:
// PickService then picks the first share of the route.
func (r *Route) PickService(point float64) contract.ServiceID {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	at := point * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// ShortestObjective returns the shortest objective of all routes to a service,
// or zero if no such route sets an objective.
func (t *Table) ShortestObjective(s contract.ServiceID) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Objective > 0 && r.sendsTo(s) && (shortest == 0 || r.Objective < shortest) {
				shortest = r.Objective
			}
		}
	}
	return shortest
}

// sendsTo reports whether the service receives a share of the route's requests.
func (r *Route) sendsTo(s contract.ServiceID) bool {
	return slices.ContainsFunc(r.Shares, func(x Share) bool { return x.Service == s })
}
