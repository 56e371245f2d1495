package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is a request as a server has received it.
type request struct {
	*http.Request
	id, body string
}

// server is a stand-in of a server of a service: it reads requests one at a time on each connection.
type server struct {
	id, service, zone, version string
	slots                      int
	listener                   net.Listener
	rec                        *record
	// handle answers a request, and returns whether the connection is kept.
	handle func(s *server, c net.Conn, r *request) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newServer(rec *record, id, service, zone string, slots int, handle func(*server, net.Conn, *request) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, version: "v1", slots: slots, listener: l, rec: rec, handle: handle, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// entry returns what the server writes to the store of itself.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": s.zone, "Version": s.version, "Slots": s.slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": 1,
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &request{Request: r, id: r.Header.Get("X-Attempt-Id"), body: string(body)}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.id, s.id)
			continue
		}
		s.rec.event("arrives", req.id, s.id, "")
		if !s.handle(s, c, req) {
			return
		}
	}
}

// respond writes a whole signed answer.
func (s *server) respond(c net.Conn, status int, id, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: seal.%s.%s\r\nX-Instance-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, id, s.id, id, s.slots, len(body), body)
	return err == nil
}

// work runs a request for a while.
func (s *server) work(id string, d time.Duration) {
	s.rec.event("runs", id, s.id, "")
	time.Sleep(d)
}
