//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// Figures of the case. The upstreams begin a run, send the head of its stream, and its first event after firstEvent.
const (
	refusedUpstreams  = 6
	refusedRate       = 12 // requests a second
	refusedLength     = 16 * time.Second
	refusedTimeout    = 4 * time.Second // of the route
	refusedDeadline   = 5 * time.Second // of the callers
	refusedFirstEvent = 700 * time.Millisecond
	refusedEvents     = 6
	refusedGap        = 50 * time.Millisecond
	darkAfter         = 6 * time.Second
	darkFor           = 4500 * time.Millisecond
)

// refusedPlay is what the upstreams and the callers of the case saw.
type refusedPlay struct {
	*system
	mu sync.Mutex
	// ran holds the attempts that an upstream began to run, and waiting the runs without an event by upstream.
	ran     map[string]string
	waiting map[*upstream]int
	// answers holds the status of the answer to each attempt.
	answers map[string]int
	whole   int
}

// playRefused sends streams that may not be resumed. One of the upstreams falls silent for a while.
func playRefused(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	p := &refusedPlay{system: s, ran: make(map[string]string), waiting: make(map[*upstream]int), answers: make(map[string]int)}
	var upstreams []*upstream
	for i := range refusedUpstreams {
		u, err := newUpstream(r, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], p.work)
		if err != nil {
			return false, err
		}
		defer u.close()
		upstreams = append(upstreams, u)
		s.store.Put("servers", u.id, u.entry("ready"))
	}
	s.store.Put("config", "main", configuration(7, map[string]any{
		"Name": "r-report", "Host": host, "PathPrefix": "/report/", "Kind": "streaming", "Service": service, "TimeoutMs": refusedTimeout.Milliseconds(),
		"TargetLatencyMs": 1000, "GapTargetMs": 1200, "Priority": 1, "MaxAttempts": 1, "Anonymous": false, "Resumable": false,
	}))
	if err := s.startMachines(); err != nil {
		return false, err
	}
	p.play(upstreams, trouble)
	return p.judge(), nil
}

// play sends the requests, and makes one upstream dark.
func (p *refusedPlay) play(upstreams []*upstream, trouble bool) {
	var wg sync.WaitGroup
	began := time.Now()
	dark := false
	for n := 0; time.Since(began) < refusedLength; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.job(n)
		}()
		time.Sleep(time.Second / refusedRate)
		if trouble && !dark && time.Since(began) > darkAfter {
			dark = true
			u := p.busiest(upstreams)
			p.record.note("upstream %s falls silent for %v", u.id, darkFor)
			u.goDark(darkFor)
		}
	}
	wg.Wait()
}

// busiest returns the upstream with most runs that have not sent an event.
func (p *refusedPlay) busiest(upstreams []*upstream) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := upstreams[0]
	for _, u := range upstreams {
		if p.waiting[u] > p.waiting[best] {
			best = u
		}
	}
	return best
}

// work runs a request: its head is sent when the run begins.
func (p *refusedPlay) work(u *upstream, w http.ResponseWriter, r *http.Request, id string) {
	p.mu.Lock()
	p.ran[id] = u.id
	p.waiting[u]++
	p.mu.Unlock()
	p.record.note("%s runs attempt %s of job %s", u.id, id, r.Header.Get("Job"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	time.Sleep(refusedFirstEvent)
	lit := u.awaitLight(r)
	p.mu.Lock()
	p.waiting[u]--
	p.mu.Unlock()
	for n := 1; lit && n <= refusedEvents; n++ {
		_, _ = io.WriteString(w, event(n, 60)) // fails if the caller has left
		flusher.Flush()
		time.Sleep(refusedGap)
		lit = u.awaitLight(r)
	}
}

// job sends a request, and once more under a new id if the first was refused with the promise that it has not run.
func (p *refusedPlay) job(n int) {
	began := time.Now()
	for try := range 2 {
		id := fmt.Sprintf("%08x%08x", n, try)
		status, after := p.send(n, id, refusedDeadline-time.Since(began))
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(after)
	}
}

// send sends one request and returns the status of its answer, and when to come back.
func (p *refusedPlay) send(n int, id string, deadline time.Duration) (status int, after time.Duration) {
	m := p.machines[n%len(p.machines)]
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front(m)+"/report/2f", http.NoBody)
	if err != nil {
		return 0, 0
	}
	request.Host, request.Close = host, true
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Key": apiKey, "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Job": strconv.Itoa(n)} {
		request.Header.Set(name, value)
	}
	p.record.note("caller sends attempt %s of job %d to %s, deadline %d ms", id, n, m.name, deadline.Milliseconds())
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		p.record.note("caller got no answer to attempt %s: %v", id, err)
		return 0, 0
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	p.record.note("caller got %d, %d bytes, Retry-After %q for attempt %s (%v)", answer.StatusCode, len(body), answer.Header.Get("Retry-After"), id, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[id] = answer.StatusCode
	if answer.StatusCode == http.StatusOK && err == nil {
		p.whole++
	}
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	return answer.StatusCode, time.Duration(seconds * float64(time.Second))
}

// judge reports whether an attempt that has run was answered with a status that promises that it has not.
func (p *refusedPlay) judge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, jobs := 0, make(map[string]int)
	for id, by := range p.ran {
		jobs[id[:8]]++
		switch p.answers[id] {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			count++
			p.record.say("REFUSED: attempt %s ran at %s and was answered with %d", id, by, p.answers[id])
		}
	}
	twice := 0
	for _, n := range jobs {
		if n > 1 {
			twice++
		}
	}
	p.record.say("%d answers, %d whole streams, %d runs; %d runs answered with a promise that they were none; %d jobs were run again by their callers", len(p.answers), p.whole, len(p.ran), count, twice)
	return count > 0
}
