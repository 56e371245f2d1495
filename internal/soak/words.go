package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"woaddoor/internal/standin/replica"
)

// Bounds on what comes to upstreams that want nothing more.
const (
	// drainWithin is how soon after a VM has passed on that an upstream leaves it gets
	// nothing more of it.
	drainWithin = 2 * time.Second
	// restLeeway is for how long after an upstream has asked for a rest more may come, and
	// restMost how many requests may from then on.
	restLeeway = 500 * time.Millisecond
	restMost   = 2
)

// Headers of the soak's own: the life of a VM that a request is sent to, and the life of an
// upstream that answers.
const (
	headerVia  = "X-Via"
	headerLife = "X-Life"
)

// words are what upstreams have said to VMs, and what came to them all the same.
type words struct {
	tally *tally

	// mu guards the fields below.
	mu sync.Mutex
	// present is the life of each VM; a pause ends one too.
	present map[string]int
	// sent is when callers sent their requests, by id.
	sent map[string]time.Time
	// leaving is when a VM has passed on that an upstream leaves.
	leaving map[spoken]time.Time
	rests   map[spoken][]*rest
	// inReach tells of each VM whether no fault excuses it.
	inReach map[string]func() bool
}

// spoken is a life of an upstream and the life of the VM that it spoke to.
type spoken struct {
	via  string
	life int
}

// rest is one that an upstream has asked for, and how many requests came within it.
type rest struct {
	asked time.Time
	lasts time.Duration
	came  int
}

func newWords(t *tally) *words {
	return &words{
		tally: t, present: make(map[string]int), sent: make(map[string]time.Time), leaving: make(map[spoken]time.Time),
		rests: make(map[spoken][]*rest), inReach: make(map[string]func() bool),
	}
}

// knows notes a VM.
func (w *words) knows(v *vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inReach[v.name] = v.inReach
}

// begins notes that another life of a VM begins, or that it wakes from a pause.
func (w *words) begins(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present[vm]++
}

// sends notes that a caller sends a request, and returns the life of the VM that it goes
// to.
func (w *words) sends(id, vm string) (via string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = time.Now()
	return w.via(vm)
}

// isPresent tells whether a life of a VM goes on.
func (w *words) isPresent(via string) bool {
	vm, _, _ := strings.Cut(via, " ")
	w.mu.Lock()
	defer w.mu.Unlock()
	return via == w.via(vm)
}

// via names the present life of a VM. The caller holds mu.
func (w *words) via(vm string) string { return fmt.Sprintf("%s %d", vm, w.present[vm]) }

// passed notes that a caller has an answer by which its upstream leaves.
func (w *words) passed(via string, life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := spoken{via, life}
	if w.leaving[s].IsZero() {
		w.leaving[s] = time.Now()
		w.tally.check(promiseLeft, true, "", "")
	}
}

// asks notes that an upstream asks for a rest.
func (w *words) asks(via string, life int, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := spoken{via, life}
	w.rests[s] = append(w.rests[s], &rest{asked: time.Now(), lasts: lasts})
	w.tally.check(promiseRest, true, "", "")
}

// cameTo checks a request that has come to an upstream of a data centre which has been
// evacuated for a time.
func (w *words) cameTo(r *replica.Request, since time.Duration) {
	vm, _, _ := strings.Cut(r.Header.Get(headerVia), " ")
	w.mu.Lock()
	inReach := w.inReach[vm]
	w.mu.Unlock()
	if inReach != nil && inReach() {
		w.tally.check(promiseEmptied, since <= evacuateWithin, r.ID(), fmt.Sprintf("came by %s, %v after its data centre was evacuated", vm, since))
	}
}

// came checks a request that has come to an upstream over a link, which is nil once the
// upstream has ended.
func (w *words) came(r *replica.Request, life int, link *proxy) {
	via := r.Header.Get(headerVia)
	vm, _, _ := strings.Cut(via, " ")
	w.mu.Lock()
	defer w.mu.Unlock()
	if via != w.via(vm) {
		return // the VM has started anew or was paused since
	}
	now, s := time.Now(), spoken{via, life}
	if word, ok := w.leaving[s]; ok {
		late := w.sent[r.ID()].Sub(word)
		w.tally.check(promiseLeft, late <= drainWithin, r.ID(), fmt.Sprintf("sent %v after %s had passed on that its upstream leaves", late, via))
	}
	for _, x := range w.rests[s] {
		in := now.Sub(x.asked)
		if in <= restLeeway || in >= x.lasts || link == nil || !link.calmSince(x.asked) {
			continue
		}
		x.came++
		w.tally.check(promiseRest, x.came <= restMost, r.ID(), fmt.Sprintf("the %d. of %s within a rest of %v, %v after it was asked for", x.came, via, x.lasts, in))
	}
}
