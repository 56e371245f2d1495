//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["overlap"] = playOverlap }

// Figures of the case.
const (
	overlapUpstreams = 6
	overlapRate      = 2 // requests a second
	overlapLength    = 14 * time.Second
	overlapDeadline  = 20 * time.Second
	// Each answer has overlapEvents events of overlapEventSize bytes, one made every overlapStep.
	overlapEvents    = 400
	overlapEventSize = 2000
	overlapStep      = 25 * time.Millisecond
	// One of slowEvery callers reads slowBytes a second for slowFor, and then as fast as the events come.
	slowEvery = 5
	slowBytes = 8000
	slowFor   = 8 * time.Second
	// receiveBuffer is the size of the receive buffer of callers.
	receiveBuffer = 16 << 10
	// unreadFor is how long an answer may go unread until an upstream cuts it off.
	unreadFor = 5 * time.Second
	// overlapLimit is the bound of the rule.
	overlapLimit = 400 * time.Millisecond
)

// overlapRun is one run of a request at an upstream.
type overlapRun struct {
	upstream     string
	began, ended time.Time // ended is zero while the upstream works
}

type overlapPlay struct {
	*system
	mu    sync.Mutex
	runs  map[string][]*overlapRun
	whole int
	sent  int
}

// playOverlap sends streams that may be resumed. Some callers read slowly for a while.
func playOverlap(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	p := &overlapPlay{system: s, runs: make(map[string][]*overlapRun)}
	for i := range overlapUpstreams {
		u, err := newUpstream(r, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], p.work)
		if err != nil {
			return false, err
		}
		defer u.close()
		s.store.Put("servers", u.id, u.entry("ready"))
	}
	s.store.Put("config", "main", configuration(7, map[string]any{
		"Name": "r-rewrite", "Host": host, "PathPrefix": "/rewrite/", "Kind": "streaming", "Service": service, "TimeoutMs": overlapDeadline.Milliseconds(),
		"TargetLatencyMs": 2000, "GapTargetMs": 1200, "Priority": 1, "MaxAttempts": 3, "Anonymous": false, "Sticky": true, "Resumable": true,
	}))
	if err := s.startMachines(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < overlapLength; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(n, trouble && n%slowEvery == 0)
		}()
		time.Sleep(time.Second / overlapRate)
	}
	wg.Wait()
	return p.judge(), nil
}

// work makes the events of a stream at a steady pace, and writes them as its caller takes them. The upstream works
// until all events are made or the connection is closed.
func (p *overlapPlay) work(u *upstream, w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &overlapRun{upstream: u.id, began: time.Now()}
	p.mu.Lock()
	p.runs[id] = append(p.runs[id], run)
	p.mu.Unlock()
	p.record.note("%s runs attempt %s after event %d", u.id, id, last)
	made := make(chan int, overlapEvents)
	go func() {
		defer close(made)
		why := "all events are made"
		for n := last + 1; n <= overlapEvents; n++ {
			select {
			case <-r.Context().Done():
				why = "connection closed"
			case <-time.After(overlapStep):
			}
			if r.Context().Err() != nil {
				break
			}
			made <- n
		}
		p.mu.Lock()
		run.ended = time.Now()
		p.mu.Unlock()
		p.record.note("%s no longer works on attempt %s: %s", u.id, id, why)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := range made {
		_ = controller.SetWriteDeadline(time.Now().Add(unreadFor)) // fails only if the connection is closed
		if _, err := io.WriteString(w, event(n, overlapEventSize)); err != nil {
			return // the context of the request ends with its handler
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// send sends one request and reads its answer.
func (p *overlapPlay) send(n int, slow bool) {
	id := fmt.Sprintf("%016x", n+1)
	m := p.machines[n%len(p.machines)]
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ctx, cancel := context.WithTimeout(context.Background(), overlapDeadline)
	defer cancel()
	c, err := dialer.DialContext(ctx, "tcp", p.front(m))
	if err != nil {
		p.record.note("caller could not connect: %v", err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(overlapDeadline))
	p.mu.Lock()
	p.sent++
	p.mu.Unlock()
	p.record.note("caller sends attempt %s to %s, reads slowly: %v", id, m.name, slow)
	_, err = fmt.Fprintf(c, "POST /rewrite/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nX-Model: daka510000\r\nX-Token-Usage: 800,2800\r\nX-Prompt-Prefix: 5c1e07a2:500,%x:300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		host, id, apiKey, overlapDeadline.Milliseconds(), n+1)
	if err != nil {
		return
	}
	var source io.Reader = c
	if slow {
		source = &slowReader{Reader: c, until: time.Now().Add(slowFor)}
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(source, 512), nil)
	if err != nil {
		p.record.note("caller got no answer to attempt %s: %v", id, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	events := strings.Count(string(body), "\n\n")
	p.record.note("caller got %d and %d events for attempt %s (%v)", answer.StatusCode, events, id, err)
	if answer.StatusCode == http.StatusOK && err == nil && events == overlapEvents {
		p.mu.Lock()
		p.whole++
		p.mu.Unlock()
	}
}

// slowReader reads slowBytes a second until a time.
type slowReader struct {
	io.Reader
	until time.Time
}

func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if time.Now().Before(s.until) {
		time.Sleep(time.Duration(n) * time.Second / slowBytes)
	}
	return n, err
}

// judge reports whether an upstream still worked on a request overlapLimit after another one had begun to.
func (p *overlapPlay) judge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, again := 0, 0
	for id, runs := range p.runs {
		for i := 1; i < len(runs); i++ {
			again++
			before, next := runs[i-1], runs[i]
			end := before.ended
			if end.IsZero() {
				end = time.Now()
			}
			if overlap := end.Sub(next.began); overlap > overlapLimit && before.upstream != next.upstream {
				count++
				p.record.say("TWICE: attempt %s began at %s, and %s worked on it for %v more", id, next.upstream, before.upstream, overlap.Round(time.Millisecond))
			}
		}
	}
	p.record.say("%d requests, %d whole streams, %d runs after a first one; in %d the former upstream worked on for over %v", p.sent, p.whole, again, count, overlapLimit)
	return count > 0
}
