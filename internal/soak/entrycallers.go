package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// entryCallers are the callers of a trial with uneven connections. They keep connections and reuse them.
type entryCallers struct {
	fleet  *entryFleet
	random *rand.Rand
	lastID atomic.Int64
	// surge is set while the callers send more requests.
	surge atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	idle    map[string][]*entryConn // by data centre
	results []entryResult
	seconds []machineSecond
}

// entryResult is how one request went.
type entryResult struct {
	at    time.Time
	tries []entryTry
	took  time.Duration
}

// entryTry is how one try of a request ended.
type entryTry struct {
	end entryEnd
	vm  string
}

// entryEnd is how a try ended.
type entryEnd uint8

const (
	tryServed     entryEnd = iota
	tryRejected            // with 503
	tryFailed              // with another status, a broken answer or none
	tryNotRead             // closed with the request unread
	tryRefused             // no connection was established
	tryLeftUnread          // given up, since it was not read for too long
	numberOfEnds  = iota
)

func (e entryEnd) String() string {
	return [...]string{"served", "503", "failed", "closed unread", "not connected", "left unread"}[e]
}

// wasRead reports whether a VM has read the request.
func (e entryEnd) wasRead() bool { return e <= tryFailed }

func newEntryCallers(f *entryFleet, seed uint64) *entryCallers {
	return &entryCallers{fleet: f, random: rand.New(rand.NewPCG(seed, 9)), idle: make(map[string][]*entryConn)}
}

// entryConn is a connection of a caller to a VM, whose bytes pass the VM's network link.
type entryConn struct {
	net.Conn
	vm       *limitedVM
	reader   *bufio.Reader
	reused   bool
	closed   bool      // the VM closes it after its answer
	deadline time.Time // of the request
	// sent and got are the bytes of the request and of the answer.
	sent, got atomic.Int64
}

func (c *entryConn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), entryChunk)]
		if err := c.vm.link.pass(len(part), c.deadline); err != nil {
			return n, err
		}
		k, err := c.Conn.Write(part)
		n += k
		if err != nil {
			return n, err
		}
		p = p[len(part):]
	}
	return n, nil
}

func (c *entryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), entryChunk)])
	c.got.Add(int64(n))
	if late := c.vm.link.pass(n, c.deadline); err == nil {
		err = late
	}
	return n, err
}

// run sends requests until ctx ends, and waits for their answers.
func (c *entryCallers) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { c.observeMachines(ctx) })
	next := time.Now()
	for ctx.Err() == nil {
		rate := float64(c.fleet.trial.PerSecond)
		if c.surge.Load() {
			rate *= c.fleet.trial.Surge
		}
		next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		kind, caller := c.drawKind(), dataCentre(c.random.IntN(dataCentresOfTrial))
		sleepUntil(ctx, next)
		calls.Go(func() { c.call(caller, kind) })
	}
}

func (c *entryCallers) drawKind() entryKind {
	n := c.random.IntN(100)
	for _, k := range entryKinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return entryKinds[len(entryKinds)-1]
}

// call sends a request, and sends it again where callers do so.
func (c *entryCallers) call(caller string, kind entryKind) {
	began := time.Now()
	result := entryResult{at: began}
	for len(result.tries) < c.fleet.trial.Tries && time.Since(began) < entryDeadline {
		try, wait := c.try(caller, kind, result.tries, began.Add(entryDeadline))
		result.tries = append(result.tries, try)
		unsafeRun := try.end == tryFailed && kind.path == "/once/x"
		if try.end == tryServed || unsafeRun {
			break
		}
		time.Sleep(min(wait, time.Until(began.Add(entryDeadline))/3))
	}
	result.took = time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

// try makes one try, and returns how long the answer asks to wait before the next.
func (c *entryCallers) try(caller string, kind entryKind, tried []entryTry, deadline time.Time) (entryTry, time.Duration) {
	conn, err := c.connect(caller, tried)
	t := entryTry{vm: conn.vm.name}
	if err != nil {
		t.end = tryRefused
		return t, 0
	}
	var givenUp atomic.Bool
	watch := time.AfterFunc(min(readTimeout, time.Until(deadline)/3), func() {
		if conn.sent.Load() > 0 && conn.got.Load() == 0 && kind.path != "/once/x" && unreadByPeer(conn.Conn) >= int(conn.sent.Load()) {
			givenUp.Store(true)
			conn.Close()
		}
	})
	defer watch.Stop()
	status, wait, err := c.exchange(conn, kind, deadline)
	if givenUp.Load() {
		t.end = tryLeftUnread
		return t, 0
	}
	switch {
	case err == nil && status == http.StatusOK:
		t.end = tryServed
		c.keep(caller, conn)
		return t, 0
	case err == nil && status == http.StatusServiceUnavailable:
		t.end = tryRejected
	case conn.got.Load() == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || conn.reused && errors.Is(err, io.ErrUnexpectedEOF)):
		t.end = tryNotRead
	default:
		t.end = tryFailed
	}
	conn.Close()
	return t, wait
}

// connect returns a connection for a try: one that is kept, or a new one. With an error, the connection
// only names the VM.
func (c *entryCallers) connect(caller string, tried []entryTry) (*entryConn, error) {
	share := c.fleet.trial.New
	if c.surge.Load() {
		share = c.fleet.trial.NewCrowd
	}
	c.mu.Lock()
	if kept := c.idle[caller]; len(tried) == 0 && len(kept) > 0 && rand.Float64() >= share {
		n := rand.IntN(len(kept))
		conn := kept[n]
		c.idle[caller] = slices.Delete(kept, n, n+1)
		c.mu.Unlock()
		conn.reused = true
		conn.sent.Store(0)
		conn.got.Store(0)
		return conn, nil
	}
	c.mu.Unlock()
	conn := &entryConn{vm: c.fleet.balancer.pick(caller, tried)}
	var err error
	conn.Conn, err = net.DialTimeout("tcp", conn.vm.callerAddress, connectTimeout)
	conn.reader = bufio.NewReaderSize(conn, entryChunk)
	return conn, err
}

// maxKept is how many connections the callers of a data centre keep.
const maxKept = 100

// keep keeps a connection for later requests. If too many are kept, the oldest is closed.
func (c *entryCallers) keep(caller string, conn *entryConn) {
	if conn.closed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[caller] = append(c.idle[caller], conn)
	if len(c.idle[caller]) > maxKept {
		c.idle[caller][0].Close()
		c.idle[caller] = slices.Delete(c.idle[caller], 0, 1)
	}
}

// exchange sends a request and reads the answer to its end.
func (c *entryCallers) exchange(conn *entryConn, kind entryKind, deadline time.Time) (status int, wait time.Duration, err error) {
	id := c.lastID.Add(1)
	req, err := replica.NewCall(context.Background(), conn.vm.callerAddress, objects.SampleHost, kind.path, fmt.Sprintf("id-%d", id), keyKept, strings.Repeat("x", kind.body))
	if err != nil {
		return 0, 0, err
	}
	replica.SetDeadline(req, time.Until(deadline))
	replica.SetPrompt(req, fmt.Sprintf("a%x", rand.IntN(sessionsOfTrial)), fmt.Sprintf("b%x", id))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return 0, 0, err
	}
	conn.sent.Store(int64(text.Len()))
	conn.deadline = deadline
	_ = conn.SetDeadline(deadline)
	if _, err := conn.Write(text.Bytes()); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	events, err := readEvents(conn, resp, kind)
	if err == nil && resp.StatusCode == http.StatusOK && events < kind.events {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && resp.Close {
		conn.closed = true
		conn.Close()
	}
	return resp.StatusCode, wait, err
}

// readEvents reads an answer, and gives a stream up that pauses too long.
func readEvents(conn *entryConn, resp *http.Response, kind entryKind) (events int, err error) {
	if kind.events == 0 {
		_, err := io.Copy(io.Discard, resp.Body)
		return 0, err
	}
	lines := bufio.NewScanner(resp.Body)
	paused := time.AfterFunc(streamGiveUp, func() { conn.Close() })
	defer paused.Stop()
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
			paused.Reset(streamGiveUp)
		}
	}
	if err := lines.Err(); err != nil {
		return events, err
	}
	return events, nil
}
