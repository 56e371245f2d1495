package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Names of the sample configuration of the pages.
const (
	appService  = "wuno96b"
	llmService  = "huvo11a"
	unsafePath  = "/puxa403/2f"
	safePath    = "/cufi504/fi50/2f"
	streamPath  = "/lohu930/2f"
	tenant      = "hule930"
	key         = "n2ctnfzs989anu6wsjnb"
	otherKey    = "anfqasnmgkcuyj8pjbvk"
	callTimeout = 4 * time.Second
)

// deployment is the whole system with its stand-ins.
type deployment struct {
	rec      *record
	root     string
	store    *store
	machines []*machine
	servers  []*server
	attempts atomic.Int64
	version  int
}

// config returns the next configuration of the operator, like the sample of the pages. The keys are those of the tenant,
// and unsafeTimeout is the TimeoutMs of the unsafe route, as it is written.
func (d *deployment) config(unsafeTimeout string, keys ...string) map[string]any {
	d.version += 3
	route := func(name, prefix, kind, service string, timeout string, target, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": json.Number(timeout), "TargetLatencyMs": target,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Anonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"Version": d.version,
		"Routes": []any{
			route("r-unsafe", "/puxa403/", "unsafe", appService, unsafeTimeout, 300, 1, nil),
			route("r-safe", "/cufi504/fi50/", "safe", appService, "2000", 300, 2, nil),
			route("r-stream", "/lohu930/", "streaming", llmService, "20000", 2000, 3, map[string]any{
				"Sizes": []string{"daka510000", "rada7437b5", "ravo486f6a"}, "Sticky": true, "Resumable": true, "GapTargetMs": 1200,
			}),
		},
		"Services": []any{
			map[string]any{"Name": llmService, "HealthPath": "/healthz", "MaxConnections": 230, "InferenceEngine": map[string]any{
				"Slots": 32, "KvCapacityTokens": 761808, "Stride": 7, "ModelList": []any{
					map[string]any{"Name": "daka510000", "Cost": 0.013}, map[string]any{"Name": "rada7437b5", "Cost": 0.097}, map[string]any{"Name": "ravo486f6a", "Cost": 0.19},
				}}},
			map[string]any{"Name": appService, "HealthPath": "/healthz", "MaxConnections": 96},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": keys, "Priority": 1}},
	}
}

// newDeployment returns the deployment of a case before its machines have started.
func newDeployment(rec *record, root, dir string) (*deployment, error) {
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, store: s, version: 4}
	d.machines = newMachines(dir)
	d.store.put("config", "main", d.config("2000", key, otherKey))
	return d, nil
}

// add starts a server and writes its entry.
func (d *deployment) add(service, zone string, slots int, handle func(*server, net.Conn, *request) bool) (*server, error) {
	s, err := newServer(d.rec, fmt.Sprintf("i-%08x", 0x7f3a91c2+len(d.servers)*0x10001), service, zone, slots, handle)
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	d.store.put("servers", s.id, s.entry("ready"))
	return s, nil
}

// start starts all machines and waits until they are ready.
func (d *deployment) start() error {
	var seeds []string
	for i := 0; i < len(d.machines); i += machinesPerZone {
		seeds = append(seeds, d.machines[i].link)
	}
	for _, m := range d.machines {
		if err := m.start(d.root, d.store.address(), seeds, true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(d.machines) {
			break
		}
		if time.Now().After(end) {
			return errors.New("the machines are not ready")
		}
	}
	time.Sleep(4 * time.Second) // ContactMs, and some
	d.rec.note("all %d machines are ready", len(d.machines))
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
	}
}

// nextID returns the id of a new attempt.
func (d *deployment) nextID() string {
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+d.attempts.Add(1))
}

// root returns the root of the repository.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "deploy", "system.toml")); statErr == nil {
			return dir, nil
		}
		if filepath.Dir(dir) == dir {
			break
		}
		dir = filepath.Dir(dir)
	}
	return "", errors.New("not in the repository")
}
