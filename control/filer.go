package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/store"
)

// billFiler writes (files) bill records to the platform's store, many records
// per object.
//
// The name of a batch (an object with many bill records) consists of the VM,
// the incarnation of this process and a sequence number. The content of a batch never changes.
// If the reply to the write of a batch is lost and the write is repeated,
// the store answers that the object exists, which counts as success.
type billFiler struct {
	store         store.Store
	origin        bill.Origin
	flushInterval time.Duration
	log           *zap.Logger

	// mu guards pending and waiters. batchSeq needs no lock, because only flushLoop
	// uses it.
	mu       sync.Mutex
	pending  []bill.Record
	waiters  []chan error
	wake     chan struct{}
	batchSeq uint64
}

// Limits of the bill filer.
const (
	// maxBatchRecords keeps the object of a batch well below the platform's
	// maximum object size.
	maxBatchRecords   = 2500
	maxPendingRecords = 100_000
	fileTimeout       = 3 * time.Second
)

// errBacklogFull means that maxPendingRecords bill records are waiting to be filed, because records
// arrive faster than the platform accepts them. The error text is sent to the entry process.
var errBacklogFull = errors.New("more bill records wait than may")

func newBillFiler(store store.Store, origin bill.Origin, flushInterval time.Duration, log *zap.Logger) *billFiler {
	return &billFiler{store: store, origin: origin, flushInterval: flushInterval, log: log, wake: make(chan struct{}, 1)}
}

// file queues bill records and waits until the platform has stored them.
// If file returns an error, the records may or may not have been stored.
// If there are no records, file only checks that the platform can be reached.
func (f *billFiler) file(ctx context.Context, records []bill.Record) error {
	if len(records) == 0 {
		return f.probePlatform(ctx)
	}
	done := make(chan error, 1)
	f.mu.Lock()
	if len(f.pending)+len(records) > maxPendingRecords {
		f.mu.Unlock()
		return errBacklogFull
	}
	f.pending = append(f.pending, records...)
	f.waiters = append(f.waiters, done)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// probeObject is the name of an object that never exists.
// A read of probeObject checks that the platform answers.
const probeObject = "woaddoor/probe"

// probePlatform returns nil if the platform's store answers a read.
func (f *billFiler) probePlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	_, err := f.store.Read(ctx, probeObject)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// flushLoop writes the pending bill records at most once per flushInterval,
// so that the number of writes does not grow with the number of requests.
func (f *billFiler) flushLoop(ctx context.Context) {
	for {
		select {
		case <-f.wake:
			f.flush()
			clock.Sleep(ctx, f.flushInterval)
		case <-ctx.Done():
			f.flush()
			return
		}
	}
}

// flush writes the pending bill records and sends the result to the waiting callers of the method
// file.
func (f *billFiler) flush() {
	f.mu.Lock()
	records, waiters := f.pending, f.waiters
	f.pending, f.waiters = nil, nil
	f.mu.Unlock()
	var err error
	for len(records) > 0 && err == nil {
		n := min(len(records), maxBatchRecords)
		err = f.writeBatch(records[:n])
		records = records[n:]
	}
	if err != nil {
		f.log.Warn("filing-failed", logs.ErrorFields(err)...)
	}
	for _, done := range waiters {
		done <- err
	}
}

// writeBatch stores one batch of records as a new object.
func (f *billFiler) writeBatch(records []bill.Record) error {
	f.batchSeq++
	value, err := json.Marshal(bill.Batch{Records: records})
	if err != nil {
		return contract.WrapStep(contract.StepFile, "", err)
	}
	name := fmt.Sprintf("%s%s-%d-%08d", bill.BatchNamePrefix, f.origin.VM, f.origin.Incarnation, f.batchSeq)
	ctx, cancel := context.WithTimeout(context.Background(), fileTimeout)
	defer cancel()
	_, err = f.store.Create(ctx, name, value)
	if errors.Is(err, store.ErrExists) {
		return nil // an earlier attempt succeeded, but its reply was lost
	}
	if err == nil {
		f.log.Info("bills-filed", zap.String("object", name), zap.Int("records", len(records)))
	}
	return contract.WrapStep(contract.StepFile, "platform", err)
}
