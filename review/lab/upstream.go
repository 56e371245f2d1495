//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in of a replica. Its answers carry the headers that our pages name.
type upstream struct {
	id, zone string
	record   *record
	listener net.Listener
	server   *http.Server
	// work answers a request that the upstream has begun to run.
	work func(u *upstream, w http.ResponseWriter, r *http.Request, id string)

	mu      sync.Mutex
	running int
	// darkUntil is until when the upstream sends nothing.
	darkUntil time.Time
}

func newUpstream(r *record, id, zone string, work func(*upstream, http.ResponseWriter, *http.Request, string)) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, zone: zone, record: r, listener: listener, work: work}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }() // ends with the upstream
	return u, nil
}

// entry is the entry of the upstream in the platform's store.
func (u *upstream) entry(state string) map[string]any {
	return map[string]any{
		"Service": service, "Address": u.listener.Addr().String(), "Zone": u.zone, "Version": "v1", "Slots": slots, "State": state, "ColdRemainingMs": 0, "Sequence": 1,
	}
}

const slots = 32

// ServeHTTP serves a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !u.awaitLight(r) {
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.running++
	load := fmt.Sprintf("%d,0,%d", u.running, slots)
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Load", load)
	w.Header().Set("X-Response-Signature", "sig."+u.id+"."+id)
	u.work(u, w, r, id)
}

// awaitLight waits while the upstream is dark. It returns false if the caller has closed the connection meanwhile.
func (u *upstream) awaitLight(r *http.Request) bool {
	u.mu.Lock()
	wait := time.Until(u.darkUntil)
	u.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	return r.Context().Err() == nil
}

func (u *upstream) goDark(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.darkUntil = time.Now().Add(d)
}

func (u *upstream) close() { _ = u.server.Close() }

// event returns an event of a stream with a text of the given size.
func event(id, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", size))
}

// configuration returns a configuration with one route per kind.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": service, "MaxConnections": 230, "HealthPath": "/healthz"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
		"Tenants":  []map[string]any{{"Name": tenant, "ApiKeys": []string{apiKey}}},
	}
}
