package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// Request bodies that select the upstreams' behaviour.
const (
	bodyPoison     = "deadly"        // crashes the upstream that runs it
	bodyPoisonPart = "deadly prompt" // begins bodies whose prompt has a part that crashes the upstream
	bodyNormal     = "sound"
)

// Timing and stream length of the upstreams.
const (
	poisonExitDelay = 40 * time.Millisecond
	eventInterval   = 15 * time.Millisecond
	eventsPerStream = 6
)

// upstreams runs the upstream stand-ins of one service, each behind a proxy, and records the
// requests that reach them.
type upstreams struct {
	store    *objects.Store
	recorder *recorder
	notices  *noticeTracker
	// serveWith handles requests in place of serve if a trial sets it.
	serveWith func(*upstreamPosition, *replica.Conn, *replica.Request) bool
	// limits tracks the rate limits that upstreams advertise.
	limits *limitTracker

	// mu guards the fields below.
	mu              sync.Mutex
	random          *rand.Rand
	positions       []*upstreamPosition
	lastIncarnation int
	// runCounts is how often each request, by id, began to run. arrivals lists every request that
	// reached an upstream, rejected ones included.
	runCounts map[string]int
	arrivals  []arrival
	// poisonArrivals is when poison requests arrived, and poisonExits when upstreams crashed while
	// running a poison request.
	poisonArrivals, poisonExits []time.Time
	// partArrivals and partExits are the same for requests with the poison part.
	partArrivals, partExits []time.Time
	// failing makes every repeatable request fail.
	failing bool
	// evacuatedAt is when the evacuation of each evacuated data centre began.
	evacuatedAt map[string]time.Time
}

// upstreamPosition is a position in the fleet. When its upstream ends, another incarnation or
// another upstream replaces it there.
type upstreamPosition struct {
	dataCentre  string
	number      int
	id          string
	replica     *replica.Replica
	link        *proxy
	hanging     bool // accepts requests and never answers
	incarnation int
	leaving     bool          // announces in all its answers that it will end soon
	backoff     time.Duration // back-off asked for when the upstream rejects most requests; zero for none
	// drainingSince is when the store's entry first said that the upstream drains; zero before.
	drainingSince time.Time
}

func newUpstreams(store *objects.Store, rec *recorder, seed uint64) *upstreams {
	notices := newNoticeTracker(rec)
	return &upstreams{store: store, recorder: rec, notices: notices, limits: &limitTracker{notices: notices, advertised: make(map[int]*advertisedLimit)}, random: rand.New(rand.NewPCG(seed, 1)), runCounts: make(map[string]int), evacuatedAt: make(map[string]time.Time)}
}

// addPosition adds a position in a data centre and starts an upstream there.
func (u *upstreams) addPosition(dataCentre string) error {
	u.mu.Lock()
	position := &upstreamPosition{dataCentre: dataCentre, number: len(u.positions)}
	u.positions = append(u.positions, position)
	u.mu.Unlock()
	return u.startIncarnation(position)
}

// startIncarnation starts a new upstream at a position. At an even-numbered position the upstream
// has the id of its predecessor and a new incarnation, at an odd-numbered position a new id.
func (u *upstreams) startIncarnation(position *upstreamPosition) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastIncarnation++
	incarnation := u.lastIncarnation
	position.id = fmt.Sprintf("u%d", position.number)
	if position.number%2 == 1 {
		position.id = fmt.Sprintf("u%d-%d", position.number, incarnation)
	}
	position.hanging, position.leaving, position.backoff, position.drainingSince, position.incarnation = false, false, 0, time.Time{}, incarnation
	serve := u.serve
	if u.serveWith != nil {
		serve = u.serveWith
	}
	r, err := replica.Start(position.id, func(c *replica.Conn, got *replica.Request) bool { return serve(position, c, got) })
	if err != nil {
		return err
	}
	link, err := newProxyWith("127.0.0.1:0", r.Address(), u.notices.senders.recordProxied)
	if err != nil {
		r.Close()
		return err
	}
	position.replica, position.link = r, link
	u.putEntry(position, incarnation)
	return nil
}

// putEntry writes the store entry of the current upstream at a position. The caller holds mu.
func (u *upstreams) putEntry(position *upstreamPosition, incarnation int) {
	u.store.PutUpstream(objects.Upstream{ID: position.id, Address: position.link.address(), DataCentre: position.dataCentre, Incarnation: incarnation, Leaving: !position.drainingSince.IsZero()})
}

// instance identifies the running upstream at a position; it is empty while there is none.
func (u *upstreams) instance(position *upstreamPosition) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if position.replica == nil {
		return ""
	}
	return fmt.Sprintf("%s/%d", position.id, position.incarnation)
}

// kill ends the upstream at a position at once and starts another upstream after a delay. Until
// then the store still has the entry of the ended upstream,
// although nothing answers at the address in the entry.
func (u *upstreams) kill(position *upstreamPosition, restartAfter time.Duration) {
	u.mu.Lock()
	running, link, id := position.replica, position.link, position.id
	if running == nil {
		u.mu.Unlock()
		return
	}
	position.replica, position.link = nil, nil
	u.mu.Unlock()
	link.close()
	running.Close()
	time.AfterFunc(restartAfter, func() {
		u.store.DeleteUpstream(id)
		if err := u.startIncarnation(position); err != nil {
			u.recorder.recordFault("an upstream cannot be restarted: " + err.Error())
		}
	})
}

// serve handles one request and returns whether the connection stays open.
func (u *upstreams) serve(position *upstreamPosition, c *replica.Conn, r *replica.Request) bool {
	r.Header.Set(headerVMIncarnation, u.notices.senderOf(c, r))
	u.mu.Lock()
	u.arrivals = append(u.arrivals, newArrival(r))
	incarnation, link := position.incarnation, position.link
	headers := append(u.noticeHeaders(position), u.limits.headers(r.Header.Get(headerVMIncarnation), incarnation)...)
	chance := u.random.IntN(100)
	if position.backoff > 0 && chance < backoffRejectPercent {
		backoff := position.backoff
		u.mu.Unlock()
		u.reject(c, r, incarnation, link, append(headers, replica.RetryAfterHeader(backoff)), backoff)
		return true
	}
	u.runCounts[r.ID()]++
	runs, hanging, body := u.runCounts[r.ID()], position.hanging, string(r.BodyBytes)
	poisonPart := strings.HasPrefix(body, bodyPoisonPart)
	poison := body == bodyPoison || poisonPart
	arrivals, exits := &u.poisonArrivals, &u.poisonExits
	if poisonPart {
		arrivals, exits = &u.partArrivals, &u.partExits
	}
	if poison {
		*arrivals = append(*arrivals, time.Now())
	}
	fails := u.failing || u.random.IntN(50) == 0
	evacuatedAt, isEvacuated := u.evacuatedAt[position.dataCentre]
	drainingSince := position.drainingSince
	u.mu.Unlock()
	if !drainingSince.IsZero() {
		u.notices.checkDraining(r, link, time.Since(drainingSince))
	}
	if isEvacuated {
		u.notices.checkEvacuated(r, link, time.Since(evacuatedAt))
	}
	u.notices.checkArrival(r, incarnation, link)
	u.limits.checkArrival(r, incarnation, link)
	if strings.HasPrefix(r.URL.Path, "/once/") {
		u.recorder.check(guaranteeAtMostOnce, runs == 1, r.ID(), fmt.Sprintf("is run number %d", runs))
	}
	switch {
	case hanging:
		c.WaitClosed(10 * time.Second)
		return false
	case poison:
		time.Sleep(poisonExitDelay)
		u.mu.Lock()
		*exits = append(*exits, time.Now())
		u.mu.Unlock()
		u.kill(position, 700*time.Millisecond)
		return false
	case strings.HasPrefix(r.URL.Path, "/stream/") && !fails:
		return u.stream(c, r, chance, headers)
	case chance < lostAnswerPercent: // the request runs, and its answer is lost
		time.Sleep(10 * time.Millisecond)
		return false
	case chance < lostAnswerPercent+crossedAnswerPercent: // a late answer to another request precedes the right one
		c.Respond(http.StatusOK, "id-of-another", "answer to another")
	case fails && !strings.HasPrefix(r.URL.Path, "/once/"):
		c.Respond(http.StatusInternalServerError, r.ID(), "failed", headers...)
		return true
	}
	time.Sleep(10 * time.Millisecond)
	c.Respond(http.StatusOK, r.ID(), answerBody(r.ID()), headers...)
	return true
}

// noticeHeaders returns the headers by which a leaving upstream announces this.
// The caller holds mu.
func (u *upstreams) noticeHeaders(position *upstreamPosition) []string {
	if !position.leaving {
		return nil
	}
	return []string{replica.LeavingHeader, fmt.Sprintf("%s: %d", headerUpstreamIncarnation, position.incarnation)}
}

// reject refuses a request and asks for a back-off.
func (u *upstreams) reject(c *replica.Conn, r *replica.Request, incarnation int, link *proxy, headers []string, backoff time.Duration) {
	u.notices.checkArrival(r, incarnation, link)
	u.limits.checkArrival(r, incarnation, link)
	u.notices.recordBackoff(r.Header.Get(headerVMIncarnation), incarnation, backoff)
	c.RejectNotRun(r.ID(), headers...)
}

// Percentages of requests whose answer is lost or incomplete, and of requests whose answer is
// preceded by the answer to another request.
const (
	lostAnswerPercent    = 2
	crossedAnswerPercent = 2
	// backoffRejectPercent is the percentage of requests
	// that an upstream rejects while it asks for a back-off.
	backoffRejectPercent = 70
)

// setFailing sets whether every repeatable request fails.
func (u *upstreams) setFailing(failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failing = failing
}

// answerBody returns the full answer to a request.
func answerBody(id string) string { return "answer to " + id }

// stream answers with events, starting after the last event that the caller has received. At random
// stream closes the connection in the middle of an event,
// or repeats the last event that the caller has.
func (u *upstreams) stream(c *replica.Conn, r *replica.Request, chance int, headers []string) bool {
	from := r.LastEventID()
	c.BeginStream(r.ID(), headers...)
	if from > 0 && chance >= 50 {
		from--
	}
	for number := from + 1; number <= eventsPerStream; number++ {
		c.Event(number, fmt.Sprintf("%s %d", r.ID(), number))
		time.Sleep(eventInterval)
		if chance < lostAnswerPercent && number == eventsPerStream/2 {
			c.Chunk(fmt.Sprintf("id: %d\ndata: ", number+1))
			return false
		}
	}
	c.EndStream()
	return true
}

// pick returns the first position with a running upstream whose entry does not say
// that it drains, searching from index n, or nil if there is none.
func (u *upstreams) pick(n int) *upstreamPosition {
	return u.pickWhere(n, func(*upstreamPosition) bool { return true })
}

// pickInUse is pick for the upstreams that are expected to receive requests.
func (u *upstreams) pickInUse(n int) *upstreamPosition {
	return u.pickWhere(n, func(p *upstreamPosition) bool {
		_, evacuated := u.evacuatedAt[p.dataCentre]
		return !p.leaving && !p.hanging && !evacuated
	})
}

// pickWhere is pick for the positions that satisfy a condition, which is called with mu held.
func (u *upstreams) pickWhere(n int, satisfied func(*upstreamPosition) bool) *upstreamPosition {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := range u.positions {
		if p := u.positions[(n+k)%len(u.positions)]; p.replica != nil && p.drainingSince.IsZero() && satisfied(p) {
			return p
		}
	}
	return nil
}

// links returns the proxies of all running upstreams.
func (u *upstreams) links() []*proxy {
	u.mu.Lock()
	defer u.mu.Unlock()
	var links []*proxy
	for _, p := range u.positions {
		if p.link != nil {
			links = append(links, p.link)
		}
	}
	return links
}

// setHanging sets whether the upstream at a position accepts requests without ever answering.
func (u *upstreams) setHanging(position *upstreamPosition, hanging bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	position.hanging = hanging
}

// startDrain makes an upstream announce in its answers that it is leaving, and ends the upstream
// after the drain time. The upstream's entry in the store keeps the state ready for longer than
// drainTimeout, as if the store were unreachable.
func (u *upstreams) startDrain(position *upstreamPosition, extra time.Duration) {
	entryDelay := drainTimeout + time.Second + extra
	u.mu.Lock()
	position.leaving = true
	incarnation := position.incarnation
	u.mu.Unlock()
	running := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return position.incarnation == incarnation && position.replica != nil
	}
	time.AfterFunc(entryDelay, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if position.incarnation == incarnation && position.replica != nil {
			position.drainingSince = time.Now()
			u.putEntry(position, incarnation)
		}
	})
	time.AfterFunc(entryDelay+drainTimeout+time.Second, func() {
		if running() {
			u.kill(position, 300*time.Millisecond)
		}
	})
}

// advertiseLimit makes an upstream advertise a rate limit for the duration d.
func (u *upstreams) advertiseLimit(position *upstreamPosition, perSecond float64, d time.Duration) {
	u.mu.Lock()
	incarnation := position.incarnation
	u.mu.Unlock()
	u.limits.start(incarnation, perSecond)
	time.AfterFunc(d, func() { u.limits.stop(incarnation) })
}

// startEvacuation records that a data centre is being evacuated. It returns false if the
// evacuation had begun before.
func (u *upstreams) startEvacuation(dataCentre string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, already := u.evacuatedAt[dataCentre]; already {
		return false
	}
	u.evacuatedAt[dataCentre] = time.Now()
	u.recorder.check(guaranteeEvacuation, true, "", "")
	return true
}

// endEvacuation records that the evacuation of a data centre has ended.
func (u *upstreams) endEvacuation(dataCentre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.evacuatedAt, dataCentre)
}

// setBackoff makes upstreams reject most requests and ask for a back-off; zero ends the back-off.
func (u *upstreams) setBackoff(positions []*upstreamPosition, backoff time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, position := range positions {
		position.backoff = backoff
	}
}
