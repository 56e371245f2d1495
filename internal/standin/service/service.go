// Package service is a stand-in for a plain HTTP service.
// It counts the runs of each call, and tests can inject faults.
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

// Faults are the faults of the service, in effect until they are replaced.
type Faults struct {
	// DropAfterRun is how many of the next calls run but get no answer,
	// because the connection is closed.
	DropAfterRun int
	// DropBeforeRead is how many of the next connections are closed before the call is read.
	DropBeforeRead int
	// Delay is the time by which each answer is delayed.
	Delay time.Duration
}

// Service is the stand-in. Use New to create one.
type Service struct {
	incarnation contract.Incarnation

	// mu guards the fields below.
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns a service without faults.
func New() *Service {
	return &Service{incarnation: contract.NewIncarnation(time.Now()), runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCount returns how often a call with this body was run.
func (s *Service) RunCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Handler serves the load report, and plain calls on every other path.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathLoad, s.serveLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serveCall)
	return r
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(contract.LoadReport{Incarnation: s.incarnation})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	if faults.DropBeforeRead > 0 {
		s.faults.DropBeforeRead--
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
	drop := s.faults.DropAfterRun > 0
	if drop {
		s.faults.DropAfterRun--
	}
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
		}
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	_, _ = w.Write([]byte("done " + string(body)))
}
