// Package brittle is a stand-in for the upstreams of a service that fail when they have to reject too
// many requests. Each upstream works on a number of requests at a time, lets others wait, and rejects
// the rest. While the service is brittle, all answers say so. Some time later no request may wait any
// more, and an upstream that rejects more requests within a second than it bears fails: it closes all
// its connections and returns after a while as a new instance.
package brittle

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"woaddoor/internal/standin/replica"
)

// Options describe the upstreams of a service.
type Options struct {
	// Slots is how many requests an upstream works on at a time, and Queue how many others may wait.
	Slots, Queue int
	// Work returns how long an upstream works on a request.
	Work func() time.Duration
	// Bears is how many rejections within a second an upstream survives.
	Bears int
	// Handshake is how long a new connection occupies a slot.
	Handshake time.Duration
	// RestartAfter is how long a failed upstream is gone.
	RestartAfter time.Duration
	// Keeps is the fraction of requests on which an upstream goes on working after the caller has left.
	Keeps float64
	// OnStart and OnEnd are called with the ID of each instance that starts and that has ended.
	// The argument place identifies the upstream across its instances.
	OnStart func(place int, id, address string)
	OnEnd   func(place int, id string)
}

// Service is a set of upstreams.
type Service struct {
	opts Options

	// mu guards the fields below.
	mu        sync.Mutex
	instances map[int]*instance // by place
	started   int
	closed    bool
	// statedFrom is since when answers say that the upstreams are brittle, and enforcedFrom since when
	// no request may wait and rejections count. Both are zero while the upstreams are sound.
	statedFrom, enforcedFrom time.Time
	falls                    []Fall
	rejections               []Rejection
}

// Fall is the end of an instance that has rejected too many requests.
type Fall struct {
	At       time.Time
	Instance string
	// Age is the time since the instance started.
	Age time.Duration
}

// Rejection is a request that was rejected for want of room while rejections count.
type Rejection struct {
	At       time.Time
	Instance string
	Age      time.Duration
}

// instance is one run of an upstream.
type instance struct {
	id        string
	place     int
	startedAt time.Time
	replica   *replica.Replica
	ended     chan struct{} // closed at the end of the instance

	// The mutex of the service guards the fields below.
	running  int
	waiting  []chan struct{} // in order of arrival; closed when a slot is given
	rejected []time.Time     // within the last second
	over     bool
}

// New returns a service without upstreams.
func New(o Options) *Service {
	return &Service{opts: o, instances: make(map[int]*instance)}
}

// Start starts an upstream at a place.
func (s *Service) Start(place int) error {
	s.mu.Lock()
	s.started++
	u := &instance{id: fmt.Sprintf("b%d-%d", place, s.started), place: place, startedAt: time.Now(), ended: make(chan struct{})}
	s.mu.Unlock()
	r, err := replica.StartWith(u.id, replica.Hooks{
		Serve:     func(c *replica.Conn, r *replica.Request) bool { return s.serve(u, c, r) },
		Connected: func() { s.handshake(u) },
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		r.Close()
		return nil
	}
	u.replica = r
	s.instances[place] = u
	s.opts.OnStart(place, u.id, r.Address())
	return nil
}

// End ends the upstream at a place by itself, as a crash would, and restarts it later.
func (s *Service) End(place int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.instances[place]; u != nil {
		s.end(u)
	}
}

// end ends an instance and restarts the upstream later. The caller holds mu.
func (s *Service) end(u *instance) {
	if u.over {
		return
	}
	u.over = true
	delete(s.instances, u.place)
	close(u.ended)
	go u.replica.Close()
	time.AfterFunc(s.opts.RestartAfter, func() {
		s.opts.OnEnd(u.place, u.id)
		_ = s.Start(u.place) // a port is always free on loopback
	})
}

// Close ends all upstreams for good.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, u := range s.instances {
		u.over = true
		close(u.ended)
		go u.replica.Close()
	}
	clear(s.instances)
}

// SetBrittle makes the upstreams brittle: they say so from now on, and fail for rejections after the
// notice. Without stated, they become sound again.
func (s *Service) SetBrittle(stated bool, notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statedFrom, s.enforcedFrom = time.Time{}, time.Time{}
	if stated {
		s.statedFrom = time.Now()
		s.enforcedFrom = s.statedFrom.Add(notice)
	}
}

// Falls returns the falls so far, and Rejections the rejections that count.
func (s *Service) Falls() []Fall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fall(nil), s.falls...)
}

// Rejections returns the rejections that count.
func (s *Service) Rejections() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Rejection(nil), s.rejections...)
}

// Occupancy returns how many slots all upstreams have and how many are in use.
func (s *Service) Occupancy() (inUse, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.instances {
		inUse += u.running
		slots += s.opts.Slots
	}
	return inUse, slots
}

// headers returns the headers of an answer. The caller holds mu.
func (s *Service) headers(u *instance) []string {
	h := []string{replica.LoadHeader(u.running, len(u.waiting), s.opts.Slots)}
	if !s.statedFrom.IsZero() {
		h = append(h, replica.BrittleHeader(float64(s.opts.Bears)))
	}
	return h
}

// enforced reports whether rejections count. The caller holds mu.
func (s *Service) enforced(now time.Time) bool {
	return !s.enforcedFrom.IsZero() && !now.Before(s.enforcedFrom)
}

// handshake lets a new connection occupy a slot for a moment.
func (s *Service) handshake(u *instance) {
	if s.opts.Handshake == 0 {
		return
	}
	s.mu.Lock()
	u.running++
	s.mu.Unlock()
	time.Sleep(s.opts.Handshake)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(u)
}

// release frees a slot, or gives it to the request that waits longest. The caller holds mu.
func (s *Service) release(u *instance) {
	if len(u.waiting) > 0 {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
		return
	}
	u.running--
}

// serve handles one request.
func (s *Service) serve(u *instance, c *replica.Conn, r *replica.Request) bool {
	if !s.admit(u, c) {
		s.mu.Lock()
		headers := s.headers(u)
		s.mu.Unlock()
		c.RejectNotRun(r.ID(), headers...)
		return true
	}
	left := s.work(u, c)
	s.mu.Lock()
	s.release(u)
	headers, over := s.headers(u), u.over
	s.mu.Unlock()
	if left || over {
		return false
	}
	c.Respond(http.StatusOK, r.ID(), "whole", headers...)
	return true
}

// work takes the time of a request, and reports whether the caller has left before the end.
func (s *Service) work(u *instance, c *replica.Conn) (left bool) {
	d := s.opts.Work()
	began := time.Now()
	if left = c.WaitClosed(d); !left {
		_ = c.SetReadDeadline(time.Time{})
		return false
	}
	if rand.Float64() < s.opts.Keeps {
		select {
		case <-u.ended:
		case <-time.After(d - time.Since(began)):
		}
	}
	return true
}

// admit waits for a slot, and returns false if the request is rejected.
func (s *Service) admit(u *instance, c *replica.Conn) bool {
	s.mu.Lock()
	now := time.Now()
	queue := s.opts.Queue
	if s.enforced(now) {
		queue = 0
	}
	switch {
	case u.running < s.opts.Slots:
		u.running++
		s.mu.Unlock()
		return true
	case len(u.waiting) < queue:
		turn := make(chan struct{})
		u.waiting = append(u.waiting, turn)
		s.mu.Unlock()
		select {
		case <-turn:
			return true
		case <-u.ended:
			return false
		}
	}
	defer s.mu.Unlock()
	s.reject(u, now)
	return false
}

// reject counts a rejection, and ends the instance after too many. The caller holds mu.
func (s *Service) reject(u *instance, now time.Time) {
	if !s.enforced(now) || u.over {
		return
	}
	s.rejections = append(s.rejections, Rejection{now, u.id, now.Sub(u.startedAt)})
	for len(u.rejected) > 0 && now.Sub(u.rejected[0]) >= time.Second {
		u.rejected = u.rejected[1:]
	}
	u.rejected = append(u.rejected, now)
	if len(u.rejected) > s.opts.Bears {
		s.falls = append(s.falls, Fall{now, u.id, now.Sub(u.startedAt)})
		s.end(u)
	}
}
