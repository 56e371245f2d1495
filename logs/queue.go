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

// Limits of the queue of log lines.
const (
	// maxQueuedLines limits the number of queued lines, of about 400 bytes each.
	maxQueuedLines = 2048
	// reservedForWarnings is the part of the queue that only warnings and errors may
	// use, so that lines of lower levels are dropped first.
	reservedForWarnings = maxQueuedLines / 4
	// maxBatchBytes is the size at which a batch of lines is written. One more line may exceed it.
	maxBatchBytes = 32 << 10
)

// LineQueue writes log lines in the background, so that a logging call never blocks. Lines
// are queued up to a limit. When the queue is full, further lines are dropped and counted,
// and the next line that is logged carries the number of lines dropped before it.
type LineQueue struct {
	out                io.Writer
	lines              chan *buffer.Buffer
	droppedSinceReport atomic.Int64 // reported and reset by the next line logged
	droppedTotal       atomic.Int64
	stop               chan struct{}
	writing            sync.WaitGroup
}

// NewQueued returns a logger that writes to w through a bounded queue, and the queue. The
// caller must close the queue before the process exits.
func NewQueued(w io.Writer, fields ...zap.Field) (*zap.Logger, *LineQueue) {
	q := &LineQueue{out: w, lines: make(chan *buffer.Buffer, maxQueuedLines), stop: make(chan struct{})}
	q.writing.Add(1)
	go q.writeLoop()
	core := &queueCore{LevelEnabler: zapcore.InfoLevel, encoder: newEncoder(), queue: q}
	return zap.New(core).With(fields...), q
}

// Dropped returns the number of lines dropped so far.
func (q *LineQueue) Dropped() int64 { return q.droppedTotal.Load() }

// Close waits until the queued lines are written, but no longer than timeout, so that a
// blocked standard output does not delay the exit of the process. Lines logged after
// Close are not written. It must be called only once.
func (q *LineQueue) Close(timeout time.Duration) {
	close(q.stop)
	done := make(chan struct{})
	go func() { q.writing.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// writeLoop writes queued lines, in batches, until Close is called and the queue is empty.
func (q *LineQueue) writeLoop() {
	defer q.writing.Done()
	batch := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case line := <-q.lines:
			batch = q.fillBatch(q.appendLine(batch[:0], line))
			_, _ = q.out.Write(batch) // a failed write of the log cannot be logged
		case <-q.stop:
			for batch = q.fillBatch(batch[:0]); len(batch) > 0; batch = q.fillBatch(batch[:0]) {
				_, _ = q.out.Write(batch)
			}
			return
		}
	}
}

// fillBatch appends queued lines to batch until it reaches maxBatchBytes or the queue is empty.
func (q *LineQueue) fillBatch(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case next := <-q.lines:
			batch = q.appendLine(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// appendLine appends a line to batch and frees the line's buffer.
func (q *LineQueue) appendLine(batch []byte, line *buffer.Buffer) []byte {
	batch = append(batch, line.Bytes()...)
	line.Free()
	return batch
}

// enqueue queues a line, or drops it if there is no room for its level.
func (q *LineQueue) enqueue(level zapcore.Level, line *buffer.Buffer) {
	if level < zapcore.WarnLevel && len(q.lines) >= maxQueuedLines-reservedForWarnings {
		q.drop(line)
		return
	}
	select {
	case q.lines <- line:
	default:
		q.drop(line)
	}
}

// drop frees a line and counts it as dropped.
func (q *LineQueue) drop(line *buffer.Buffer) {
	line.Free()
	q.droppedSinceReport.Add(1)
	q.droppedTotal.Add(1)
}

// queueCore is a zapcore.Core that encodes log entries and queues the lines.
type queueCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *LineQueue
}

// With returns a core that adds the fields to every line.
func (c *queueCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &queueCore{c.LevelEnabler, encoder, c.queue}
}

// Check adds the core to ce if the level of the entry is enabled.
func (c *queueCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes an entry and queues the line. It adds the number of lines dropped since
// the last line that reported such a number.
func (c *queueCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if n := c.queue.droppedSinceReport.Swap(0); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("lines_left_out", n))
	}
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.queue.enqueue(e.Level, line)
	return nil
}

// Sync does nothing. LineQueue.Close waits for queued lines.
func (c *queueCore) Sync() error { return nil }
