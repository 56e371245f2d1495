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

// callers sends requests to the VMs and checks the answers.
type callers struct {
	fleet  *fleet
	lastID atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	sentAt   []time.Time
	servedAt []time.Time
	// revokedAt is when keyRevoked was removed from the configuration; zero before that.
	revokedAt time.Time
}

// callerTimeout is the deadline that callers state in their requests.
const callerTimeout = 3 * time.Second

// meanCallInterval is the mean time between two requests of one caller.
const meanCallInterval = 40 * time.Millisecond

// runNormal sends ordinary requests to randomly chosen VMs until ctx ends. It reuses connections,
// and now and then closes idle connections.
func (c *callers) runNormal(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 6 * time.Second}
	for ctx.Err() == nil {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		if random.IntN(20) == 0 {
			client.CloseIdleConnections()
		}
		path := []string{"/safe/x", "/once/x", "/stream/x"}[random.IntN(3)]
		c.call(client, v, path, fmt.Sprintf("%s %d", bodyNormal, random.IntN(1000)), keyKept)
		time.Sleep(time.Duration(random.Int64N(2 * int64(meanCallInterval))))
	}
}

// poisonInterval is the time between two poison requests.
const poisonInterval = 400 * time.Millisecond

// runPoison sends poison requests, which crash the upstream that runs them,
// to randomly chosen VMs until ctx ends.
func (c *callers) runPoison(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		go c.call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}, v, "/safe/review", bodyPoison, keyKept)
		time.Sleep(poisonInterval)
	}
}

// runPoisonParts sends requests that share nothing but a prompt part which crashes the upstream that
// answers them, to randomly chosen VMs until ctx ends.
func (c *callers) runPoisonParts(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		body := fmt.Sprintf("%s %d", bodyPoisonPart, n)
		go c.call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}, v, "/safe/review", body, keyKept)
		time.Sleep(poisonInterval)
	}
}

// promptOf returns the parts of the prompt of a request with a body. The first part is shared by all.
func promptOf(body string) []string {
	if strings.HasPrefix(body, bodyPoisonPart) {
		return []string{"system", "poison", body}
	}
	return []string{"system", "session", body}
}

// runRevokedKey sends requests with the key that is revoked during the run, until ctx ends.
func (c *callers) runRevokedKey(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	for ctx.Err() == nil {
		c.call(client, c.fleet.vms[random.IntN(len(c.fleet.vms))], "/safe/x", bodyNormal, keyRevoked)
		time.Sleep(10 * meanCallInterval)
	}
}

// newRequest returns a request to a VM that states the deadline and the VM's incarnation,
// and records that it is sent.
func (c *callers) newRequest(v *vm, id, path, body, key string) (*http.Request, error) {
	req, err := replica.NewCall(context.Background(), v.callerLink.address(), objects.SampleHost, path, id, key, body)
	if err != nil {
		return nil, err
	}
	replica.SetDeadline(req, callerTimeout)
	replica.SetPrompt(req, promptOf(body)...)
	req.Header.Set(headerVMIncarnation, c.fleet.upstreams.notices.recordSend(id, v.name))
	return req, nil
}

// call sends one request and checks its answer.
func (c *callers) call(client *http.Client, v *vm, path, body, key string) {
	id := fmt.Sprintf("id-%d", c.lastID.Add(1))
	req, err := c.newRequest(v, id, path, body, key)
	if err != nil {
		c.fleet.recorder.recordFault("cannot create a request: " + err.Error())
		return
	}
	vmIncarnation := req.Header.Get(headerVMIncarnation)
	sentAt := time.Now()
	undisturbed := v.undisturbed()
	c.mu.Lock()
	c.sentAt = append(c.sentAt, sentAt)
	revoked := !c.revokedAt.IsZero() && sentAt.Sub(c.revokedAt) > applyTimeout+settleTime
	c.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		return // without an answer there is nothing that could be checked
	}
	defer resp.Body.Close()
	if incarnation, err := strconv.Atoi(resp.Header.Get(headerUpstreamIncarnation)); err == nil {
		c.fleet.upstreams.notices.recordLeaving(vmIncarnation, incarnation)
	}
	responseBody, err := io.ReadAll(resp.Body)
	if key == keyRevoked {
		if revoked && undisturbed && v.undisturbed() {
			c.fleet.recorder.check(guaranteeRevokedKey, resp.StatusCode != http.StatusOK, id, "served with a revoked key by "+v.name)
		}
		return
	}
	c.checkResponse(id, path, resp, responseBody, err)
}

// checkResponse checks the answer to an ordinary or poison request.
func (c *callers) checkResponse(id, path string, resp *http.Response, body []byte, err error) {
	rec := c.fleet.recorder
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		if !strings.HasPrefix(path, "/once/") {
			return // a repeatable request may have run before this answer
		}
		time.Sleep(50 * time.Millisecond) // leaves time for a delayed send to reach an upstream
		rec.check(guaranteeNotRun, c.fleet.upstreams.runCount(id) == 0, id, fmt.Sprintf("ran although the answer has status %d", resp.StatusCode))
	case resp.StatusCode != http.StatusOK || err != nil:
		return // an error, or a stream that is visibly incomplete
	case strings.HasPrefix(path, "/stream/"):
		problem := checkEvents(id, body)
		rec.check(guaranteeEventOrder, problem == "", id, problem)
		c.recordServed()
	default:
		ok := string(body) == answerBody(id) && replica.HasSignature(resp)
		rec.check(guaranteeOwnAnswer, ok, id, fmt.Sprintf("got %q", body))
		c.recordServed()
	}
}

func (c *callers) recordServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servedAt = append(c.servedAt, time.Now())
}

// checkEvents returns what is wrong with a stream that ended normally, or "".
func checkEvents(id string, body []byte) string {
	events := 0
	lines := bufio.NewScanner(strings.NewReader(string(body)))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		events++
		if want := fmt.Sprintf("%s %d", id, events); data != want {
			return fmt.Sprintf("got event %q, want %q", data, want)
		}
	}
	if events != eventsPerStream {
		return fmt.Sprintf("the stream ended normally after %d of %d events", events, eventsPerStream)
	}
	return ""
}

// countSent returns how many requests were sent between two times.
func (c *callers) countSent(from, to time.Time) int { return countBetween(c, &c.sentAt, from, to) }

// countServed returns how many requests were served between two times.
func (c *callers) countServed(from, to time.Time) int { return countBetween(c, &c.servedAt, from, to) }

func countBetween(c *callers, times *[]time.Time, from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, at := range *times {
		if !at.Before(from) && !at.After(to) {
			count++
		}
	}
	return count
}
