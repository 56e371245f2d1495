package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// promises are the statuses that promise that a request has not run.
var promises = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// workTime is how long a request of the application works.
const workTime = 60 * time.Millisecond

// load sends requests of some clients to all machines for a while, and calls check with each answer.
func (d *deployment) load(clients int, pause, length time.Duration, next func() attempt, check func(attempt, result)) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{rec: d.rec, to: d.machines[i%len(d.machines)].frontend}
			defer c.close()
			for time.Now().Before(end) {
				a := next()
				check(a, c.send(a))
				time.Sleep(time.Duration(rand.Int63n(int64(2 * pause))))
			}
		}()
	}
	wg.Wait()
}

// booking returns an unsafe request.
func (d *deployment) booking() attempt {
	return attempt{id: d.nextID(), method: http.MethodPost, path: unsafePath, key: key, body: `{"order":1}`, deadline: callTimeout}
}

// tally counts which requests ran, and how often.
type tally struct {
	mu  sync.Mutex
	ran map[string]int
}

func (t *tally) add(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran[id]++
}

func (t *tally) count(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// ownRefusal lets one server fail a part of its requests with a 503 of its own, after it has run them.
func ownRefusal(d *deployment, trouble bool) (bool, error) {
	t := &tally{ran: map[string]int{}}
	var failing atomic.Bool
	for i, zone := range zones {
		grey := i == 0
		if _, err := d.add(appService, zone, 6, func(s *server, c net.Conn, r *request) bool {
			t.add(r.id)
			s.work(r.id, workTime)
			if grey && failing.Load() && rand.Float64() < 0.45 {
				d.rec.event("fails", r.id, s.id, "503 after the work, without X-Not-Executed")
				return s.respond(c, http.StatusServiceUnavailable, r.id, "the order could not be stored")
			}
			return s.respond(c, http.StatusOK, r.id, "done")
		}); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var answers, refused, brokenPromises atomic.Int64
	check := func(a attempt, r result) {
		answers.Add(1)
		if !promises[r.status] {
			return
		}
		refused.Add(1)
		if t.count(a.id) > 0 {
			if brokenPromises.Add(1) <= 3 {
				d.rec.note("REFUSED: attempt %s was answered %d with signature %q and had run", a.id, r.status, r.header.Get("X-Response-Signature"))
			}
		}
	}
	d.load(18, 70*time.Millisecond, 3*time.Second, d.booking, check)
	failing.Store(trouble)
	d.load(18, 70*time.Millisecond, 6500*time.Millisecond, d.booking, check)
	d.rec.note("%d unsafe requests, %d answered with a promise, of which %d had run", answers.Load(), refused.Load(), brokenPromises.Load())
	return brokenPromises.Load() > 0, nil
}

// surplusRefusal lets servers send a second answer late, in the place of the one due next: a refusal as the pages show it.
func surplusRefusal(d *deployment, trouble bool) (bool, error) {
	t := &tally{ran: map[string]int{}}
	var spoiling atomic.Bool
	var surplus atomic.Int64
	for i, zone := range zones {
		faulty := i < 2 // a share of 0.6 of three servers
		var mu sync.Mutex
		owed := map[net.Conn]bool{}
		if _, err := d.add(appService, zone, 6, func(s *server, c net.Conn, r *request) bool {
			mu.Lock()
			late := owed[c]
			delete(owed, c)
			mu.Unlock()
			if late {
				surplus.Add(1)
				d.rec.event("surplus", r.id, s.id, "a second answer to the request before, in the place of the answer to this one")
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			t.add(r.id)
			s.work(r.id, workTime)
			kept := s.respond(c, http.StatusOK, r.id, "done")
			if faulty && spoiling.Load() && rand.Float64() < 0.03 {
				mu.Lock()
				owed[c] = true
				mu.Unlock()
			}
			return kept
		}); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var answers, refused, brokenPromises atomic.Int64
	check := func(a attempt, r result) {
		answers.Add(1)
		if !promises[r.status] {
			return
		}
		refused.Add(1)
		time.Sleep(200 * time.Millisecond)
		if t.count(a.id) > 0 {
			if brokenPromises.Add(1) <= 3 {
				d.rec.note("REFUSED: attempt %s was answered %d and ran", a.id, r.status)
			}
		}
	}
	d.load(12, 50*time.Millisecond, 3*time.Second, d.booking, check)
	spoiling.Store(trouble)
	d.load(12, 50*time.Millisecond, 5600*time.Millisecond, d.booking, check)
	d.rec.note("%d unsafe requests, %d surplus answers, %d answered with a promise, of which %d ran", answers.Load(), surplus.Load(), refused.Load(), brokenPromises.Load())
	return brokenPromises.Load() > 0, nil
}

// configNumber changes the configuration: a key is taken away, and a time-out changes. The time-out is written with a
// decimal point.
func configNumber(d *deployment, trouble bool) (bool, error) {
	t := &tally{ran: map[string]int{}}
	for _, zone := range zones {
		if _, err := d.add(appService, zone, 6, func(s *server, c net.Conn, r *request) bool {
			t.add(r.id)
			s.work(r.id, 10*time.Millisecond)
			return s.respond(c, http.StatusOK, r.id, "done")
		}); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	timeout := "2500"
	if trouble {
		timeout = "2500.0"
	}
	acknowledged := d.store.put("config", "main", d.config(timeout, key))
	d.rec.note("version %d is accepted: %s has no key %s any more, and TimeoutMs of the unsafe route is %s", d.version, tenant, otherKey, timeout)
	var late, ran, refused atomic.Int64
	var lastRun atomic.Int64
	next := func() attempt {
		a := d.booking()
		a.key, a.sent = otherKey, time.Now()
		return a
	}
	d.load(12, 50*time.Millisecond, 8*time.Second, next, func(a attempt, r result) {
		since := a.sent.Sub(acknowledged)
		switch {
		case r.status == http.StatusUnauthorized:
			refused.Add(1)
		case t.count(a.id) > 0:
			lastRun.Store(max(lastRun.Load(), int64(since)))
			ran.Add(1)
			if since > configApply && late.Add(1) <= 3 {
				d.rec.note("CONFIG: attempt %s, sent %.3f s after the version was accepted, ran with the key that it took away", a.id, since.Seconds())
			}
		}
	})
	d.rec.note("requests with the key: %d ran, the last sent %.3f s after the version was accepted, %d of them later than ConfigApplyMs; %d were refused with 401",
		ran.Load(), time.Duration(lastRun.Load()).Seconds(), late.Load(), refused.Load())
	return late.Load() > 0, nil
}

// configApply is ConfigApplyMs.
const configApply = 2 * time.Second
