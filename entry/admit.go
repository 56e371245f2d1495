package entry

import (
	"context"
	"time"

	"woaddoor/contract"
	"woaddoor/workspace"
)

// place is a request's place among those that run. It is given back once.
type place struct {
	server *Server
	queue  *workspace.Queue
	owner  contract.WorkspaceID
	since  time.Time
}

// admit waits for a place, or refuses at once.
func (s *Server) admit(ctx context.Context, q *workspace.Queue, req *request) (*place, *contract.Refusal) {
	id := workspace.ID(s.requests.Add(1))
	item := workspace.Item{ID: id, Workspace: req.workspace.ID, Share: req.workspace.Share, Class: req.class, Deadline: req.deadline}
	told := make(chan bool, 1)
	var verdict workspace.Verdict
	var after time.Duration
	s.locked(func() {
		verdict, after = q.Offer(item, s.clock.Now(), s.random)
		if verdict == workspace.Wait {
			s.waiters[id] = told
		}
	})
	switch verdict {
	case workspace.Refuse:
		f := refusal(contract.RefusedLimit, contract.NotRun, contract.StepAdmit, "the workspace's share is used up for longer than the request can wait")
		return nil, f.WithRetryAfter(after)
	case workspace.Wait:
		if f := s.wait(ctx, q, id, told); f != nil {
			return nil, f
		}
	}
	return &place{s, q, req.workspace.ID, s.clock.Now()}, nil
}

// wait waits until a queued request runs, expires, or its caller is gone.
func (s *Server) wait(ctx context.Context, q *workspace.Queue, id workspace.ID, told chan bool) *contract.Refusal {
	expired := refusal(contract.RefusedDeadline, contract.NotRun, contract.StepAdmit, "the deadline came while the request waited")
	expired.RetryAfter = stoppingRetry
	select {
	case runs := <-told:
		if runs {
			return nil
		}
		return expired
	case <-ctx.Done():
	}
	abandoned := false
	s.locked(func() {
		if abandoned = q.Abandon(id); abandoned {
			delete(s.waiters, id)
		}
	})
	if !abandoned && <-told { // it was told to run in the same moment
		return nil
	}
	return expired
}

// tell tells a waiting request that it runs, or that its time is up. The
// caller holds mu.
func (s *Server) tell(id workspace.ID, runs bool) {
	if told, ok := s.waiters[id]; ok {
		told <- runs // room for one, and told once
		delete(s.waiters, id)
	}
}

// done gives the place to the next in line.
func (p *place) done() {
	p.server.locked(func() {
		took := p.server.clock.Now().Sub(p.since)
		for _, item := range p.queue.Done(p.owner, took) {
			p.server.tell(item.ID, true)
		}
	})
}
