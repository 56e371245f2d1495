package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// Bounds of the lines that wait to be written.
const (
	// maxWaiting bounds the lines that wait, about 400 bytes each.
	maxWaiting = 2048
	// reserved is the part of maxWaiting that only warnings and errors use, so
	// that failures are not the first to be left out.
	reserved = maxWaiting / 4
	// maxBatch bounds one write, in bytes.
	maxBatch = 32 << 10
)

// Bounded writes lines without ever holding up whoever logs: lines wait in a
// bounded queue, and when that is full they are left out and counted. A line
// says how many were left out before it.
type Bounded struct {
	out   io.Writer
	lines chan *buffer.Buffer
	left  atomic.Int64
	total atomic.Int64
	stop  chan struct{}
	idle  sync.WaitGroup
}

// NewBounded returns a logger that writes to w through a bounded queue, and the
// queue, which is to be closed at the end of the process.
func NewBounded(w io.Writer, fields ...zap.Field) (*zap.Logger, *Bounded) {
	b := &Bounded{out: w, lines: make(chan *buffer.Buffer, maxWaiting), stop: make(chan struct{})}
	b.idle.Add(1)
	go b.write()
	core := &boundedCore{LevelEnabler: zapcore.InfoLevel, encoder: newEncoder(), queue: b}
	return zap.New(core).With(fields...), b
}

// LeftOut returns how many lines were left out so far.
func (b *Bounded) LeftOut() int64 { return b.total.Load() }

// Close waits until the lines that wait are written, at most for bound: a
// standard output that nobody reads does not hold up the end of the process.
// Lines that come later are not written. It is called once.
func (b *Bounded) Close(bound time.Duration) {
	close(b.stop)
	done := make(chan struct{})
	go func() { b.idle.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(bound):
	}
}

// write writes waiting lines, several with one call.
func (b *Bounded) write() {
	defer b.idle.Done()
	batch := make([]byte, 0, maxBatch)
	for {
		select {
		case line := <-b.lines:
			batch = b.fill(b.add(batch[:0], line))
			_, _ = b.out.Write(batch) // there is nowhere to tell of a failed log
		case <-b.stop:
			for batch = b.fill(batch[:0]); len(batch) > 0; batch = b.fill(batch[:0]) {
				_, _ = b.out.Write(batch)
			}
			return
		}
	}
}

// fill adds the lines that wait, as far as they fit into one write.
func (b *Bounded) fill(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case next := <-b.lines:
			batch = b.add(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (b *Bounded) add(batch []byte, line *buffer.Buffer) []byte {
	batch = append(batch, line.Bytes()...)
	line.Free()
	return batch
}

// put queues a line, or leaves it out.
func (b *Bounded) put(level zapcore.Level, line *buffer.Buffer) {
	if level < zapcore.WarnLevel && len(b.lines) >= maxWaiting-reserved {
		b.leaveOut(line)
		return
	}
	select {
	case b.lines <- line:
	default:
		b.leaveOut(line)
	}
}

func (b *Bounded) leaveOut(line *buffer.Buffer) {
	line.Free()
	b.left.Add(1)
	b.total.Add(1)
}

// boundedCore hands encoded lines to a queue.
type boundedCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *Bounded
}

// With returns a core whose lines also carry the fields.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &boundedCore{c.LevelEnabler, encoder, c.queue}
}

// Check adds the core to what writes an entry.
func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes an entry and queues it.
func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if n := c.queue.left.Swap(0); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("lines_left_out", n))
	}
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.queue.put(e.Level, line)
	return nil
}

// Sync does nothing: Close waits for the queue.
func (c *boundedCore) Sync() error { return nil }
