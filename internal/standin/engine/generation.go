package engine

import (
	"context"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/engine"
)

// generation is the run of one request. It continues after its connection has closed,
// so that a stream can be resumed.
type generation struct {
	id, version  string
	created      int64
	totalTokens  int
	tokens       []string
	promptTokens int
	ctx          context.Context
	cancel       context.CancelFunc

	// mu guards generated and progress, the channel that is closed when a token is generated.
	mu        sync.Mutex
	generated int
	progress  chan struct{}
}

// startGeneration counts a run of the request and stores it under the request id,
// so that its stream can be resumed.
func (e *Engine) startGeneration(id, version string, req engine.ChatRequest, tokens int) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		id: id, version: version, created: time.Now().Unix(), totalTokens: tokens,
		tokens: answerTokens(req.Messages, tokens), ctx: ctx, cancel: cancel, progress: make(chan struct{}),
	}
	for _, m := range req.Messages {
		g.promptTokens += len(m.Content)/4 + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations[id] = g
	e.runs[contract.RequestID(id)]++
	e.runsByVersion[contract.VersionID(version)]++
	return g
}

// generate generates the tokens one after another and then releases the slot.
func (e *Engine) generate(g *generation) {
	defer e.releaseSlot()
	for range g.totalTokens {
		e.sleep(g.ctx, e.opts.TokenTime)
		if g.ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		g.generated++
		close(g.progress)
		g.progress = make(chan struct{})
		g.mu.Unlock()
	}
}

// await waits until at least n tokens are generated, and returns the number of generated tokens.
func (g *generation) await(ctx context.Context, n int) (int, error) {
	for {
		g.mu.Lock()
		done, more := g.generated, g.progress
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
		Prompt: contract.Tokens(g.promptTokens), Completion: contract.Tokens(g.totalTokens),
		Total: contract.Tokens(g.promptTokens + g.totalTokens),
	}
}
