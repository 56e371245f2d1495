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
