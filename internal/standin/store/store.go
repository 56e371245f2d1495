// Package store is a stand-in for the platform's store: objects with versions, conditional updates
// and watches, and a VM list. It counts calls and limits the rate of writes,
// and tests can inject faults.
package store

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/store"
)

// Faults are the faults of the store, in effect until they are replaced.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// DropReplies is how many of the next writes take effect although the client sees a failure.
	DropReplies int
	// DropRepliesPrefix limits DropReplies to objects whose name has this prefix.
	DropRepliesPrefix string
	// Latency is the time by which each call is delayed.
	Latency time.Duration
	// StaleReads answers reads and watches from the state at the time
	// when the fault was set, as a lagging replica would.
	StaleReads bool
	// FreezeVMList answers with the VM list as it was when the fault was set.
	FreezeVMList bool
}

// Counts are the numbers of calls received so far. The number Lists includes calls for the VM list.
type Counts struct{ Reads, Writes, Watches, Lists int }

// Store is the stand-in. Use New to create one.
type Store struct {
	// mu guards all fields.
	mu           sync.Mutex
	objects      map[string]store.Object
	staleObjects map[string]store.Object
	version      contract.ObjectVersion
	changed      chan struct{}
	vms          []contract.VMEntry
	frozenVMs    []contract.VMEntry
	faults       Faults
	counts       Counts
	// disconnected holds the names of the clients that cannot reach the store.
	disconnected map[string]bool
	// writesPerSecond limits writes; zero means no limit. windowWrites counts the writes of the
	// one-second window that began at windowStart.
	writesPerSecond int
	windowStart     time.Time
	windowWrites    int
}

// errUnreachable is the error of a call that gets no answer.
var errUnreachable = errors.New("store stand-in: no answer")

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]store.Object), changed: make(chan struct{}), disconnected: make(map[string]bool)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleObjects = make(map[string]store.Object, len(s.objects))
		for k, v := range s.objects {
			s.staleObjects[k] = v
		}
	}
	if f.FreezeVMList && !s.faults.FreezeVMList {
		s.frozenVMs = slices.Clone(s.vms)
	}
	s.faults = f
	s.notifyWatches()
}

// SetDisconnected disconnects a client, by its name, from the store, or reconnects it.
func (s *Store) SetDisconnected(client string, disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected[client] = disconnected
	s.notifyWatches()
}

// LimitWrites sets the maximum number of writes per second; zero means no limit.
func (s *Store) LimitWrites(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesPerSecond = perSecond
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the VM list.
func (s *Store) SetVMs(vms []contract.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// notifyWatches wakes the waiting watches, so that they check for changes. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the store as the named client sees it.
func (s *Store) View(client string) *View { return &View{store: s, client: client} }

// View is the store as one client sees it. SetDisconnected affects only the views of the client
// that it names.
type View struct {
	store  *Store
	client string
}

// beginCall delays a call by the set latency, and fails if the store is unreachable for the client.
func (v *View) beginCall(ctx context.Context) error {
	s := v.store
	s.mu.Lock()
	latency, unreachable := s.faults.Latency, s.faults.Down || s.disconnected[v.client]
	s.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if unreachable {
		return errUnreachable
	}
	return nil
}

// Read returns an object.
func (v *View) Read(ctx context.Context, name string) (store.Object, error) {
	if err := v.beginCall(ctx); err != nil {
		return store.Object{}, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.lookup(name)
}

// lookup returns an object for a read or watch, from the stale state if the fault StaleReads is
// set. The caller holds mu.
func (s *Store) lookup(name string) (store.Object, error) {
	objects := s.objects
	if s.faults.StaleReads {
		objects = s.staleObjects
	}
	o, ok := objects[name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// Create writes a new object. It fails with store.ErrExists if an object has that name already.
func (v *View) Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	return v.write(ctx, name, value, func(_ store.Object, exists bool) error {
		if exists {
			return store.ErrExists
		}
		return nil
	})
}

// Update replaces an object. It fails with store.ErrConflict
// if the object does not have the given version.
func (v *View) Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error) {
	return v.write(ctx, name, value, func(o store.Object, exists bool) error {
		if !exists || o.Version != version {
			return store.ErrConflict
		}
		return nil
	})
}

func (v *View) write(ctx context.Context, name string, value []byte, condition func(store.Object, bool) error) (contract.ObjectVersion, error) {
	if err := v.beginCall(ctx); err != nil {
		return 0, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if s.exceedsWriteLimit() {
		return 0, store.ErrRateLimited
	}
	if contract.Bytes(len(value)) > contract.MiB {
		return 0, errors.New("value is larger than 1 MiB")
	}
	old, exists := s.objects[name]
	if err := condition(old, exists); err != nil {
		return 0, err
	}
	s.version++
	s.objects[name] = store.Object{Name: name, Version: s.version, Value: slices.Clone(value)}
	s.notifyWatches()
	if s.faults.DropReplies > 0 && strings.HasPrefix(name, s.faults.DropRepliesPrefix) {
		s.faults.DropReplies--
		return 0, errUnreachable
	}
	return s.version, nil
}

// exceedsWriteLimit counts a write and reports whether it exceeds the limit. The caller holds mu.
func (s *Store) exceedsWriteLimit() bool {
	if s.writesPerSecond == 0 {
		return false
	}
	if now := time.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowWrites = now, 0
	}
	s.windowWrites++
	return s.windowWrites > s.writesPerSecond
}

// List returns a page of the sorted object names that have a prefix and come after a given name.
func (v *View) List(ctx context.Context, prefix, after string) ([]string, error) {
	if err := v.beginCall(ctx); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), store.ListPageSize)], nil
}

// Watch waits until an object has a version other than the given one. If the version stays the same
// for the wait time, Watch fails with store.ErrUnchanged.
func (v *View) Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (store.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	v.store.mu.Lock()
	v.store.counts.Watches++
	v.store.mu.Unlock()
	for {
		if err := v.beginCall(ctx); err != nil {
			return store.Object{}, err
		}
		v.store.mu.Lock()
		o, err := v.store.lookup(name)
		changed := v.store.changed
		v.store.mu.Unlock()
		if err == nil && o.Version != after {
			return o, nil
		}
		if err != nil && after != 0 {
			return store.Object{}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.Object{}, store.ErrUnchanged
		case <-ctx.Done():
			return store.Object{}, ctx.Err()
		}
	}
}

// VMs returns the VM list.
func (v *View) VMs(ctx context.Context) ([]contract.VMEntry, error) {
	if err := v.beginCall(ctx); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	if s.faults.FreezeVMList {
		return slices.Clone(s.frozenVMs), nil
	}
	return slices.Clone(s.vms), nil
}
