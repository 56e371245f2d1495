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

// filer writes bill records to the platform, many in one object.
//
// A batch is named by this process's life and a sequence number, and its
// content is fixed before the first try, so a try whose reply was lost is
// repeated without harm: the object exists already.
type filer struct {
	store  store.Store
	origin bill.Origin
	every  time.Duration
	log    *zap.Logger

	// mu guards the fields below.
	mu      sync.Mutex
	pending []bill.Record
	waiting []chan error
	wake    chan struct{}
	seq     uint64
}

// Bounds of filing.
const (
	// maxBatch keeps a batch's object well below the platform's cap.
	maxBatch    = 2500
	maxPending  = 100_000
	fileTimeout = 3 * time.Second
)

// errTooMany means that records come faster than the platform takes them.
var errTooMany = errors.New("more bill records wait than may")

func newFiler(store store.Store, origin bill.Origin, every time.Duration, log *zap.Logger) *filer {
	return &filer{store: store, origin: origin, every: every, log: log, wake: make(chan struct{}, 1)}
}

// file returns when the records are filed, or with an error when it is not
// known that they are.
func (f *filer) file(ctx context.Context, records []bill.Record) error {
	if len(records) == 0 {
		return f.probe(ctx)
	}
	done := make(chan error, 1)
	f.mu.Lock()
	if len(f.pending)+len(records) > maxPending {
		f.mu.Unlock()
		return errTooMany
	}
	f.pending = append(f.pending, records...)
	f.waiting = append(f.waiting, done)
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

// probeName is an object that never exists.
const probeName = "woaddoor/probe"

// probe tells whether the platform answers.
func (f *filer) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	_, err := f.store.Read(ctx, probeName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// loop files what has gathered, at most once in every, so that the number of
// writes does not grow with that of requests.
func (f *filer) loop(ctx context.Context) {
	for {
		select {
		case <-f.wake:
			f.flush()
			clock.Pause(ctx, f.every)
		case <-ctx.Done():
			f.flush()
			return
		}
	}
}

// flush writes what has gathered and tells those who wait.
func (f *filer) flush() {
	f.mu.Lock()
	records, waiting := f.pending, f.waiting
	f.pending, f.waiting = nil, nil
	f.mu.Unlock()
	var err error
	for len(records) > 0 && err == nil {
		n := min(len(records), maxBatch)
		err = f.write(records[:n])
		records = records[n:]
	}
	if err != nil {
		f.log.Warn("filing-failed", logs.Failure(err)...)
	}
	for _, done := range waiting {
		done <- err
	}
}

func (f *filer) write(records []bill.Record) error {
	f.seq++
	value, err := json.Marshal(bill.Batch{Records: records})
	if err != nil {
		return contract.Fail(contract.StepFile, "", err)
	}
	name := fmt.Sprintf("%s%s-%d-%08d", bill.Prefix, f.origin.VM, f.origin.Incarnation, f.seq)
	ctx, cancel := context.WithTimeout(context.Background(), fileTimeout)
	defer cancel()
	_, err = f.store.Create(ctx, name, value)
	if errors.Is(err, store.ErrExists) {
		return nil // an earlier try whose reply was lost
	}
	if err == nil {
		f.log.Info("bills-filed", zap.String("object", name), zap.Int("records", len(records)))
	}
	return contract.Fail(contract.StepFile, "platform", err)
}
