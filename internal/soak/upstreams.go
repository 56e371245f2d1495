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

// Bodies that upstreams do something about.
const (
	bodyDeadly = "deadly" // ends the upstream that begins to run it
	bodySound  = "sound"
)

// Times of upstreams.
const (
	endsAfter  = 40 * time.Millisecond
	eventEvery = 15 * time.Millisecond
	eventsEach = 6
)

// upstreams are the stand-ins of a service, each behind a proxy, and what came to them.
type upstreams struct {
	store *objects.Store
	tally *tally
	words *words
	// limits are what upstreams name.
	limits *limits

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	places []*place
	lives  int
	// runs counts how often a request was begun, arrivals all that came within a second
	// after the start.
	runs     map[string]int
	arrivals []arrival
	// deadlyAt are when deadly requests came, endedAt when upstreams ended under them.
	deadlyAt, endedAt []time.Time
	harmless          bool
	// failing has every answer that may run again fail.
	failing bool
	// evacuated is since when data centres are evacuated.
	evacuated map[string]time.Time
}

// arrival is a request that came to an upstream.
type arrival struct {
	at time.Time
	id string
}

// place is where one upstream after the other stands.
type place struct {
	dataCentre string
	number     int
	id         string
	replica    *replica.Replica
	link       *proxy
	mute       bool // it takes requests and says nothing
	life       int
	leaving    bool          // it says so in all its answers
	rest       time.Duration // it turns most away and asks for this; zero for none
}

func newUpstreams(store *objects.Store, t *tally, seed uint64) *upstreams {
	w := newWords(t)
	return &upstreams{store: store, tally: t, words: w, limits: &limits{words: w, spans: make(map[int]*limitSpan)}, random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int), evacuated: make(map[string]time.Time)}
}

// start starts an upstream at a new place.
func (u *upstreams) start(dataCentre string) error {
	u.mu.Lock()
	p := &place{dataCentre: dataCentre, number: len(u.places)}
	u.places = append(u.places, p)
	u.mu.Unlock()
	return u.begin(p)
}

// begin starts a life at a place, every other one under its former id.
func (u *upstreams) begin(p *place) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lives++
	born := u.lives
	p.id = fmt.Sprintf("u%d", p.number)
	if p.number%2 == 1 {
		p.id = fmt.Sprintf("u%d-%d", p.number, born)
	}
	p.mute, p.leaving, p.rest, p.life = false, false, 0, born
	r, err := replica.Start(p.id, func(c *replica.Conn, got *replica.Request) bool { return u.serve(p, c, got) })
	if err != nil {
		return err
	}
	link, err := newProxy("127.0.0.1:0", r.Address())
	if err != nil {
		r.Close()
		return err
	}
	p.replica, p.link = r, link
	u.list(p, born)
	return nil
}

// list writes the entry of a place's life. The caller holds mu.
func (u *upstreams) list(p *place, born int) {
	u.store.PutUpstream(objects.Upstream{ID: p.id, Address: p.link.address(), DataCentre: p.dataCentre, Born: born})
}

// end ends the life at a place, at once, and has another begin after a time; its entry
// lapses meanwhile.
func (u *upstreams) end(p *place, back time.Duration) {
	u.mu.Lock()
	r, link, id := p.replica, p.link, p.id
	if r == nil {
		u.mu.Unlock()
		return
	}
	p.replica, p.link = nil, nil
	u.mu.Unlock()
	link.close()
	r.Close()
	time.AfterFunc(back, func() {
		u.store.DeleteUpstream(id)
		if err := u.begin(p); err != nil {
			u.tally.fault("upstream does not come back: " + err.Error())
		}
	})
}

// serve answers one request.
func (u *upstreams) serve(p *place, c *replica.Conn, r *replica.Request) bool {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{time.Now(), r.ID()})
	life, link := p.life, p.link
	said := append(u.said(p), u.limits.answers(r.Header.Get(headerVia), life)...)
	chance := u.random.IntN(100)
	if p.rest > 0 && chance < restsPart {
		rest := p.rest
		u.mu.Unlock()
		u.turnAway(c, r, life, link, append(said, replica.Rest(rest)), rest)
		return true
	}
	u.runs[r.ID()]++
	runs, mute, body := u.runs[r.ID()], p.mute, string(r.Payload)
	deadly := body == bodyDeadly && !u.harmless
	if body == bodyDeadly {
		u.deadlyAt = append(u.deadlyAt, time.Now())
	}
	fails := u.failing || u.random.IntN(50) == 0
	evacuated, emptied := u.evacuated[p.dataCentre]
	u.mu.Unlock()
	if emptied {
		u.words.cameTo(r, time.Since(evacuated))
	}
	u.words.came(r, life, link)
	u.limits.came(r, life, link)
	if strings.HasPrefix(r.URL.Path, "/once/") {
		u.tally.check(promiseOnce, runs == 1, r.ID(), fmt.Sprintf("runs for the %d. time", runs))
	}
	switch {
	case mute:
		c.WaitGone(10 * time.Second)
		return false
	case deadly:
		time.Sleep(endsAfter)
		u.mu.Lock()
		u.endedAt = append(u.endedAt, time.Now())
		u.mu.Unlock()
		u.end(p, 700*time.Millisecond)
		return false
	case strings.HasPrefix(r.URL.Path, "/stream/") && !fails:
		return u.stream(c, r, chance, said)
	case chance < losesPart: // it runs, and its answer is lost
		time.Sleep(10 * time.Millisecond)
		return false
	case chance < losesPart+crossedPart: // another's answer comes first, late
		c.Whole(http.StatusOK, "id-of-another", "answer to another")
	case fails && !strings.HasPrefix(r.URL.Path, "/once/"):
		c.Whole(http.StatusInternalServerError, r.ID(), "failed", said...)
		return true
	}
	time.Sleep(10 * time.Millisecond)
	c.Whole(http.StatusOK, r.ID(), answerTo(r.ID()), said...)
	return true
}

// said returns what an upstream says of itself in an answer. The caller holds mu.
func (u *upstreams) said(p *place) []string {
	if !p.leaving {
		return nil
	}
	return []string{replica.Leaving, fmt.Sprintf("%s: %d", headerLife, p.life)}
}

// turnAway refuses a request and asks for a rest.
func (u *upstreams) turnAway(c *replica.Conn, r *replica.Request, life int, link *proxy, said []string, rest time.Duration) {
	u.words.came(r, life, link)
	u.limits.came(r, life, link)
	u.words.asks(r.Header.Get(headerVia), life, rest)
	c.Shed(r.ID(), said...)
}

// Parts in a hundred of answers that are lost or broken off, and before which another's
// comes.
const (
	losesPart   = 2
	crossedPart = 2
	// restsPart is the part that an upstream turns away which asks for rests.
	restsPart = 70
)

// setFailing has every answer fail that may run again, or no more.
func (u *upstreams) setFailing(failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failing = failing
}

// answerTo is the whole answer to a request.
func answerTo(id string) string { return "answer to " + id }

// stream answers with events, from where the caller has them. By chance it breaks off in
// the midst of one, or goes on from one event before.
func (u *upstreams) stream(c *replica.Conn, r *replica.Request, chance int, said []string) bool {
	from := r.LastEvent()
	c.BeginStream(r.ID(), said...)
	if from > 0 && chance >= 50 {
		from--
	}
	for n := from + 1; n <= eventsEach; n++ {
		c.Event(n, fmt.Sprintf("%s %d", r.ID(), n))
		time.Sleep(eventEvery)
		if chance < losesPart && n == eventsEach/2 {
			c.Chunk(fmt.Sprintf("id: %d\ndata: ", n+1))
			return false
		}
	}
	c.EndStream()
	return true
}

// ran tells how often a request has begun to run.
func (u *upstreams) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// some returns a place that an upstream stands at.
func (u *upstreams) some(n int) *place {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := range u.places {
		if p := u.places[(n+k)%len(u.places)]; p.replica != nil {
			return p
		}
	}
	return nil
}

// links returns the links to all upstreams.
func (u *upstreams) links() []*proxy {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*proxy
	for _, p := range u.places {
		if p.link != nil {
			out = append(out, p.link)
		}
	}
	return out
}

// setMute has an upstream take requests and say nothing, or answer again.
func (u *upstreams) setMute(p *place, mute bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.mute = mute
}

// leave has an upstream say in its answers that it leaves, and end when it may. Its entry
// says for a time beyond the bound that it is ready, as one of a store that is away.
func (u *upstreams) leave(p *place, beyond time.Duration) {
	listedAfter := drainWithin + time.Second + beyond
	u.mu.Lock()
	p.leaving = true
	life := p.life
	u.mu.Unlock()
	present := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return p.life == life && p.replica != nil
	}
	time.AfterFunc(listedAfter, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if p.life == life && p.replica != nil {
			u.store.PutUpstream(objects.Upstream{ID: p.id, Address: p.link.address(), DataCentre: p.dataCentre, Born: life, Leaving: true})
		}
	})
	time.AfterFunc(listedAfter+drainWithin+time.Second, func() {
		if present() {
			u.end(p, 300*time.Millisecond)
		}
	})
}

// limit has an upstream name a limit for a time.
func (u *upstreams) limit(p *place, perSecond float64, d time.Duration) {
	u.mu.Lock()
	life := p.life
	u.mu.Unlock()
	u.limits.begin(life, perSecond)
	time.AfterFunc(d, func() { u.limits.end(life) })
}

// evacuate notes that a data centre is evacuated, and tells whether it was not yet.
func (u *upstreams) evacuate(dc string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, already := u.evacuated[dc]; already {
		return false
	}
	u.evacuated[dc] = time.Now()
	u.tally.check(promiseEmptied, true, "", "")
	return true
}

// takeBack notes that the evacuation of a data centre ends.
func (u *upstreams) takeBack(dc string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.evacuated, dc)
}

// setRest has upstreams turn most of what they get away and ask for a rest, or no more.
func (u *upstreams) setRest(places []*place, rest time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range places {
		p.rest = rest
	}
}

// checkHeld checks how often deadly requests came to upstreams later than contact after the
// third had ended. No fault excuses more: what is held outlasts them.
func (u *upstreams) checkHeld() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.endedAt) < 3 {
		return
	}
	late := 0
	for _, at := range u.deadlyAt {
		if at.Sub(u.endedAt[2]) > contact {
			late++
		}
	}
	u.tally.check(promiseHeld, late <= 3, bodyDeadly, fmt.Sprintf("came %d times later than %v after the third of %d ends", late, contact, len(u.endedAt)))
}

// checkBudget checks that no window of ten seconds has more repeated arrivals than the
// budget allows, by the requests that callers sent.
func (u *upstreams) checkBudget(sentIn func(from, to time.Time) int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := make(map[string]bool, len(u.arrivals))
	var repeats []time.Time
	for _, a := range u.arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	for i, last := range repeats {
		n := 0
		for _, at := range repeats[:i+1] {
			if last.Sub(at) < budgetWindow {
				n++
			}
		}
		allowed := retryRatio*float64(sentIn(last.Add(-2*budgetWindow), last)) + retrySlack
		u.tally.check(promiseBudget, float64(n) <= allowed, "all", fmt.Sprintf("%d repeats in %v, %.0f are allowed", n, budgetWindow, allowed))
	}
}
