package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// callers send requests to VMs and check what comes back.
type callers struct {
	fleet *fleet
	ids   atomic.Int64

	// mu guards the fields below.
	mu     sync.Mutex
	sent   []time.Time
	served []time.Time
	// revokedAt is when the key was taken away; zero while it was not.
	revokedAt time.Time
}

// callerWaits is how long a caller waits for an answer.
const callerWaits = 3 * time.Second

// callEvery is the time between two requests of one caller.
const callEvery = 40 * time.Millisecond

// run sends requests until ctx ends, at a VM that says that it is ready, over connections
// that are kept until the VM's process is gone.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 6 * time.Second}
	for ctx.Err() == nil {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		if random.IntN(20) == 0 {
			client.CloseIdleConnections()
		}
		path := []string{"/safe/x", "/once/x", "/stream/x"}[random.IntN(3)]
		c.call(client, v, path, fmt.Sprintf("%s %d", bodySound, random.IntN(1000)), keyKept)
		time.Sleep(time.Duration(random.Int64N(2 * int64(callEvery))))
	}
}

// deadlyEvery is the time between two deadly requests.
const deadlyEvery = 400 * time.Millisecond

// runDeadly sends a deadly content until ctx ends, at any VM.
func (c *callers) runDeadly(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		go c.call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}, v, "/safe/review", bodyDeadly, keyKept)
		time.Sleep(deadlyEvery)
	}
}

// runRevoked asks with the key that is taken away.
func (c *callers) runRevoked(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	for ctx.Err() == nil {
		c.call(client, c.fleet.vms[random.IntN(len(c.fleet.vms))], "/safe/x", bodySound, keyRevoked)
		time.Sleep(10 * callEvery)
	}
}

// call sends one request and checks its answer.
func (c *callers) call(client *http.Client, v *vm, path, body, key string) {
	id := fmt.Sprintf("id-%d", c.ids.Add(1))
	req, err := replica.NewCall(context.Background(), v.callers.address(), objects.SampleHost, path, id, key, body)
	if err != nil {
		c.fleet.tally.fault("request cannot be made: " + err.Error())
		return
	}
	replica.SetWait(req, callerWaits)
	via := c.fleet.upstreams.words.sends(id, v.name)
	req.Header.Set(headerVia, via)
	began := time.Now()
	inReach := v.inReach()
	c.mu.Lock()
	c.sent = append(c.sent, began)
	revoked := !c.revokedAt.IsZero() && began.Sub(c.revokedAt) > applyWithin+contact
	c.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		return // a closed connection promises nothing
	}
	defer resp.Body.Close()
	if life, err := strconv.Atoi(resp.Header.Get(headerLife)); err == nil {
		c.fleet.upstreams.words.passed(via, life)
	}
	raw, err := io.ReadAll(resp.Body)
	if key == keyRevoked {
		if revoked && inReach && v.inReach() {
			c.fleet.tally.check(promiseSettings, resp.StatusCode != http.StatusOK, id, "served with a key that was taken away at "+v.name)
		}
		return
	}
	c.judge(id, path, resp, raw, err)
}

// judge checks an answer.
func (c *callers) judge(id, path string, resp *http.Response, raw []byte, err error) {
	t := c.fleet.tally
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		if !strings.HasPrefix(path, "/once/") {
			return // what may run again may have run
		}
		time.Sleep(50 * time.Millisecond) // one that is sent late shows by then
		t.check(promiseNotRun, c.fleet.upstreams.ran(id) == 0, id, fmt.Sprintf("ran, and the answer is %d", resp.StatusCode))
	case resp.StatusCode != http.StatusOK || err != nil:
		return // a failure, or a stream that looks cut
	case strings.HasPrefix(path, "/stream/"):
		why := checkEvents(id, raw)
		t.check(promiseEvents, why == "", id, why)
		c.count()
	default:
		ok := string(raw) == answerTo(id) && replica.Sealed(resp)
		t.check(promiseOwn, ok, id, fmt.Sprintf("got %q", raw))
		c.count()
	}
}

func (c *callers) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = append(c.served, time.Now())
}

// checkEvents returns what is wrong with a stream that looks whole.
func checkEvents(id string, raw []byte) string {
	n := 0
	lines := bufio.NewScanner(strings.NewReader(string(raw)))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		n++
		if want := fmt.Sprintf("%s %d", id, n); data != want {
			return fmt.Sprintf("event %q where %q is due", data, want)
		}
	}
	if n != eventsEach {
		return fmt.Sprintf("looks whole after %d of %d events", n, eventsEach)
	}
	return ""
}

// sentIn returns how many requests were sent in a span.
func (c *callers) sentIn(from, to time.Time) int { return between(c, &c.sent, from, to) }

// servedIn returns how many requests were served in a span.
func (c *callers) servedIn(from, to time.Time) int { return between(c, &c.served, from, to) }

func between(c *callers, times *[]time.Time, from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range *times {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}
