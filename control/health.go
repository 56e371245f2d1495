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

// serverMetrics holds the metrics of a control process.
type serverMetrics struct {
	registry          metrics.Registry
	watchFailures     metrics.Counter
	pullFailures      metrics.Counter
	heartbeatFailures metrics.Counter
	sentBytes         metrics.Gauge
	receivedBytes     metrics.Gauge
	configurationAge  metrics.Gauge
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	return &serverMetrics{
		registry:          r,
		watchFailures:     metrics.NewRegisteredCounter("watch_failures_total", r),
		pullFailures:      metrics.NewRegisteredCounter("relay_failures_total", r),
		heartbeatFailures: metrics.NewRegisteredCounter("heartbeat_failures_total", r),
		sentBytes:         metrics.NewRegisteredGauge("link_sent_bytes", r),
		receivedBytes:     metrics.NewRegisteredGauge("link_received_bytes", r),
		configurationAge:  metrics.NewRegisteredGauge("configuration_age_nanoseconds", r),
	}
}

// healthHandler serves the health check, the status page and the metrics.
func (s *Server) healthHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/status", s.serveStatus)
	r.HandleFunc("/metrics", s.serveMetrics)
	return r
}

// statusPage is the JSON document served at /status for operators and tests.
type statusPage struct {
	VM               string        `json:"vm"`
	Revision         uint64        `json:"revision"`
	ConfigurationAge time.Duration `json:"age_nanoseconds"`
	IsWatcher        bool          `json:"watches"`
	Members          []vm.Member   `json:"members"`
	HaltCount        int           `json:"halts"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	page := statusPage{VM: string(s.opts.Settings.VM)}
	s.withLock(func() {
		now := s.clock.Now()
		page.Revision, page.ConfigurationAge = uint64(s.replica.Document().Revision), s.replica.Age(now)
		page.IsWatcher = s.table.IsWatcher(s.opts.Settings.Control.Watchers, now)
		page.Members, page.HaltCount = s.table.Live(now), len(s.halted)
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	sent, received := s.endpoint.TrafficBytes()
	s.metrics.sentBytes.Update(sent)
	s.metrics.receivedBytes.Update(received)
	s.withLock(func() { s.metrics.configurationAge.Update(int64(s.replica.Age(s.clock.Now()))) })
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.metrics.registry, w)
}

// Traffic returns how many bytes the link endpoint has sent and received since
// the process started.
func (s *Server) Traffic() (sent, received int64) { return s.endpoint.TrafficBytes() }

// Revision returns the revision of the configuration document that this process
// holds.
func (s *Server) Revision() contract.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Document().Revision
}
