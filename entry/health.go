package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// healthRoutes serves health, readiness, status and metrics on a listener of
// their own.
func (s *Server) healthRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/readyz", s.serveReady)
	r.HandleFunc("/status", s.serveStatus)
	r.HandleFunc("/metrics", s.serveMetrics)
	return r
}

// serveReady answers 200 when requests are taken: a configuration is held, an
// upstream has answered, and no stop is under way. What a request needs
// besides is said to its caller.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	heard := false
	s.locked(func() { heard = s.upstreams.Heard() })
	if s.stopping.Load() || s.view.Load().revision == 0 || !heard {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// status is the page that operators and tests read.
type status struct {
	VM          string        `json:"vm"`
	DataCentre  string        `json:"data_centre"`
	Incarnation uint64        `json:"incarnation"`
	Revision    uint64        `json:"revision"`
	Age         time.Duration `json:"age_nanoseconds"`
	Members     int           `json:"members"`
	// Arbiters is how many entry processes a ticket issued now would name;
	// Keepers how many may hold copies of bill records.
	Arbiters    int  `json:"arbiters"`
	Keepers     int  `json:"keepers"`
	Waiting     int  `json:"waiting"`
	BillsHeld   int  `json:"bills_held"`
	BillsAtRisk int  `json:"bills_at_risk"`
	Tickets     int  `json:"tickets"`
	Stopping    bool `json:"stopping"`
}

func (s *Server) status() status {
	v := s.view.Load()
	st := status{
		VM: string(s.opts.Settings.VM), DataCentre: string(s.opts.Settings.DataCentre),
		Incarnation: uint64(s.incarnation), Revision: uint64(v.revision),
		Age: s.clock.Now().Sub(v.know.FreshAt), Members: len(v.members), Stopping: s.stopping.Load(),
	}
	if v.know.FreshAt.IsZero() {
		st.Age = -1 // never known
	}
	st.Arbiters, st.Keepers = len(s.arbiters()), len(s.keepers())
	s.locked(func() {
		st.Waiting = s.engines.Waiting() + s.services.Waiting()
		st.BillsHeld, st.BillsAtRisk = s.bills.Len(), s.bills.AtRisk()
		st.Tickets = s.register.Len()
	})
	return st
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.status())
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	st := s.status()
	s.metrics.billsAtRisk.Update(int64(st.BillsAtRisk))
	s.metrics.billsHeld.Update(int64(st.BillsHeld))
	s.metrics.tickets.Update(int64(st.Tickets))
	s.metrics.waiting.Update(int64(st.Waiting))
	s.metrics.freshness.Update(int64(st.Age))
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.metrics.registry, w)
}
