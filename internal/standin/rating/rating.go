// Package rating is a stand-in for the rating service. It rates the answers of each version with a
// score that the test sets, and counts the rated answers.
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

// Service is the stand-in. Use New to create one.
type Service struct {
	// mu guards the fields below.
	mu         sync.Mutex
	scores     map[contract.VersionID]float64
	ratedCount int
}

// New returns a service that rates every answer with 1 until SetScore is called.
func New() *Service { return &Service{scores: make(map[contract.VersionID]float64)} }

// SetScore sets the score that the answers of a version get.
func (s *Service) SetScore(version contract.VersionID, score float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scores[version] = score
}

// RatedCount returns how many answers were rated.
func (s *Service) RatedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratedCount
}

// Handler serves the rating call and the load report.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(contract.LoadReport{Incarnation: 1})
	})
	r.HandleFunc(rating.Path, s.serveRating).Methods(http.MethodPost)
	return r
}

func (s *Service) serveRating(w http.ResponseWriter, r *http.Request) {
	var answer rating.Answer
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	score, ok := s.scores[answer.Version]
	if !ok {
		score = 1
	}
	s.ratedCount++
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(rating.Rating{Score: score})
}
