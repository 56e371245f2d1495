package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
}

type metadata struct {
	Name            string
	Revision        int64
	CreatedAt       int64
	Finalizers      []string
	DeletionPending bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type change struct {
	kind     string
	revision int64
	Deleted  bool
	Object   object
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// wake tells the watches that something has changed. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the Spec of an object, as the operator or a server does, and returns when it was accepted.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, func(o *object) { o.Spec = raw })
	return time.Now()
}

// write changes an object under a new revision. The caller holds mu.
func (s *store) write(kind, name string, apply func(*object)) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedAt: s.revision, Finalizers: []string{}}, Spec: json.RawMessage("null"), Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	apply(o)
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind: kind, revision: s.revision, Object: *o})
	s.wake()
	return *o
}

// remove removes an object, and returns when that was accepted.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.revision++
		delete(s.objects[kind], name)
		gone := *o
		gone.Metadata.Revision = s.revision
		s.history = append(s.history, change{kind: kind, revision: s.revision, Deleted: true, Object: gone})
		s.wake()
	}
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("Watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, path[0], q.Get("SinceRevision"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[path[0]][path[1]]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, *o)
	case r.Method == http.MethodDelete && len(path) == 2:
		s.remove(path[0], path[1])
		w.WriteHeader(http.StatusOK)
	default:
		s.change(w, r, path)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	entries := []object{}
	for _, name := range names[:min(pageSize, len(names))] {
		entries = append(entries, *s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"Entries": entries, "HasMore": len(names) > pageSize, "Timestamp": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"Deleted": c.Deleted, "Object": c.Object})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "Timestamp": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "Timestamp": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change serves POST and PUT.
func (s *store) change(w http.ResponseWriter, r *http.Request, path []string) {
	var got object
	if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := path[0], got.Metadata.Name
	if len(path) > 1 {
		name = path[1]
	}
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && got.Metadata.Revision != 0 && got.Metadata.Revision != o.Metadata.Revision:
		answer(w, http.StatusConflict, *o)
		return
	case r.Method == http.MethodPut && o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	status := len(path) > 2
	if o != nil && (status && string(o.Status) == string(got.Status) || !status && string(o.Spec) == string(got.Spec)) {
		answer(w, http.StatusOK, *o) // a PUT that changes nothing produces no revision
		return
	}
	answer(w, http.StatusOK, s.write(kind, name, func(o *object) {
		if status {
			o.Status = got.Status
		} else {
			o.Spec, o.Metadata.Finalizers = got.Spec, append([]string{}, got.Metadata.Finalizers...)
		}
	}))
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
