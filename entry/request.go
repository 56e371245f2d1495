package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"woaddoor/bill"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/workspace"
)

// Headers of callers' requests and of answers. Those of requests are optional.
const (
	// HeaderIdempotency makes retries under one key be billed once.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRepeatable set to "no" says that the request may not be repeated.
	HeaderRepeatable = "Woaddoor-Repeatable"
	// HeaderTicket carries the ticket of a request that may not be repeated.
	HeaderTicket = "Woaddoor-Ticket"
	// HeaderSession is "new" or the token that the router has given.
	HeaderSession = "Woaddoor-Session"
	// HeaderClass is "interactive" or "bulk".
	HeaderClass = "Woaddoor-Class"
	// HeaderTimeout is how long the caller waits, such as "30s".
	HeaderTimeout = "Woaddoor-Timeout"
	// HeaderStream takes up a stream again at another VM.
	HeaderStream = "Woaddoor-Stream"
	// The rest are of answers.
	HeaderRequestID = "Woaddoor-Request"
	HeaderVersion   = "Woaddoor-Version"
	HeaderUpstream  = "Woaddoor-Upstream"
	HeaderVM        = "Woaddoor-Vm"
	HeaderReplayed  = "Woaddoor-Replayed"
)

// Words of the headers.
const (
	sessionNew   = "new"
	repeatableNo = "no"
	classBulk    = "bulk"
	bearer       = "Bearer "
)

// Bounds of what callers send.
const (
	defaultTimeout = 2 * time.Minute
	maxTimeout     = time.Hour
	maxIdempotency = 255
)

// request is one caller's request.
type request struct {
	id          contract.RequestID
	workspace   *config.Workspace
	class       workspace.Class
	deadline    time.Time
	arrived     time.Time
	idempotency string
	repeatable  bool
	ticket      string
	session     string
	stream      string
	lastEvent   string
	body        []byte
	// billAs is what a stream that is taken up again was billed under.
	billAs bill.ID
}

// billID returns what the request is billed under. Retries under one
// idempotency key share it.
func (r *request) billID() bill.ID {
	if r.billAs != "" {
		return r.billAs
	}
	if r.idempotency == "" {
		return bill.ID(r.id)
	}
	sum := sha256.Sum256([]byte(r.idempotency))
	return bill.ID(hex.EncodeToString(sum[:16]))
}

// handler answers one authenticated request.
type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal

// callerRoutes are the paths that callers use.
func (s *Server) callerRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.serve(s.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.serve(s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", s.serve(s.issueTicket)).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", s.serve(s.service))
	return r
}

// serve wraps a handler with what every request needs: an id, its workspace,
// its deadline, its bounded body, and its one final answer.
func (s *Server) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.requests.Inc(1)
		id := contract.RequestID(ulid.Make().String())
		w.Header().Set(HeaderRequestID, string(id))
		w.Header().Set(HeaderVM, string(s.opts.Settings.VM))
		req, refused := s.read(w, r, id)
		if refused == nil {
			ctx, cancel := context.WithTimeout(r.Context(), req.deadline.Sub(req.arrived))
			defer cancel()
			refused = h(ctx, w, r, req)
		}
		if refused != nil {
			s.refuse(w, id, refused)
		}
	}
}

// stoppingRetry is when a caller refused by a stopping VM may come back; the
// balancer sends it elsewhere.
const stoppingRetry = time.Second

// read checks and reads what the caller sent.
func (s *Server) read(w http.ResponseWriter, r *http.Request, id contract.RequestID) (*request, *contract.Refusal) {
	if s.stopping.Load() {
		return nil, refusal(contract.RefusedStopping, contract.NotRun, contract.StepRead, "this VM is stopping").WithRetryAfter(stoppingRetry)
	}
	ws, ok := s.authenticate(r)
	if !ok {
		return nil, refusal(contract.RefusedKey, contract.NotRun, contract.StepAuth, "no workspace has this key")
	}
	now := s.clock.Now()
	req := &request{
		id: id, workspace: ws, arrived: now, deadline: now.Add(defaultTimeout),
		idempotency: r.Header.Get(HeaderIdempotency), repeatable: r.Header.Get(HeaderRepeatable) != repeatableNo,
		ticket: r.Header.Get(HeaderTicket), session: r.Header.Get(HeaderSession),
		stream: r.Header.Get(HeaderStream), lastEvent: r.Header.Get("Last-Event-ID"),
	}
	if r.Header.Get(HeaderClass) == classBulk {
		req.class = workspace.Bulk
	}
	if len(req.idempotency) > maxIdempotency {
		return nil, refusal(contract.RefusedRequest, contract.NotRun, contract.StepRead, HeaderIdempotency+" is longer than 255 characters")
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxTimeout {
			return nil, refusal(contract.RefusedRequest, contract.NotRun, contract.StepRead, HeaderTimeout+": expected a duration such as 30s, at most 1h")
		}
		req.deadline = now.Add(d)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.opts.Settings.Entry.MaxBody)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(contract.RefusedTooLarge, contract.NotRun, contract.StepRead, tooLarge.Error())
	}
	if err != nil {
		return nil, refusal(contract.RefusedRequest, contract.NotRun, contract.StepRead, "body could not be read")
	}
	req.body = body
	return req, nil
}

// authenticate finds the workspace by the hash of the key. Comparing hashes in
// a map tells nothing of a key by its timing.
func (s *Server) authenticate(r *http.Request) (*config.Workspace, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || key == "" {
		return nil, false
	}
	return s.view.Load().know.Config.ByKey(keys.HashKey(key))
}
