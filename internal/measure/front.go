package main

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// queuedVM is one VM: a way to choose and, when it has one, a queue before it.
type queuedVM struct {
	site     *site
	chooser  chooser
	queue    *workspace.Queue // nil: everything is sent on at once
	random   *rand.Rand
	onRun    map[workspace.ID]func()
	onExpire map[workspace.ID]func()
	lastID   workspace.ID
}

// requestResult says how an offered request ended.
type requestResult struct {
	refused bool
	// retryAfter is when a refused caller may come back.
	retryAfter time.Duration
	failed     bool
	latency    time.Duration
	answer     model.Result
}

// newQueuedVMs puts a queue before each VM of a site; capacity zero puts none.
func newQueuedVMs(s *site, seed uint64, capacity, totalShare int) []*queuedVM {
	var fronts []*queuedVM
	for i, c := range s.vms {
		f := &queuedVM{
			site: s, chooser: c, random: rand.New(rand.NewPCG(seed, uint64(i)+100)),
			onRun: make(map[workspace.ID]func()), onExpire: make(map[workspace.ID]func()),
		}
		if capacity > 0 {
			f.queue = workspace.NewQueue(workspace.Options{Capacity: capacity, TotalShare: totalShare})
			s.clock.Every(20*time.Millisecond, func() bool { f.expire(); return true })
			s.clock.Every(reportInterval, func() bool {
				usable := len(s.engines) - s.silentEngines // as entry sizes its queue
				f.queue.SetCapacity(max(capacity*usable/len(s.engines), 1))
				return true
			})
		}
		fronts = append(fronts, f)
	}
	return fronts
}

func (f *queuedVM) expire() {
	for _, item := range f.queue.Expire(f.site.clock.Now()) {
		f.onExpire[item.ID]()
		delete(f.onExpire, item.ID)
		delete(f.onRun, item.ID)
	}
}

// offer brings one request of a workspace.
func (f *queuedVM) offer(w contract.WorkspaceID, class workspace.Class, deadline time.Duration, done func(requestResult)) {
	began := f.site.clock.Now()
	f.lastID++
	id := f.lastID
	if f.queue == nil {
		f.run(began, w, func(e requestResult) { done(e) })
		return
	}
	item := workspace.Item{ID: id, Workspace: w, Class: class, Deadline: began.Add(deadline)}
	verdict, after := f.queue.Offer(item, began, f.random)
	switch verdict {
	case workspace.Refuse:
		done(requestResult{refused: true, retryAfter: after})
	case workspace.Run:
		f.run(began, w, done)
	case workspace.Wait:
		f.onRun[id] = func() { f.run(began, w, done) }
		f.onExpire[id] = func() { done(requestResult{refused: true, retryAfter: time.Second}) }
	}
}

func (f *queuedVM) run(began time.Time, w contract.WorkspaceID, done func(requestResult)) {
	started := f.site.clock.Now()
	preferred := f.queue != nil && f.queue.Within(w)
	f.site.sendRequest(f.chooser, preferred, func(_, _ time.Duration, a model.Result) {
		now := f.site.clock.Now()
		done(requestResult{latency: now.Sub(began), answer: a, failed: a.Failed})
		if f.queue == nil {
			return
		}
		for _, item := range f.queue.Done(w, now.Sub(started)) {
			f.onRun[item.ID]()
			delete(f.onRun, item.ID)
			delete(f.onExpire, item.ID)
		}
	})
}
