// Package objects is a stand-in for the object store of the users' platform, with its published
// protocol: objects by kind and name with revisions, conditional writes, paged lists and watches.
// It counts calls, and tests can inject faults.
package objects

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object in its JSON form.
type Object struct {
	Metadata Metadata        `json:"Metadata"`
	Spec     json.RawMessage `json:"Spec"`
	Status   json.RawMessage `json:"Status"`
}

// Metadata holds an object's name and the revision of its latest change.
type Metadata struct {
	Name       string   `json:"Name"`
	Revision   int64    `json:"Revision"`
	CreatedAt  int64    `json:"CreatedAt"`
	Finalizers []string `json:"Finalizers"`
}

// Faults are the faults of the store, in effect until they are replaced.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Hang leaves every call unanswered until the fault is cleared or the caller disconnects.
	Hang bool
	// DropAnswers is how many of the next writes are applied but get no answer,
	// because the connection is closed.
	DropAnswers int
	// StallWatches makes watches wait until they time out, even if there are changes.
	StallWatches bool
	// RateLimited is the set of IP addresses whose calls are answered with 429.
	RateLimited map[string]bool
}

// Store is the stand-in, an http.Handler.
type Store struct {
	// PageSize is the number of objects on a page. Zero means 500.
	PageSize int

	mu sync.Mutex
	// era is how often the store has returned from a backup, counted from 1.
	era         int64
	revision    int64
	objects     map[string]map[string]Object
	log         []event
	compactedTo int64 // changes up to this revision are no longer in the log
	changed     chan struct{}
	faults      Faults
	calls       map[string]int
}

type event struct {
	kind     string
	revision int64
	deleted  bool
	object   Object
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// CallCount returns how many calls with an HTTP method were received.
func (s *Store) CallCount(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put writes an object's spec, as the operator or an upstream would, and returns the new revision.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only for a spec that JSON cannot encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = raw
	return s.putLocked(kind, name, o)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind, name)
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// Names returns the sorted names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Count returns how many objects of a kind there are.
func (s *Store) Count(kind string) int { return len(s.Names(kind)) }

// Compact drops the log of changes, so that watches from older revisions fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compactedTo = nil, s.revision
	s.notifyWatches()
}

// Backup is a copy of the contents of a store.
type Backup struct {
	revision int64
	objects  map[string]map[string]Object
	log      []event
}

// Backup returns a copy of the contents.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Backup{revision: s.revision, objects: make(map[string]map[string]Object), log: slices.Clone(s.log)}
	for kind, objects := range s.objects {
		b.objects[kind] = maps.Clone(objects)
	}
	return b
}

// Restore replaces the contents by a backup. Everything that was written since the backup is
// lost, revisions are given out again, and waiting watches are cut.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.log = b.revision, slices.Clone(b.log)
	s.objects = make(map[string]map[string]Object)
	for kind, objects := range b.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.notifyWatches()
}

// eraHeader is the header of all answers that holds the era.
const eraHeader = "Store-Era"

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putLocked stores an object under a new revision. The caller holds mu.
func (s *Store) putLocked(kind, name string, o Object) int64 {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreatedAt == 0 {
		o.Metadata.CreatedAt = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][name] = o
	s.log = append(s.log, event{kind, s.revision, false, o})
	s.notifyWatches()
	return s.revision
}

func (s *Store) deleteLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.log = append(s.log, event{kind, s.revision, true, o})
	s.notifyWatches()
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.serveWatch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.serveList(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 2:
		s.serveRead(w, path[0], path[1])
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.serveWrite(w, r, path)
	case r.Method == http.MethodDelete && len(path) == 2:
		s.serveDelete(w, path[0], path[1])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// admit counts a call and applies the faults that concern every call. It returns false if
// the call has been answered or its caller has disconnected.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		faults, changed := s.faults, s.changed
		s.calls[r.Method]++
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		switch {
		case faults.RateLimited[host]:
			w.WriteHeader(http.StatusTooManyRequests)
			return false
		case faults.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case !faults.Hang:
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	afterName := r.URL.Query().Get("SinceRevision")
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > afterName {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	size := s.PageSize
	if size == 0 {
		size = 500
	}
	more := len(names) > size
	entries := []Object{}
	for _, name := range names[:min(size, len(names))] {
		entries = append(entries, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"Entries": entries, "HasMore": more, "Timestamp": s.revision})
}

func (s *Store) serveRead(w http.ResponseWriter, kind, name string) {
	o, ok := s.Get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

type change struct {
	Deleted bool
	Object  Object
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	afterRevision, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	era := w.Header().Get(eraHeader)
	for {
		s.mu.Lock()
		events, revision, changed := s.changesSince(kind, afterRevision), s.revision, s.changed
		gone := afterRevision < s.compactedTo || afterRevision > s.revision
		stalled, restored := s.faults.StallWatches, era != strconv.FormatInt(s.era, 10)
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !stalled {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "Timestamp": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": []change{}, "Timestamp": afterRevision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesSince(kind string, afterRevision int64) []change {
	var changes []change
	for _, e := range s.log {
		if e.kind == kind && e.revision > afterRevision {
			changes = append(changes, change{e.deleted, e.object})
		}
	}
	return changes
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, path []string) {
	var received Object
	if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := path[0], received.Metadata.Name
	if len(path) > 1 {
		name = path[1]
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, received.Metadata.Revision != 0 && received.Metadata.Revision != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	updated := old
	if len(path) > 2 {
		updated.Status = received.Status
	} else {
		updated.Spec = received.Spec
	}
	s.putLocked(kind, name, updated)
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, s.objects[kind][name])
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// serveDelete deletes an object at a client's request.
func (s *Store) serveDelete(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[kind][name]; !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.deleteLocked(kind, name)
	w.WriteHeader(http.StatusOK)
}
