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

// blocked is a standard output that nobody reads until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestBlockedOutput shows that logging goes on though nobody reads, that
// failures have room when other lines no longer do, and that what was left out
// is told.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	log, lines := NewBounded(out)
	for range 3 * maxWaiting {
		log.Info("delivered") // would wait for ever on a plain writer
	}
	for range reserved / 2 {
		log.Warn("refused", zap.String("request", "r"))
	}
	is.True(lines.LeftOut() >= maxWaiting)
	close(out.open)
	lines.Close(5 * time.Second)
	is.Equal(strings.Count(out.text.String(), "event=refused"), reserved/2) // none left out
	is.True(strings.Contains(out.text.String(), "lines_left_out="))
}

// TestPipeNobodyReads shows the same with a real pipe, and that the end of the
// process does not wait for it.
func TestPipeNobodyReads(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	log, lines := NewBounded(w)
	for range 4 * maxWaiting {
		log.Info("delivered", zap.String("padding", strings.Repeat("x", 200)))
	}
	is.True(lines.LeftOut() > 0)
	lines.Close(10 * time.Millisecond)
	_ = w.Close()
}

// TestFieldThatCannotBeEncoded checks that a field which the encoder cannot write costs
// the line its fields, and not whoever logs its request.
func TestFieldThatCannotBeEncoded(t *testing.T) {
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
