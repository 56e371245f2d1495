package engine

import (
	"context"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/engine"
)

// generation is one request being worked on. It goes on for a while after its
// connection is gone, so that a stream can be resumed.
type generation struct {
	id, version string
	created     int64
	total       int
	words       []string
	prompt      int
	ctx         context.Context
	cancel      context.CancelFunc

	// mu guards done and more.
	mu   sync.Mutex
	done int
	more chan struct{}
}

// start notes a run of the request and keeps its generation for a resume.
func (e *Engine) start(id, version string, req engine.Request, n int) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		id: id, version: version, created: time.Now().Unix(), total: n,
		words: words(req.Messages, n), ctx: ctx, cancel: cancel, more: make(chan struct{}),
	}
	for _, m := range req.Messages {
		g.prompt += len(m.Content)/4 + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = g
	e.runs[contract.RequestID(id)]++
	e.runsOf[contract.VersionID(version)]++
	return g
}

// generate makes the tokens one after another and frees the slot.
func (e *Engine) generate(g *generation) {
	defer e.leave()
	for range g.total {
		e.pace(g.ctx, e.opts.PerToken)
		if g.ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		g.done++
		close(g.more)
		g.more = make(chan struct{})
		g.mu.Unlock()
	}
}

// await waits until n tokens are made, and returns how many are.
func (g *generation) await(ctx context.Context, n int) (int, error) {
	for {
		g.mu.Lock()
		done, more := g.done, g.more
		g.mu.Unlock()
		if done >= n {
			return done, nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return done, ctx.Err()
		case <-g.ctx.Done():
			return done, g.ctx.Err()
		}
	}
}

func (g *generation) usage() engine.Usage {
	return engine.Usage{
		Prompt: contract.Tokens(g.prompt), Completion: contract.Tokens(g.total),
		Total: contract.Tokens(g.prompt + g.total),
	}
}
