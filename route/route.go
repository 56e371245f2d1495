// Package route holds the configuration of a deployment in the form that the
// request path reads: which route takes a request, which workspace a key
// belongs to, and what bounds hold. A Table is never changed once made.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once for each caller's attempt.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

// Route is one route.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on
	// time.
	Objective time.Duration
	// Gap is the longest pause between two events that is on time; zero when
	// the route does not say.
	Gap time.Duration
	// MaxAttempts is how many upstreams one caller's attempt may be sent to.
	MaxAttempts int
	// Priority is its rank; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Models are those that the router may choose from, smallest first; empty
	// when the caller names the model.
	Models    []contract.ModelID
	Anonymous bool
	Resumable bool
	// Regions are those in which its requests may be; empty for all.
	Regions []string
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service contract.ServiceID
	Weight  int
}

// Service is a set of upstreams that answer alike.
type Service struct {
	ID contract.ServiceID
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Costs are what models cost for 1,000 tokens made; a token read counts as
	// a quarter of one made. Empty for a plain service.
	Costs map[contract.ModelID]float64
	// Memory is how many tokens one of its engines keeps; zero for a plain
	// service.
	Memory int
	// Cold says what its upstreams bear after a start.
	Cold Cold
	// Scaling is what may be ordered of its upstreams; nil where nothing may.
	Scaling *scaling.Limits
}

// Cold is what an upstream bears while it is cold. The zero value is of one that
// bears all from its start on.
type Cold struct {
	// For is how long an upstream stays cold after a start during traffic.
	For time.Duration
	// PerSecond is how many requests a second it bears meanwhile, from all VMs
	// together; zero means no bound.
	PerSecond float64
}

// Workspace is a customer that requests run for.
type Workspace struct {
	ID contract.WorkspaceID
	// Priority takes the place of the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those in which its requests may be; empty for all.
	Regions []string
}

// Limits bound what callers send. Zero means no bound.
type Limits struct {
	Header, Body          contract.Bytes
	HeaderTimeout, Idling time.Duration
}

// Table is one configuration.
type Table struct {
	// Revision orders configurations: a VM never goes back to a lower one.
	Revision contract.Revision
	// Version is the operator's number of the configuration.
	Version  int64
	Services map[contract.ServiceID]*Service
	Limits   Limits
	// Keyed tells whether requests need a key.
	Keyed bool

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// NewTable returns a table of routes and of workspaces by their keys.
func NewTable(routes []*Route, keys map[string]*Workspace) *Table {
	t := &Table{byHost: make(map[string][]*Route), byKey: keys, Keyed: keys != nil}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// Routes returns how many routes there are.
func (t *Table) Routes() int {
	n := 0
	for _, routes := range t.byHost {
		n += len(routes)
	}
	return n
}

// Find returns the route of a host with the longest prefix that begins path,
// or nil. The path is compared as it was sent, still escaped.
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

// ByKey returns the workspace that holds a key.
func (t *Table) ByKey(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Pick returns the service of a route that a point in [0, 1) falls to. Shares
// without weight get nothing, unless no share has any.
func (r *Route) Pick(point float64) contract.ServiceID {
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

// Objective returns the shortest objective of the routes to a service; zero where no route
// says.
func (t *Table) Objective(s contract.ServiceID) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Objective > 0 && r.goesTo(s) && (shortest == 0 || r.Objective < shortest) {
				shortest = r.Objective
			}
		}
	}
	return shortest
}

// goesTo tells whether a part of the route's requests goes to a service.
func (r *Route) goesTo(s contract.ServiceID) bool {
	return slices.ContainsFunc(r.Shares, func(x Share) bool { return x.Service == s })
}
