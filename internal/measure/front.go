package main

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// front is one VM: a way to choose and, when it has one, a queue before it.
type front struct {
	site    *site
	chooser chooser
	queue   *workspace.Queue // nil: everything is sent on at once
	random  *rand.Rand
	waiting map[workspace.ID]func()
	expired map[workspace.ID]func()
	next    workspace.ID
}

// ended says how an offered request ended.
type ended struct {
	refused bool
	// after is when a refused caller may come back.
	after  time.Duration
	failed bool
	took   time.Duration
	answer model.Answer
}

// newFronts puts a queue before each VM of a site; capacity zero puts none.
func newFronts(s *site, seed uint64, capacity, totalShare int) []*front {
	var fronts []*front
	for i, c := range s.vms {
		f := &front{
			site: s, chooser: c, random: rand.New(rand.NewPCG(seed, uint64(i)+100)),
			waiting: make(map[workspace.ID]func()), expired: make(map[workspace.ID]func()),
		}
		if capacity > 0 {
			f.queue = workspace.NewQueue(workspace.Options{Capacity: capacity, TotalShare: totalShare})
			s.clock.Every(20*time.Millisecond, func() bool { f.expire(); return true })
			s.clock.Every(reportEvery, func() bool {
				usable := len(s.engines) - s.silent // as entry sizes its queue
				f.queue.SetCapacity(max(capacity*usable/len(s.engines), 1))
				return true
			})
		}
		fronts = append(fronts, f)
	}
	return fronts
}

func (f *front) expire() {
	for _, item := range f.queue.Expire(f.site.clock.Now()) {
		f.expired[item.ID]()
		delete(f.expired, item.ID)
		delete(f.waiting, item.ID)
	}
}

// offer brings one request of a workspace.
func (f *front) offer(w contract.WorkspaceID, class workspace.Class, deadline time.Duration, done func(ended)) {
	began := f.site.clock.Now()
	f.next++
	id := f.next
	if f.queue == nil {
		f.run(began, w, func(e ended) { done(e) })
		return
	}
	item := workspace.Item{ID: id, Workspace: w, Class: class, Deadline: began.Add(deadline)}
	verdict, after := f.queue.Offer(item, began, f.random)
	switch verdict {
	case workspace.Refuse:
		done(ended{refused: true, after: after})
	case workspace.Run:
		f.run(began, w, done)
	case workspace.Wait:
		f.waiting[id] = func() { f.run(began, w, done) }
		f.expired[id] = func() { done(ended{refused: true, after: time.Second}) }
	}
}

func (f *front) run(began time.Time, w contract.WorkspaceID, done func(ended)) {
	started := f.site.clock.Now()
	preferred := f.queue != nil && f.queue.Within(w)
	f.site.one(f.chooser, preferred, func(_, _ time.Duration, a model.Answer) {
		now := f.site.clock.Now()
		done(ended{took: now.Sub(began), answer: a, failed: a.Failed})
		if f.queue == nil {
			return
		}
		for _, item := range f.queue.Done(w, now.Sub(started)) {
			f.waiting[item.ID]()
			delete(f.waiting, item.ID)
			delete(f.expired, item.ID)
		}
	})
}
