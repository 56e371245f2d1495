package main

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/workspace"
)

// queuedVM models one VM: a chooser and, optionally, an admission queue before it.
type queuedVM struct {
	site     *site
	chooser  chooser
	queue    *workspace.Queue // nil: every request is sent at once
	random   *rand.Rand
	onRun    map[workspace.ID]func() // called when a queued request is admitted
	onExpire map[workspace.ID]func() // called when a queued request expires
	lastID   workspace.ID            // ID of the request offered last
}

// requestResult describes how an offered request ended.
type requestResult struct {
	refused bool
	// retryAfter is the delay after which a refused caller may retry.
	retryAfter time.Duration
	failed     bool
	latency    time.Duration
	answer     model.Result
}

// newQueuedVMs puts an admission queue before each VM of a site. With capacity zero
// there is no queue. totalWeight is the sum of the workspaces' weights.
func newQueuedVMs(s *site, seed uint64, capacity, totalWeight int) []*queuedVM {
	var queuedVMs []*queuedVM
	for i, c := range s.vms {
		vm := &queuedVM{
			site: s, chooser: c, random: rand.New(rand.NewPCG(seed, uint64(i)+100)),
			onRun: make(map[workspace.ID]func()), onExpire: make(map[workspace.ID]func()),
		}
		if capacity > 0 {
			vm.queue = workspace.NewQueue(workspace.Options{Capacity: capacity, TotalWeight: totalWeight})
			s.clock.Every(20*time.Millisecond, func() bool { vm.expire(); return true })
			s.clock.Every(reportInterval, func() bool {
				usable := len(s.engines) - s.silentEngines // the entry process sizes its queue in the same way
				vm.queue.SetCapacity(max(capacity*usable/len(s.engines), 1))
				return true
			})
		}
		queuedVMs = append(queuedVMs, vm)
	}
	return queuedVMs
}

// expire refuses the requests whose deadline has passed in the queue.
func (vm *queuedVM) expire() {
	for _, item := range vm.queue.Expire(vm.site.clock.Now()) {
		vm.onExpire[item.ID]()
		delete(vm.onExpire, item.ID)
		delete(vm.onRun, item.ID)
	}
}

// offer submits one request of a workspace to the VM and calls done when it ends.
func (vm *queuedVM) offer(w contract.WorkspaceID, class workspace.Class, deadline time.Duration, done func(requestResult)) {
	began := vm.site.clock.Now()
	vm.lastID++
	id := vm.lastID
	if vm.queue == nil {
		vm.run(began, w, func(r requestResult) { done(r) })
		return
	}
	item := workspace.Request{ID: id, Workspace: w, Class: class, Deadline: began.Add(deadline)}
	decision, after := vm.queue.Offer(item, began, vm.random)
	switch decision {
	case workspace.Rejected:
		done(requestResult{refused: true, retryAfter: after})
	case workspace.Admitted:
		vm.run(began, w, done)
	case workspace.Queued:
		vm.onRun[id] = func() { vm.run(began, w, done) }
		vm.onExpire[id] = func() { done(requestResult{refused: true, retryAfter: time.Second}) }
	}
}

// run sends an admitted request, calls done with its result, and starts the requests
// that the queue then releases.
func (vm *queuedVM) run(began time.Time, w contract.WorkspaceID, done func(requestResult)) {
	started := vm.site.clock.Now()
	preferred := vm.queue != nil && vm.queue.WithinShare(w)
	vm.site.sendRequest(vm.chooser, preferred, func(_, _ time.Duration, result model.Result) {
		now := vm.site.clock.Now()
		done(requestResult{latency: now.Sub(began), answer: result, failed: result.Failed})
		if vm.queue == nil {
			return
		}
		for _, item := range vm.queue.Done(w, now.Sub(started)) {
			vm.onRun[item.ID]()
			delete(vm.onRun, item.ID)
			delete(vm.onExpire, item.ID)
		}
	})
}
