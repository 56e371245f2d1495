// Package rating is a stand-in for the rating service: it rates each version
// by a score that the test sets, and counts.
package rating

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/rating"
)

// Service is the stand-in. The zero value is not usable: see New.
type Service struct {
	// mu guards the fields below.
	mu     sync.Mutex
	scores map[contract.VersionID]float64
	rated  int
}

// New returns a service that rates everything as good.
func New() *Service { return &Service{scores: make(map[contract.VersionID]float64)} }

// SetScore makes the answers of a version get this score.
func (s *Service) SetScore(v contract.VersionID, score float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scores[v] = score
}

// Rated returns how many answers were rated.
func (s *Service) Rated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rated
}

// Handler serves the rating call and a load report.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(contract.Load{Incarnation: 1})
	})
	r.HandleFunc(rating.Path, s.serve).Methods(http.MethodPost)
	return r
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var a rating.Answer
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	score, ok := s.scores[a.Version]
	if !ok {
		score = 1
	}
	s.rated++
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(rating.Rating{Score: score})
}
