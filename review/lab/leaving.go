//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// Figures of the case.
const (
	leavingUpstreams = 4   // at a time
	leavingRate      = 150 // requests a second
	leavingWork      = 150 * time.Millisecond
	leavingSteps     = 8
	leavingEvery     = 4 * time.Second
	leavingDeadline  = 4 * time.Second
	drainLimit       = 2 * time.Second
	// servesOn is how long an upstream serves after its entry was removed: DrainMs and a little longer.
	servesOn = drainLimit + 400*time.Millisecond
	// cutBefore is the longest time from the cut of the watches to the removal of an entry.
	cutBefore = 300 * time.Millisecond
)

type leavingPlay struct {
	*system
	mu sync.Mutex
	// removed is when the entry of an upstream was removed.
	removed   map[string]time.Time
	late      int
	latest    time.Duration
	answers   map[int]int
	noAnswers int
	// cut holds the attempts that ran at an upstream when it ended.
	cut int
}

// playLeaving removes the entries of upstreams one after the other, which then serve on for DrainMs and a little
// longer. The store cuts the watches that wait a moment before.
func playLeaving(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.server.SetKeepAlivesEnabled(false) // a call, a connection
	p := &leavingPlay{system: s, removed: make(map[string]time.Time), answers: make(map[int]int)}
	var all, listed []*upstream
	defer func() {
		for _, u := range all {
			u.close()
		}
	}()
	add := func() error {
		u, err := newUpstream(r, fmt.Sprintf("i-%d", len(all)+1), zones[len(all)%len(zones)], p.work)
		if err != nil {
			return err
		}
		all, listed = append(all, u), append(listed, u)
		s.store.Put("servers", u.id, u.entry("ready"))
		r.note("%s is listed", u.id)
		return nil
	}
	for range leavingUpstreams {
		if err := add(); err != nil {
			return false, err
		}
	}
	s.store.Put("config", "main", configuration(7, map[string]any{
		"Name": "r-status", "Host": host, "PathPrefix": "/status/", "Kind": "unsafe", "Service": service, "TimeoutMs": 2000,
		"TargetLatencyMs": 300, "Priority": 2, "MaxAttempts": 1, "Anonymous": false,
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
	time.Sleep(3 * time.Second) // all machines are in touch
	random := rand.New(rand.NewPCG(1, 1))
	for range leavingSteps {
		if trouble {
			r.note("the store cuts %d watches", s.gate.cutWatches())
		}
		time.Sleep(time.Duration(random.Float64() * float64(cutBefore)))
		if err := add(); err != nil {
			cancel()
			return false, err
		}
		u := listed[0]
		listed = listed[1:]
		p.remove(u)
		time.Sleep(leavingEvery)
	}
	cancel()
	wg.Wait()
	return p.judge(), nil
}

// remove removes the entry of an upstream, which ends after servesOn.
func (p *leavingPlay) remove(u *upstream) {
	p.store.Delete("servers", u.id)
	p.mu.Lock()
	p.removed[u.id] = time.Now()
	p.mu.Unlock()
	p.record.note("the entry of %s is removed", u.id)
	time.AfterFunc(servesOn, func() {
		p.record.note("%s ends", u.id)
		u.close()
	})
}

func (p *leavingPlay) work(u *upstream, w http.ResponseWriter, r *http.Request, id string) {
	p.mu.Lock()
	at, gone := p.removed[u.id]
	if after := time.Since(at); gone && after > drainLimit {
		p.late++
		p.latest = max(p.latest, after)
		p.record.note("%s gets attempt %s %v after its entry was removed", u.id, id, after.Round(time.Millisecond))
	}
	p.mu.Unlock()
	select {
	case <-time.After(leavingWork):
	case <-r.Context().Done():
		p.mu.Lock()
		p.cut++
		p.mu.Unlock()
		p.record.note("attempt %s is cut at %s", id, u.id)
		return
	}
	_, _ = io.WriteString(w, "done "+id) // fails if the caller has left
}

func (p *leavingPlay) callers(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(client, n)
		}()
		time.Sleep(time.Second / leavingRate)
	}
	wg.Wait()
}

func (p *leavingPlay) send(client *http.Client, n int) {
	id := fmt.Sprintf("%016x", n+1)
	ctx, cancel := context.WithTimeout(context.Background(), leavingDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front(p.machines[n%len(p.machines)])+"/status/2f", http.NoBody)
	if err != nil {
		return
	}
	request.Host = host
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Key": apiKey, "X-Deadline-Ms": strconv.FormatInt(leavingDeadline.Milliseconds(), 10)} {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.noAnswers++
		p.record.note("caller got no answer to attempt %s: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	p.answers[answer.StatusCode]++
	if answer.StatusCode != http.StatusOK {
		p.record.note("caller got %d for attempt %s", answer.StatusCode, id)
	}
}

// judge reports whether a request reached an upstream more than DrainMs after its entry was removed.
func (p *leavingPlay) judge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.say("answers by status %v, none %d; %d attempts reached an upstream over %v after its entry was removed, at most %v; %d attempts were cut when their upstream ended",
		p.answers, p.noAnswers, p.late, drainLimit, p.latest.Round(time.Millisecond), p.cut)
	return p.late > 0
}
