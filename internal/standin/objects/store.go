// Package objects is a stand-in for the store of the users' platform, by its
// published protocol: objects by kind and name with revisions, conditional
// writes, pages and watches. It shows faults that a test sets, and counts calls.
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

// Object is one object as it is sent.
type Object struct {
	Metadata Metadata        `json:"Metadata"`
	Spec     json.RawMessage `json:"Spec"`
	Status   json.RawMessage `json:"Status"`
}

// Metadata names an object and its newest change.
type Metadata struct {
	Name       string   `json:"Name"`
	Revision   int64    `json:"Revision"`
	CreatedAt  int64    `json:"CreatedAt"`
	Finalizers []string `json:"Finalizers"`
}

// Faults are what the store does wrong until they are changed.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Silent holds every call until the fault ends or the caller goes.
	Silent bool
	// LoseAnswers carries out that many writes and cuts their connections.
	LoseAnswers int
	// DeafWatches holds watches for their whole wait though there are changes.
	DeafWatches bool
	// Refuse answers calls from these IP addresses with 429.
	Refuse map[string]bool
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	// Page is how many objects a page holds. Zero means 500.
	Page int

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	log      []event
	floor    int64 // history up to here is gone
	changed  chan struct{}
	faults   Faults
	calls    map[string]int
}

type event struct {
	kind    string
	at      int64
	deleted bool
	object  Object
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns how many calls of a method there were.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put writes an object as the operator or an upstream would.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = raw
	return s.write(kind, name, o)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// Names returns the names of the objects of a kind, in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Count returns how many objects of a kind there are.
func (s *Store) Count(kind string) int { return len(s.Names(kind)) }

// Compact forgets the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.floor = nil, s.revision
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores an object under a new revision. The caller holds mu.
func (s *Store) write(kind, name string, o Object) int64 {
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
	s.wake()
	return s.revision
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.log = append(s.log, event{kind, s.revision, true, o})
	s.wake()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 2:
		s.read(w, path[0], path[1])
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, path)
	case r.Method == http.MethodDelete && len(path) == 2:
		s.erase(w, path[0], path[1])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// enter counts a call and shows the faults that concern all.
func (s *Store) enter(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.calls[r.Method]++
		s.mu.Unlock()
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		switch {
		case f.Refuse[host]:
			w.WriteHeader(http.StatusTooManyRequests)
			return false
		case f.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case !f.Silent:
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("SinceRevision")
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	size := s.Page
	if size == 0 {
		size = 500
	}
	more := len(names) > size
	entries := []Object{}
	for _, name := range names[:min(size, len(names))] {
		entries = append(entries, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"Entries": entries, "HasMore": more, "Timestamp": s.revision})
}

func (s *Store) read(w http.ResponseWriter, kind, name string) {
	o, ok := s.Get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

type change struct {
	Deleted bool
	Object  Object
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, gone, changed := s.since(kind, after), s.revision, after < s.floor, s.changed
		deaf := s.faults.DeafWatches
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			answer(w, http.StatusOK, map[string]any{"events": events, "Timestamp": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": []change{}, "Timestamp": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(kind string, after int64) []change {
	var out []change
	for _, e := range s.log {
		if e.kind == kind && e.at > after {
			out = append(out, change{e.deleted, e.object})
		}
	}
	return out
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, path []string) {
	var in Object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := path[0], in.Metadata.Name
	if len(path) > 1 {
		name = path[1]
	}
	old, had := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && had, in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !had:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := old
	if len(path) > 2 {
		next.Status = in.Status
	} else {
		next.Spec = in.Spec
	}
	s.write(kind, name, next)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, s.objects[kind][name])
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// erase removes an object for a caller.
func (s *Store) erase(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, had := s.objects[kind][name]; !had {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.remove(kind, name)
	w.WriteHeader(http.StatusOK)
}
