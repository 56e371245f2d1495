//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	"woaddoor/internal/standin/objects"
)

// storeGate is the platform's store: the project's stand-in, without the header that our pages do not name, and with
// watches that can be cut.
type storeGate struct {
	store *objects.Store

	mu sync.Mutex
	// waiting holds the connections on which a watch of upstreams waits.
	waiting map[net.Conn]bool
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// plainWriter drops the header of the stand-in that our pages do not name.
type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// ServeHTTP serves one call.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && strings.HasPrefix(r.URL.Path, "/api/objects/servers") && r.URL.Query().Has("Watch") {
		g.mu.Lock()
		g.waiting[c] = true
		g.mu.Unlock()
		defer func() {
			g.mu.Lock()
			delete(g.waiting, c)
			g.mu.Unlock()
		}()
	}
	g.store.ServeHTTP(plainWriter{w}, r)
}

// cutWatches closes the connections of the watches of upstreams that wait, and returns how many there were.
func (g *storeGate) cutWatches() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.waiting {
		_ = c.Close() // the watch fails
	}
	return len(g.waiting)
}
