package objects

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// SampleDeployment describes a deployment with one route, one service and one upstream.
type SampleDeployment struct {
	// PathPrefix is the path prefix of the route, on the host SampleHost.
	PathPrefix string
	// MaxAttempts is how many upstreams one request may be sent to, one after another.
	MaxAttempts int
	Resumable   bool
	// Workspace and Key name the workspace whose requests are accepted, and its key. If Key is
	// empty, all requests are accepted.
	Workspace, Key string
	// Address and DataCentre describe the upstream.
	Address, DataCentre string
}

// SampleHost is the host of the routes in a SampleDeployment or a Deployment.
const SampleHost = "a.example"

// PutSample writes the configuration, as the operator would,
// and the upstream's entry, as the upstream would.
func (s *Store) PutSample(sample SampleDeployment) {
	config := map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r", "Host": SampleHost, "PathPrefix": sample.PathPrefix, "Kind": "streaming", "Service": "s",
			"TimeoutMs": 9000, "TargetLatencyMs": 1000, "MaxAttempts": sample.MaxAttempts, "Resumable": sample.Resumable,
		}},
		"Services": []map[string]any{{"Name": "s", "MaxConnections": 40}},
	}
	if sample.Key != "" {
		config["Tenants"] = []map[string]any{{"Name": sample.Workspace, "ApiKeys": []string{sample.Key}}}
	}
	s.Put("config", "main", config)
	s.Put("servers", "u1", map[string]any{
		"Service": "s", "Address": sample.Address, "Zone": sample.DataCentre, "Version": "v1", "Slots": 4, "State": "ready",
	})
}

// Deployment describes a configuration with one service and three routes: /safe/ (repeatable
// requests), /once/ (requests that must not be repeated) and /stream/ (streams). A further route,
// VersionPath, exists from its version on.
type Deployment struct {
	Version   int
	Workspace string
	// Keys are the keys of the workspace.
	Keys []string
	// MaxAttempts is how many upstreams one request may be sent to, one after another.
	MaxAttempts int
	// MaxConnections is how many connections each upstream accepts; zero means defaultMaxConnections.
	MaxConnections int
}

// defaultMaxConnections is the number of connections of each upstream of a Deployment that does not state it.
const defaultMaxConnections = 200

// VersionPath returns the path prefix of the route that a version added. It is kept for VersionsKept
// further versions.
func VersionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// VersionsKept is how many further versions keep the route that a version added.
const VersionsKept = 20

// PutDeployment writes the configuration, as the operator would.
func (s *Store) PutDeployment(d Deployment) {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": SampleHost, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": "s", "TimeoutMs": 3000,
			"TargetLatencyMs": 500, "MaxAttempts": d.MaxAttempts, "Resumable": kind == "streaming", "GapTargetMs": 200,
		}
	}
	routes := []map[string]any{route("safe", "safe"), route("once", "unsafe"), route("stream", "streaming")}
	for version := max(1, d.Version-VersionsKept); version <= d.Version; version++ {
		r := route(fmt.Sprintf("version-%d", version), "safe")
		r["PathPrefix"] = VersionPath(version)
		routes = append(routes, r)
	}
	s.Put("config", "main", map[string]any{
		"Version": d.Version, "Routes": routes,
		"Services": []map[string]any{{"Name": "s", "MaxConnections": cmp.Or(d.MaxConnections, defaultMaxConnections)}},
		"Tenants":  []map[string]any{{"Name": d.Workspace, "ApiKeys": d.Keys}},
	})
}

// Upstream is an upstream of the service of a Deployment.
type Upstream struct {
	ID, Address, DataCentre string
	// Slots is how many requests the upstream works on at a time; zero means defaultSlots.
	Slots int
	// Release is the release that the upstream runs; empty means FirstRelease.
	Release string
	// Incarnation differs between successive processes with the same ID.
	Incarnation int
	// Leaving is true if the upstream has announced that it will end soon.
	Leaving bool
}

// FirstRelease is the release of an upstream that does not state one.
const FirstRelease = "v1"

// defaultSlots is the number of slots of an upstream that does not state it.
const defaultSlots = 8

// PutUpstream writes an upstream's entry, as the upstream itself would.
func (s *Store) PutUpstream(u Upstream) {
	state := "ready"
	if u.Leaving {
		state = "draining"
	}
	s.Put(kindUpstreams, u.ID, map[string]any{
		"Service": "s", "Address": u.Address, "Zone": u.DataCentre, "Version": cmp.Or(u.Release, FirstRelease), "Slots": cmp.Or(u.Slots, defaultSlots), "State": state, "born": u.Incarnation,
	})
}

// UpstreamIDs returns the ids of the upstreams that have an entry.
func (s *Store) UpstreamIDs() []string { return s.Names(kindUpstreams) }

// DeleteUpstream removes an upstream's entry,
// as the platform does once the upstream stops reporting.
func (s *Store) DeleteUpstream(id string) { s.Delete(kindUpstreams, id) }

// StartEvacuation orders the evacuation of a data centre, as the operator would, so that its
// upstreams receive no more requests.
func (s *Store) StartEvacuation(dataCentre string) {
	s.Put(kindEvacuations, dataCentre, map[string]any{})
}

// EndEvacuation withdraws the order to evacuate a data centre.
func (s *Store) EndEvacuation(dataCentre string) { s.Delete(kindEvacuations, dataCentre) }

const kindEvacuations = "evacuations"

const kindUpstreams = "servers"

const kindRollouts = "rollouts"

// StartRollout orders a rollout of the service of a Deployment, as the operator would.
func (s *Store) StartRollout(release string, duration time.Duration) {
	s.Put(kindRollouts, "s", map[string]any{"Service": "s", "TargetVersion": release, "DurationS": duration.Seconds()})
}

// Final states of a rollout.
const (
	RolloutCompleted  = "completed"
	RolloutRolledBack = "rolled_back"
)

// RolloutState returns the state that the VMs have recorded for the rollout; empty if none.
func (s *Store) RolloutState() string {
	object, _ := s.Get(kindRollouts, "s")
	var status struct{ State string }
	if json.Unmarshal(object.Status, &status) != nil {
		return ""
	}
	return status.State
}

// CallerLimits are limits that a configuration sets for callers.
type CallerLimits struct {
	MaxBody, MaxHead           int // bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// LimitedDeployment describes a configuration with one service, limits for callers, and two routes, /safe/ (repeatable
// requests) and /stream/ (streams that cannot be resumed).
type LimitedDeployment struct {
	CallerLimits
	// RouteTimeout is how long a request may be held.
	RouteTimeout time.Duration
	// Keys are the keys of the workspaces.
	Keys map[string]string
	// MaxConnections is how many connections each upstream accepts.
	MaxConnections int
}

// PutLimitedDeployment writes the configuration, as the operator would.
func (s *Store) PutLimitedDeployment(d LimitedDeployment) {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": SampleHost, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": "s", "MaxAttempts": 2,
			"TimeoutMs": d.RouteTimeout.Milliseconds(), "TargetLatencyMs": 1000, "GapTargetMs": 2000,
		}
	}
	var workspaces []map[string]any
	for name, key := range d.Keys {
		workspaces = append(workspaces, map[string]any{"Name": name, "ApiKeys": []string{key}})
	}
	s.Put("config", "main", map[string]any{
		"Version": 1, "Routes": []map[string]any{route("safe", "safe"), route("stream", "streaming")},
		"Services": []map[string]any{{"Name": "s", "MaxConnections": d.MaxConnections}},
		"Limits": map[string]any{
			"MaxBodyBytes": d.MaxBody, "MaxHeaderBytes": d.MaxHead,
			"HeaderTimeoutMs": d.HeaderTimeout.Milliseconds(), "IdleTimeoutMs": d.IdleTimeout.Milliseconds(),
		},
		"Tenants": workspaces,
	})
}
