package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"woaddoor/internal/standin/replica"
)

// Limits on the requests that reach an upstream after it has announced
// that it is leaving, or has asked for a back-off.
const (
	// drainTimeout is how long a VM may go on sending to an upstream after the VM has relayed an
	// answer in which that upstream announces that it is leaving.
	drainTimeout = 2 * time.Second
	// backoffLeeway is how long requests may still arrive after an upstream has asked for a
	// back-off. maxBackoffRequests is how many may arrive during the rest of the back-off.
	backoffLeeway      = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// Headers that only the soak uses: the incarnation of the VM that a request is sent to, and the
// incarnation of the upstream that answers.
const (
	headerVMIncarnation       = "X-Via"
	headerUpstreamIncarnation = "X-Life"
)

// noticeTracker records the notices of leaving and back-off that upstreams send to VMs, and checks
// the requests that arrive afterwards.
type noticeTracker struct {
	recorder *recorder
	senders  *senders

	// mu guards the fields below.
	mu sync.Mutex
	// vmIncarnations is the current incarnation of each VM by name.
	// Each pause of a VM starts a new incarnation too.
	// incarnationSince is when that incarnation began.
	vmIncarnations   map[string]int
	incarnationSince map[string]time.Time
	// sentAt is when callers sent their requests, by request id.
	sentAt map[string]time.Time
	// leavingSince is when a VM first relayed an answer in
	// which an upstream announces that it is leaving.
	leavingSince map[incarnationPair]time.Time
	backoffs     map[incarnationPair][]*backoff
	// undisturbed holds, by the name of the VM, a function that returns whether no fault currently
	// exempts the VM from the time limits.
	undisturbed map[string]func() bool
}

// incarnationPair identifies an incarnation of an upstream and the incarnation
// of the VM that it answered.
type incarnationPair struct {
	vm       string
	upstream int
}

// backoff is one back-off that an upstream has asked for, and how many requests arrived during it.
type backoff struct {
	requestedAt time.Time
	duration    time.Duration
	arrivals    int
}

func newNoticeTracker(rec *recorder) *noticeTracker {
	return &noticeTracker{
		recorder: rec, senders: newSenders(), vmIncarnations: make(map[string]int), incarnationSince: make(map[string]time.Time), sentAt: make(map[string]time.Time), leavingSince: make(map[incarnationPair]time.Time),
		backoffs: make(map[incarnationPair][]*backoff), undisturbed: make(map[string]func() bool),
	}
}

// registerVM adds a VM to the VMs that checkEvacuated takes into account.
func (s *noticeTracker) registerVM(v *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undisturbed[v.name] = v.undisturbed
}

// startIncarnation records that a VM starts, pauses or resumes,
// each of which begins a new incarnation.
func (s *noticeTracker) startIncarnation(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmIncarnations[vm]++
	s.incarnationSince[vm] = time.Now()
}

// senderOf returns the incarnation of the VM that has sent a request over an upstream's connection. If
// that is not the VM that the caller has chosen, and it has been restarted or paused since the caller
// sent the request, the result is no current incarnation.
func (s *noticeTracker) senderOf(c *replica.Conn, r *replica.Request) string {
	chosen := r.Header.Get(headerVMIncarnation)
	chosenVM, _, _ := strings.Cut(chosen, " ")
	sender := s.senders.vmOf(c, chosenVM)
	if sender == "" || sender == chosenVM {
		return chosen
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnationSince[sender].After(s.sentAt[r.ID()]) {
		return sender + " 0"
	}
	return s.currentIncarnation(sender)
}

// recordSend records that a caller sends a request,
// and returns the incarnation of the VM that it goes to.
func (s *noticeTracker) recordSend(id, vm string) (vmIncarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt[id] = time.Now()
	return s.currentIncarnation(vm)
}

// isCurrent reports whether an incarnation is the current incarnation of its VM.
func (s *noticeTracker) isCurrent(vmIncarnation string) bool {
	vm, _, _ := strings.Cut(vmIncarnation, " ")
	s.mu.Lock()
	defer s.mu.Unlock()
	return vmIncarnation == s.currentIncarnation(vm)
}

// currentIncarnation returns the name of a VM's current incarnation. The caller holds mu.
func (s *noticeTracker) currentIncarnation(vm string) string {
	return fmt.Sprintf("%s %d", vm, s.vmIncarnations[vm])
}

// recordLeaving records that a caller has received an answer whose upstream announces that it is
// leaving.
func (s *noticeTracker) recordLeaving(vmIncarnation string, incarnation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair := incarnationPair{vmIncarnation, incarnation}
	if s.leavingSince[pair].IsZero() {
		s.leavingSince[pair] = time.Now()
		s.recorder.check(guaranteeDrain, true, "", "")
	}
}

// recordBackoff records that an upstream asks a VM for a back-off.
func (s *noticeTracker) recordBackoff(vmIncarnation string, incarnation int, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair := incarnationPair{vmIncarnation, incarnation}
	s.backoffs[pair] = append(s.backoffs[pair], &backoff{requestedAt: time.Now(), duration: duration})
	s.recorder.check(guaranteeBackoff, true, "", "")
}

// checkEvacuated checks a request that has reached an upstream whose data centre has been under
// evacuation for the given time.
func (s *noticeTracker) checkEvacuated(r *replica.Request, link *proxy, since time.Duration) {
	s.checkTimely(guaranteeEvacuation, r, link, since, evacuationTimeout, "the evacuation of its data centre began")
}

// calm reports whether a link has been undisturbed for settleTime before a moment. A link that was
// cut delivers requests late, and their answers to nobody. The link is nil once its upstream has ended.
func calm(link *proxy, at time.Time) bool {
	return link != nil && link.undisturbedSince(at.Add(-settleTime))
}

// checkTimely checks that a request from an undisturbed VM over a calm link has
// arrived within the bound after an event.
func (s *noticeTracker) checkTimely(guarantee string, r *replica.Request, link *proxy, since, bound time.Duration, event string) {
	if !calm(link, time.Now()) {
		return
	}
	vm, _, _ := strings.Cut(r.Header.Get(headerVMIncarnation), " ")
	s.mu.Lock()
	undisturbed := s.undisturbed[vm]
	s.mu.Unlock()
	if undisturbed != nil && undisturbed() {
		s.recorder.check(guarantee, since <= bound, r.ID(), fmt.Sprintf("sent by %s, arrived %v after %s", vm, since, event))
	}
}

// checkArrival checks a request that has reached an upstream through a link.
// The link is nil once the upstream has ended.
func (s *noticeTracker) checkArrival(r *replica.Request, incarnation int, link *proxy) {
	vmIncarnation := r.Header.Get(headerVMIncarnation)
	vm, _, _ := strings.Cut(vmIncarnation, " ")
	s.mu.Lock()
	defer s.mu.Unlock()
	if vmIncarnation != s.currentIncarnation(vm) {
		return // the VM has been restarted or paused since the caller sent the request
	}
	now, pair := time.Now(), incarnationPair{vmIncarnation, incarnation}
	if leavingSince, ok := s.leavingSince[pair]; ok {
		delay := s.sentAt[r.ID()].Sub(leavingSince)
		s.recorder.check(guaranteeDrain, delay <= drainTimeout, r.ID(), fmt.Sprintf("sent %v after %s had relayed that its upstream is leaving", delay, vmIncarnation))
	}
	for _, b := range s.backoffs[pair] {
		elapsed := now.Sub(b.requestedAt)
		if elapsed <= backoffLeeway || elapsed >= b.duration || !calm(link, b.requestedAt) {
			continue
		}
		b.arrivals++
		s.recorder.check(guaranteeBackoff, b.arrivals <= maxBackoffRequests, r.ID(), fmt.Sprintf("request %d of %s during a back-off of %v, %v after the upstream asked for it", b.arrivals, vmIncarnation, b.duration, elapsed))
	}
}
