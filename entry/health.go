package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// healthRoutes returns the handler of the health, readiness, status and metrics endpoints.
// The endpoints are served on a listener of their own, not on the callers' listener.
func (s *Server) healthRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/readyz", s.serveReady)
	r.HandleFunc("/status", s.serveStatus)
	r.HandleFunc("/metrics", s.serveMetrics)
	return r
}

// serveReady answers 200 when this process accepts requests: the process has a configuration,
// an upstream has answered, and the process is not stopping. Otherwise serveReady answers 503.
// Conditions of a single request are checked when that request arrives.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	anyAnswered := false
	s.locked(func() { anyAnswered = s.upstreams.HasReport() })
	if s.stopping.Load() || s.view.Load().revision == 0 || !anyAnswered {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// status is the JSON document of the /status endpoint, read by operators and tests.
type status struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision in use.
	// Revision is 0 if there is no configuration yet.
	Revision uint64 `json:"revision"`
	// Age is the time since the configuration was last confirmed as the newest. Age is -1 if the
	// configuration was never confirmed.
	Age time.Duration `json:"age_nanoseconds"`
	// Members is the number of VMs known to be live.
	Members int `json:"members"`
	// Arbiters is the number of entry processes that would vote on a ticket issued now.
	Arbiters int `json:"arbiters"`
	// Keepers is the number of peers available to store copies of bill records.
	Keepers int `json:"keepers"`
	// Waiting is the number of requests in the admission queues.
	Waiting int `json:"waiting"`
	// BillsHeld is the number of bill records stored on this VM.
	BillsHeld int `json:"bills_held"`
	// BillsAtRisk is the number of bill records of which no copy exists elsewhere.
	BillsAtRisk int `json:"bills_at_risk"`
	// Tickets is the number of tickets on which this process has voted and that it remembers.
	Tickets  int  `json:"tickets"`
	Stopping bool `json:"stopping"`
}

// status returns the current content of the status page.
func (s *Server) status() status {
	v := s.view.Load()
	st := status{
		VM: string(s.opts.Settings.VM), DataCentre: string(s.opts.Settings.DataCentre),
		Incarnation: uint64(s.incarnation), Revision: uint64(v.revision),
		Age: s.clock.Now().Sub(v.snapshot.FreshAt), Members: len(v.members), Stopping: s.stopping.Load(),
	}
	if v.snapshot.FreshAt.IsZero() {
		st.Age = -1 // the configuration was never confirmed as the newest
	}
	st.Arbiters, st.Keepers = len(s.arbiters()), len(s.copyPeers())
	s.locked(func() {
		st.Waiting = s.engineQueue.Waiting() + s.serviceQueue.Waiting()
		st.BillsHeld, st.BillsAtRisk = s.bills.Len(), s.bills.AtRiskCount()
		st.Tickets = s.voteStore.Len()
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
	s.metrics.configAge.Update(int64(st.Age))
	p := s.callers.Pressure()
	s.metrics.callerMemory.Update(int64(p.Memory.Used))
	s.metrics.callersGaveWay.Update(p.Memory.Evicted + p.ConnsStalled)
	s.metrics.callersDenied.Update(p.Memory.Denied + p.ConnsRejected)
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.metrics.registry, w)
}
