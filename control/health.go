package control

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"woaddoor/contract"
	"woaddoor/vm"
)

// measures are the metrics of a control process.
type measures struct {
	registry      metrics.Registry
	watchFailures metrics.Counter
	relayFailures metrics.Counter
	beatFailures  metrics.Counter
	sentBytes     metrics.Gauge
	receivedBytes metrics.Gauge
	age           metrics.Gauge
}

func newMeasures(r metrics.Registry) *measures {
	return &measures{
		registry:      r,
		watchFailures: metrics.NewRegisteredCounter("watch_failures_total", r),
		relayFailures: metrics.NewRegisteredCounter("relay_failures_total", r),
		beatFailures:  metrics.NewRegisteredCounter("heartbeat_failures_total", r),
		sentBytes:     metrics.NewRegisteredGauge("link_sent_bytes", r),
		receivedBytes: metrics.NewRegisteredGauge("link_received_bytes", r),
		age:           metrics.NewRegisteredGauge("configuration_age_nanoseconds", r),
	}
}

// healthRoutes serves health, status and metrics.
func (s *Server) healthRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/status", s.serveStatus)
	r.HandleFunc("/metrics", s.serveMetrics)
	return r
}

// status is the page that operators and tests read.
type status struct {
	VM       string        `json:"vm"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age_nanoseconds"`
	Watches  bool          `json:"watches"`
	Members  []vm.Member   `json:"members"`
	Halts    int           `json:"halts"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	st := status{VM: string(s.opts.Settings.VM)}
	s.locked(func() {
		now := s.clock.Now()
		st.Revision, st.Age = uint64(s.replica.Held().Revision), s.replica.Age(now)
		st.Watches = s.table.Watches(s.opts.Settings.Control.Watchers, now)
		st.Members, st.Halts = s.table.Live(now), len(s.halts)
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	sent, received := s.endpoint.Traffic()
	s.metrics.sentBytes.Update(sent)
	s.metrics.receivedBytes.Update(received)
	s.locked(func() { s.metrics.age.Update(int64(s.replica.Age(s.clock.Now()))) })
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.metrics.registry, w)
}

// Traffic returns the bytes of messages sent and received so far.
func (s *Server) Traffic() (sent, received int64) { return s.endpoint.Traffic() }

// Revision returns the revision held.
func (s *Server) Revision() contract.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Held().Revision
}
