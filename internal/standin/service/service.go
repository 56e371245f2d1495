// Package service is a stand-in for a plain service and for the rating
// service: it counts the runs of each call and shows faults that a test sets.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"woaddoor/contract"
	"woaddoor/engine"
)

// Faults are what the service does wrong.
type Faults struct {
	// DropAfter runs that many calls and closes the connection unanswered.
	DropAfter int
	// DropBefore closes that many connections before the call is read.
	DropBefore int
	// Delay holds each answer back.
	Delay time.Duration
}

// Service is the stand-in. The zero value is not usable: see New.
type Service struct {
	incarnation contract.Incarnation

	// mu guards the fields below.
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns a service.
func New() *Service {
	return &Service{incarnation: contract.NewIncarnation(time.Now()), runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how many times a call with this body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Handler serves every path, and the load report.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathLoad, s.serveLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(contract.Load{Incarnation: s.incarnation})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	if f.DropBefore > 0 {
		s.faults.DropBefore--
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	drop := s.faults.DropAfter > 0
	if drop {
		s.faults.DropAfter--
	}
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		}
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.HeaderRequest, r.Header.Get(engine.HeaderRequest))
	_, _ = w.Write([]byte("done " + string(body)))
}
