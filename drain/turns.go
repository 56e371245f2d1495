package drain

import (
	"context"
	"io"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// freeReads is how many reads of a body need no turn: small bodies do not wait for large ones.
	freeReads = 2
	// maxTurn is how long a turn may last while others wait: its caller may have sent a part of a line.
	maxTurn = 250 * time.Millisecond
)

// Limits of the work on long bodies while a listener is crowded.
const (
	// calmConns is how many busy connections are no crowd.
	calmConns = 8
	// restFactor is how long a turn rests, as a multiple of the time for which it worked.
	restFactor = 3
	// minRest is the shortest rest: the timers of the system are no finer.
	minRest = time.Millisecond
	// maxWorked bounds the time for which a turn is taken to have worked: a suspension of the process is no work.
	maxWorked = 5 * time.Millisecond
)

// turns limits how many long bodies are decoded at a time, and for which part of the time while there are many
// connections. A body may consist of millions of chunks, so decoding it may take a thousand times the processor time of
// its bytes. The requests that the server works on otherwise compete with a few such bodies instead of with all of them.
type turns struct {
	free  chan struct{}
	ended atomic.Int64 // how many turns have ended
	// owed is the rest that has not been taken yet, in nanoseconds.
	owed atomic.Int64
}

func newTurns() *turns { return &turns{free: make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))} }

// take waits for a turn. It returns false if no turn has ended for maxTurn: the caller goes on without one.
func (t *turns) take() bool {
	select {
	case t.free <- struct{}{}:
		return true
	default:
	}
	wait := time.NewTicker(maxTurn)
	defer wait.Stop()
	for ended := t.ended.Load(); ; {
		select {
		case t.free <- struct{}{}:
			return true
		case <-wait.C:
		}
		now := t.ended.Load()
		if now == ended {
			return false
		}
		ended = now
	}
}

// end ends a turn that has worked for a while. If it rests, others wait for its end.
func (t *turns) end(worked time.Duration, rests bool) {
	worked = min(max(worked, 0), maxWorked)
	if rests && time.Duration(t.owed.Add(int64(restFactor*worked))) >= minRest {
		time.Sleep(time.Duration(t.owed.Swap(0)))
	}
	t.ended.Add(1)
	<-t.free
}

// turnReader reads the body of a request. After the first reads it waits for a turn, which the connection gives up
// while it waits for bytes.
type turnReader struct {
	body  io.Reader
	conn  *conn
	reads int
}

// Read reads from the body.
func (r *turnReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads <= freeReads {
		return r.body.Read(p)
	}
	r.conn.takeTurn()
	defer r.conn.endTurn()
	return r.body.Read(p)
}

func (c *conn) takeTurn() {
	taken := c.listener.turns.take()
	c.turnBegan.Store(time.Now().UnixNano())
	c.hasTurn.Store(taken)
}

// endTurn ends the turn of the connection, if it has one, and reports whether it had.
func (c *conn) endTurn() bool {
	if !c.hasTurn.Swap(false) {
		return false
	}
	worked := time.Since(time.Unix(0, c.turnBegan.Load()))
	c.listener.turns.end(worked, c.listener.BusyConns() > calmConns)
	return true
}

// readInTurn reads from the connection. A turn of the connection pauses while it waits for bytes. A read of a single
// byte may be that by which net/http notices a disconnect after the body, which is in no turn.
func (c *conn) readInTurn(p []byte) (int, error) {
	paused := len(p) > 1 && c.endTurn()
	n, err := c.Conn.Read(p)
	if paused {
		c.takeTurn()
	}
	return n, err
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// connFrom returns the connection in a context, or nil.
func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
