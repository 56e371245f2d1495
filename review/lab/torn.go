//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["torn"] = playTorn }

// Figures of the case.
const (
	tornUpstreams = 6
	tornRate      = 12 // requests a second
	tornDeadline  = 8 * time.Second
	// Requests have a body of tornBody bytes, of which an upstream reads tornChunk each tornStep while it answers with
	// tornPieces pieces of tornPiece bytes, one each tornStep.
	tornBody   = 4_000_000
	tornBuffer = 64 << 10 // of the connections of upstreams
	tornChunk  = 64 << 10
	tornPieces = 20
	tornPiece  = 200
	tornStep   = 100 * time.Millisecond
	// An upstream is killed each tornEvery, tornKills times, and another one starts tornDown later.
	tornKills = 3
	tornEvery = 6 * time.Second
	tornDown  = 4500 * time.Millisecond
)

// replicaProcess is the name of the command that runs an upstream of the case as a process of its own.
const replicaProcess = "replica"

// runReplica serves the requests of one upstream, and prints its address.
func runReplica(id string) int {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, tornBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return couldNot
	}
	fmt.Println(listener.Addr())
	for {
		c, err := listener.Accept()
		if err != nil {
			return couldNot
		}
		go serveEarly(c, id)
	}
}

// tornBodyOf returns the whole answer to an attempt.
func tornBodyOf(attempt string) string {
	var b strings.Builder
	for n := range tornPieces {
		piece := fmt.Sprintf("%s piece %02d ", attempt, n)
		b.WriteString(piece + strings.Repeat(".", tornPiece-len(piece)))
	}
	return b.String()
}

// serveEarly answers one request. The answer has no length and ends with the connection; it begins before the body of
// the request has been read, and both go on together.
func serveEarly(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 4<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if request.URL.Path == "/healthz" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	whole := tornBodyOf(attempt)
	for n := range tornPieces {
		_, _ = io.CopyN(io.Discard, request.Body, tornChunk)
		if _, err := io.WriteString(c, whole[n*tornPiece:(n+1)*tornPiece]); err != nil {
			return
		}
		time.Sleep(tornStep)
	}
	_, _ = io.Copy(io.Discard, request.Body)
}

// tornReplica is an upstream that runs as a process.
type tornReplica struct {
	id, zone, address string
	process           *exec.Cmd
}

type tornPlay struct {
	*system
	mu       sync.Mutex
	replicas []*tornReplica
	started  int
	answers  map[int]int
	whole    int
	torn     int
	none     int
}

// playTorn sends requests with long bodies, whose answers have no length. Some upstreams are killed.
func playTorn(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	p := &tornPlay{system: s, answers: make(map[int]int)}
	defer p.end()
	for range tornUpstreams {
		if err := p.startReplica(); err != nil {
			return false, err
		}
	}
	s.store.Put("config", "main", configuration(7, map[string]any{
		"Name": "r-order", "Host": host, "PathPrefix": "/order/", "Kind": "unsafe", "Service": service, "TimeoutMs": tornDeadline.Milliseconds(),
		"TargetLatencyMs": 3000, "Priority": 2, "MaxAttempts": 1, "Anonymous": false,
	}))
	if err := s.startMachines(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.callers(ctx)
	}()
	time.Sleep(4 * time.Second)
	for range tornKills {
		if trouble {
			p.kill()
		}
		time.Sleep(tornEvery)
	}
	cancel()
	wg.Wait()
	return p.judge(), nil
}

// startReplica starts an upstream as a process, and lists it.
func (p *tornPlay) startReplica() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	u := &tornReplica{id: fmt.Sprintf("i-%d", p.started), zone: zones[p.started%len(zones)]}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	u.process = exec.Command(self, replicaProcess, u.id)
	u.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := u.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := u.process.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	u.address = strings.TrimSpace(line)
	p.replicas = append(p.replicas, u)
	p.store.Put("servers", u.id, map[string]any{
		"Service": service, "Address": u.address, "Zone": u.zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
	})
	p.record.note("%s is listed", u.id)
	return nil
}

// kill ends the upstream that has run longest. Its entry goes after three heartbeats, and another upstream starts.
func (p *tornPlay) kill() {
	p.mu.Lock()
	u := p.replicas[0]
	p.replicas = p.replicas[1:]
	p.mu.Unlock()
	p.record.note("%s is killed", u.id)
	_ = u.process.Process.Kill()
	_ = u.process.Wait() // it was killed
	time.AfterFunc(3600*time.Millisecond, func() { p.store.Delete("servers", u.id) })
	time.AfterFunc(tornDown, func() {
		if err := p.startReplica(); err != nil {
			p.record.note("no upstream started: %v", err)
		}
	})
}

func (p *tornPlay) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.replicas {
		_ = u.process.Process.Kill()
		_ = u.process.Wait() // it was killed
	}
}

func (p *tornPlay) callers(ctx context.Context) {
	body := bytes.Repeat([]byte("b"), tornBody)
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(n, body)
		}()
		time.Sleep(time.Second / tornRate)
	}
	wg.Wait()
}

func (p *tornPlay) send(n int, content []byte) {
	id := fmt.Sprintf("%016x", n+1)
	ctx, cancel := context.WithTimeout(context.Background(), tornDeadline)
	defer cancel()
	m := p.machines[n%len(p.machines)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front(m)+"/order/2f", bytes.NewReader(content))
	if err != nil {
		return
	}
	request.Host, request.Close = host, true
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Key": apiKey, "X-Deadline-Ms": strconv.FormatInt(tornDeadline.Milliseconds(), 10)} {
		request.Header.Set(name, value)
	}
	p.record.note("caller sends attempt %s to %s", id, m.name)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		p.mu.Lock()
		p.none++
		p.mu.Unlock()
		p.record.note("caller got no answer to attempt %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	signature := answer.Header.Get("X-Response-Signature")
	p.record.note("caller got %d, %d bytes, signature %q for attempt %s (%v)", answer.StatusCode, len(body), signature, id, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[answer.StatusCode]++
	switch {
	case answer.StatusCode != http.StatusOK:
	case err == nil && string(body) == tornBodyOf(id):
		p.whole++
	case err == nil:
		p.torn++
		p.record.say("MIXED: attempt %s got 200 with %d of the %d bytes of the answer, signature %q", id, len(body), len(tornBodyOf(id)), signature)
	}
}

// judge reports whether a caller received a success that lacks a part of the upstream's body.
func (p *tornPlay) judge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.say("answers by status %v, none %d; %d whole, %d successes that lack a part of the answer", p.answers, p.none, p.whole, p.torn)
	return p.torn > 0
}
