// Package store is a stand-in for the platform's service: an object store
// with versions, conditional updates and watches, and a VM list that lags.
// It counts each call, limits their rate, and shows faults that a test sets.
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

// Faults are what the stand-in does wrong until they are changed.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// LoseReplies makes that many writes take effect and then fail.
	LoseReplies int
	// LoseRepliesTo limits LoseReplies to objects whose name begins so.
	LoseRepliesTo string
	// Slow delays each call.
	Slow time.Duration
	// StaleReads answers reads and watches from the state at the time the
	// fault was set, as a lagging replica would.
	StaleReads bool
	// FrozenList answers with the VM list as it was when the fault was set.
	FrozenList bool
}

// Counts are the calls answered so far.
type Counts struct{ Reads, Writes, Watches, Lists int }

// Store is the stand-in. The zero value is not usable: see New.
type Store struct {
	// mu guards all fields.
	mu      sync.Mutex
	objects map[string]store.Object
	stale   map[string]store.Object
	version contract.ObjectVersion
	changed chan struct{}
	vms     []contract.VMEntry
	oldVMs  []contract.VMEntry
	faults  Faults
	counts  Counts
	// cut holds the clients, by name, that cannot reach the platform.
	cut map[string]bool
	// writesPerSecond limits writes; zero means no limit.
	writesPerSecond int
	window          time.Time
	inWindow        int
}

// errDown is what a client sees of an outage.
var errDown = errors.New("platform stand-in: no answer")

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]store.Object), changed: make(chan struct{}), cut: make(map[string]bool)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.stale = make(map[string]store.Object, len(s.objects))
		for k, v := range s.objects {
			s.stale[k] = v
		}
	}
	if f.FrozenList && !s.faults.FrozenList {
		s.oldVMs = slices.Clone(s.vms)
	}
	s.faults = f
	s.wake()
}

// Cut separates a client, by its name, from the platform, or joins it again.
func (s *Store) Cut(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
	s.wake()
}

// LimitWrites sets the number of writes a second; zero means no limit.
func (s *Store) LimitWrites(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesPerSecond = perSecond
}

// Counts returns the calls answered so far.
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

// wake lets waiting watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the store as one named client sees it.
func (s *Store) View(client string) *View { return &View{store: s, client: client} }

// View is the store as one client sees it: a cut concerns only its client.
type View struct {
	store  *Store
	client string
}

// enter begins a call: it waits out slowness and fails in an outage.
func (v *View) enter(ctx context.Context) error {
	s := v.store
	s.mu.Lock()
	slow, down := s.faults.Slow, s.faults.Down || s.cut[v.client]
	s.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if down {
		return errDown
	}
	return nil
}

// Read returns an object.
func (v *View) Read(ctx context.Context, name string) (store.Object, error) {
	if err := v.enter(ctx); err != nil {
		return store.Object{}, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.lookup(name)
}

// lookup returns an object as reads see it. The caller holds mu.
func (s *Store) lookup(name string) (store.Object, error) {
	from := s.objects
	if s.faults.StaleReads {
		from = s.stale
	}
	o, ok := from[name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// Create writes a new object.
func (v *View) Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	return v.write(ctx, name, value, func(_ store.Object, exists bool) error {
		if exists {
			return store.ErrExists
		}
		return nil
	})
}

// Update replaces an object of a known version.
func (v *View) Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error) {
	return v.write(ctx, name, value, func(o store.Object, exists bool) error {
		if !exists || o.Version != version {
			return store.ErrConflict
		}
		return nil
	})
}

func (v *View) write(ctx context.Context, name string, value []byte, condition func(store.Object, bool) error) (contract.ObjectVersion, error) {
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if s.overLimit() {
		return 0, store.ErrTooMany
	}
	if contract.Bytes(len(value)) > contract.MiB {
		return 0, errors.New("value over a megabyte")
	}
	old, exists := s.objects[name]
	if err := condition(old, exists); err != nil {
		return 0, err
	}
	s.version++
	s.objects[name] = store.Object{Name: name, Version: s.version, Value: slices.Clone(value)}
	s.wake()
	if s.faults.LoseReplies > 0 && strings.HasPrefix(name, s.faults.LoseRepliesTo) {
		s.faults.LoseReplies--
		return 0, errDown
	}
	return s.version, nil
}

// overLimit counts a write against the limit. The caller holds mu.
func (s *Store) overLimit() bool {
	if s.writesPerSecond == 0 {
		return false
	}
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.window, s.inWindow = now, 0
	}
	s.inWindow++
	return s.inWindow > s.writesPerSecond
}

// List returns names under a prefix.
func (v *View) List(ctx context.Context, prefix, after string) ([]string, error) {
	if err := v.enter(ctx); err != nil {
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
	return names[:min(len(names), store.ListPage)], nil
}

// Watch waits for another version of an object.
func (v *View) Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (store.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	v.store.mu.Lock()
	v.store.counts.Watches++
	v.store.mu.Unlock()
	for {
		if err := v.enter(ctx); err != nil {
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
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	if s.faults.FrozenList {
		return slices.Clone(s.oldVMs), nil
	}
	return slices.Clone(s.vms), nil
}
