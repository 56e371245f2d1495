package logs

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestBlockedOutputDropsLines checks that logging does not block if the output does, that
// warnings still have room when the queue is full for other lines, and that the number of
// dropped lines is logged.
func TestBlockedOutputDropsLines(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{unblock: make(chan struct{})}
	log, queue := NewQueued(output)
	for range 3 * maxQueuedLines {
		log.Info("delivered") // would block forever if it wrote to the output directly
	}
	for range reservedForWarnings / 2 {
		log.Warn("refused", zap.String("request", "r"))
	}
	is.True(queue.Dropped() >= maxQueuedLines)
	close(output.unblock)
	queue.Close(5 * time.Second)
	is.Equal(strings.Count(output.text.String(), "event=refused"), reservedForWarnings/2) // no warning was dropped
	is.True(strings.Contains(output.text.String(), "lines_left_out="))
}

// TestCloseDoesNotWaitForBlockedPipe checks that lines are dropped if nobody reads the
// output pipe, and that Close then returns after its timeout.
func TestCloseDoesNotWaitForBlockedPipe(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	log, queue := NewQueued(w)
	for range 4 * maxQueuedLines {
		log.Info("delivered", zap.String("padding", strings.Repeat("x", 200)))
	}
	is.True(queue.Dropped() > 0)
	queue.Close(10 * time.Millisecond)
	_ = w.Close()
}

// TestUnencodableField checks that a field on which the encoder panics only removes the
// fields from its line. The panic must not reach the request that is being logged.
func TestUnencodableField(t *testing.T) {
	is := is.New(t)
	type name string
	var out strings.Builder
	log := New(&out, zap.String("vm", "v"))
	log.Info("refused", zap.Any("names", []name{"a"}))
	log.Info("delivered")
	is.True(strings.Contains(out.String(), "event=refused"))
	is.True(strings.Contains(out.String(), "fields_left_out="))
	is.True(strings.Contains(out.String(), "event=delivered vm=v"))
}

// TestLongTextsAreCut guards against a queue of lines that takes the memory of the machine because callers choose
// long ids for their requests.
func TestLongTextsAreCut(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	New(&out).Info("turned-away", zap.String("request", strings.Repeat("\u00e9", 40_000)), zap.Int("status", 404))
	is.True(out.Len() < 2*maxText)
	is.True(strings.Contains(out.String(), "..."))
	is.True(strings.Contains(out.String(), "status=404"))
}
