package entry

import (
	"context"
	"time"

	"woaddoor/contract"
	"woaddoor/workspace"
)

// slot is one of the concurrency slots of a queue, held by a running request.
// A slot must be released exactly once.
type slot struct {
	server    *Server
	queue     *workspace.Queue
	workspace contract.WorkspaceID
	startedAt time.Time
}

// admit queues the request until the request gets a slot.
// admit returns a refusal if the queue rejects the request or if the deadline passes while the
// request waits.
func (s *Server) admit(ctx context.Context, q *workspace.Queue, req *request) (*slot, *contract.Refusal) {
	id := workspace.ID(s.lastRequestID.Add(1))
	item := workspace.Request{ID: id, Workspace: req.workspace.ID, Weight: req.workspace.Weight, Class: req.class, Deadline: req.deadline}
	admitted := make(chan bool, 1)
	var decision workspace.Decision
	var retryAfter time.Duration
	s.locked(func() {
		decision, retryAfter = q.Offer(item, s.clock.Now(), s.random)
		if decision == workspace.Queued {
			s.waiters[id] = admitted
		}
	})
	switch decision {
	case workspace.Rejected:
		refused := newRefusal(contract.RefusedLimitReached, contract.OutcomeNotRun, contract.StepAdmit, "the workspace's share is used up for longer than the request can wait")
		return nil, refused.WithRetryAfter(retryAfter)
	case workspace.Queued:
		if refused := s.waitForSlot(ctx, q, id, admitted); refused != nil {
			return nil, refused
		}
	}
	return &slot{s, q, req.workspace.ID, s.clock.Now()}, nil
}

// waitForSlot blocks until a queued request gets a slot, its deadline passes or its caller disconnects.
func (s *Server) waitForSlot(ctx context.Context, q *workspace.Queue, id workspace.ID, admitted chan bool) *contract.Refusal {
	expired := newRefusal(contract.RefusedDeadlinePassed, contract.OutcomeNotRun, contract.StepAdmit, "the deadline came while the request waited")
	expired.RetryAfter = stoppingRetryAfter
	select {
	case ok := <-admitted:
		if ok {
			return nil
		}
		return expired
	case <-ctx.Done():
	}
	abandoned := false
	s.locked(func() {
		if abandoned = q.Cancel(id); abandoned {
			delete(s.waiters, id)
		}
	})
	if !abandoned && <-admitted { // no longer queued: true if the request got a slot meanwhile
		return nil
	}
	return expired
}

// notifyWaiter wakes a waiting request.
// The parameter run is true if the request got a slot, and false if
// its deadline has passed. The caller must hold Server.mu.
func (s *Server) notifyWaiter(id workspace.ID, run bool) {
	if admitted, ok := s.waiters[id]; ok {
		admitted <- run // never blocks: the channel has a buffer of one and receives one value
		delete(s.waiters, id)
	}
}

// release frees the slot and wakes the queued requests that can run next.
func (sl *slot) release() {
	sl.server.locked(func() {
		duration := sl.server.clock.Now().Sub(sl.startedAt)
		for _, item := range sl.queue.Done(sl.workspace, duration) {
			sl.server.notifyWaiter(item.ID, true)
		}
	})
}
