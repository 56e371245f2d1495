package objects

// Sample is a deployment of one route, one service and one upstream.
type Sample struct {
	// Prefix is that of the route, on the host SampleHost.
	Prefix string
	// Attempts is how many upstreams one request may be sent to.
	Attempts  int
	Resumable bool
	// Workspace and Key are whose requests are taken; all are when Key is empty.
	Workspace, Key string
	// Address and DataCentre are those of the upstream.
	Address, DataCentre string
}

// SampleHost is the host that requests of a Sample name.
const SampleHost = "a.example"

// PutSample writes a deployment as the operator and its upstream would.
func (s *Store) PutSample(x Sample) {
	config := map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r", "Host": SampleHost, "PathPrefix": x.Prefix, "Kind": "streaming", "Service": "s",
			"TimeoutMs": 9000, "TargetLatencyMs": 1000, "MaxAttempts": x.Attempts, "Resumable": x.Resumable,
		}},
		"Services": []map[string]any{{"Name": "s", "MaxConnections": 40}},
	}
	if x.Key != "" {
		config["Tenants"] = []map[string]any{{"Name": x.Workspace, "ApiKeys": []string{x.Key}}}
	}
	s.Put("config", "main", config)
	s.Put("servers", "u1", map[string]any{
		"Service": "s", "Address": x.Address, "Zone": x.DataCentre, "Version": "v1", "Slots": 4, "State": "ready",
	})
}

// Service is a deployment of one service and a route of each kind: /safe/, /once/, which may
// not run again, and /stream/.
type Service struct {
	Version   int
	Workspace string
	// Keys are those of the workspace.
	Keys []string
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
}

// PutService writes the configuration of a deployment as the operator would.
func (s *Store) PutService(x Service) {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": SampleHost, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": "s", "TimeoutMs": 3000,
			"TargetLatencyMs": 500, "MaxAttempts": x.Attempts, "Resumable": kind == "streaming", "GapTargetMs": 200,
		}
	}
	s.Put("config", "main", map[string]any{
		"Version": x.Version, "Routes": []map[string]any{route("safe", "safe"), route("once", "unsafe"), route("stream", "streaming")},
		"Services": []map[string]any{{"Name": "s", "MaxConnections": 200}},
		"Tenants":  []map[string]any{{"Name": x.Workspace, "ApiKeys": x.Keys}},
	})
}

// Upstream is an upstream of a Service.
type Upstream struct {
	ID, Address, DataCentre string
	// Born tells its lives apart.
	Born int
	// Leaving tells that it is to end soon.
	Leaving bool
}

// PutUpstream writes an upstream's entry as it would itself.
func (s *Store) PutUpstream(u Upstream) {
	state := "ready"
	if u.Leaving {
		state = "draining"
	}
	s.Put(kindUpstreams, u.ID, map[string]any{
		"Service": "s", "Address": u.Address, "Zone": u.DataCentre, "Version": "v1", "Slots": 8, "State": state, "born": u.Born,
	})
}

// DeleteUpstream removes an upstream's entry, as the platform does once it is silent.
func (s *Store) DeleteUpstream(id string) { s.Delete(kindUpstreams, id) }

// Evacuate asks, as the operator would, that the upstreams of a data centre get nothing more,
// and TakeBack takes that back.
func (s *Store) Evacuate(dataCentre string) { s.Put(kindEvacuations, dataCentre, map[string]any{}) }

// TakeBack ends an evacuation.
func (s *Store) TakeBack(dataCentre string) { s.Delete(kindEvacuations, dataCentre) }

const kindEvacuations = "evacuations"

const kindUpstreams = "servers"
