package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"woaddoor/bill"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/drain"
	"woaddoor/keys"
	"woaddoor/memory"
	"woaddoor/workspace"
)

// HTTP headers of callers' requests and of responses. All request headers are optional.
const (
	// HeaderIdempotency is the idempotency key. Requests with the same key are billed once.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRepeatable is "no" for a request that must not run twice.
	HeaderRepeatable = "Woaddoor-Repeatable"
	// HeaderTicket carries the ticket of a non-repeatable request.
	// The ticket makes sure that the request runs at most once.
	HeaderTicket = "Woaddoor-Ticket"
	// HeaderSession is "new" to open a session, or the session token issued by the router.
	HeaderSession = "Woaddoor-Session"
	// HeaderClass is the scheduling class of the request: "interactive" or "bulk".
	HeaderClass = "Woaddoor-Class"
	// HeaderTimeout is how long the caller waits for the answer, such as "30s".
	HeaderTimeout = "Woaddoor-Timeout"
	// HeaderStream carries the stream token with which a caller resumes an interrupted stream,
	// at any VM.
	HeaderStream = "Woaddoor-Stream"
	// HeaderRequestID is the ID that the router gave the request.
	// HeaderRequestID and the headers below are set on responses only.
	HeaderRequestID = "Woaddoor-Request"
	// HeaderVersion is the model version that answered.
	HeaderVersion = "Woaddoor-Version"
	// HeaderUpstream is the upstream that answered.
	HeaderUpstream = "Woaddoor-Upstream"
	// HeaderVM is the VM that served the request.
	HeaderVM = "Woaddoor-Vm"
	// HeaderReplayed is "yes" if the answer is the stored answer of an earlier attempt with the same ticket.
	HeaderReplayed = "Woaddoor-Replayed"
)

// Values of the request headers.
const (
	newSessionValue    = "new"
	notRepeatableValue = "no"
	bulkClassValue     = "bulk"
	bearerPrefix       = "Bearer "
)

// Default and limits for request headers.
const (
	defaultTimeout    = 2 * time.Minute
	maxTimeout        = time.Hour
	maxIdempotencyKey = 255
)

// request is an authenticated request of a caller with its body and parsed headers.
type request struct {
	id             contract.RequestID
	workspace      *config.Workspace
	class          workspace.Class
	deadline       time.Time
	arrived        time.Time
	idempotencyKey string
	repeatable     bool
	ticket         string
	session        string
	streamToken    string
	lastEventID    string
	body           []byte
	// originalBillID is set when a stream is resumed: the ID of the bill record of the original request.
	originalBillID bill.ID
}

// billID returns the ID of the request's bill record.
// Retries with the same idempotency key share this ID, so they are billed once.
func (r *request) billID() bill.ID {
	if r.originalBillID != "" {
		return r.originalBillID
	}
	if r.idempotencyKey == "" {
		return bill.ID(r.id)
	}
	sum := sha256.Sum256([]byte(r.idempotencyKey))
	return bill.ID(hex.EncodeToString(sum[:16]))
}

// handler answers one authenticated request.
// A handler that returns a refusal has not sent a response.
type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal

// callerRoutes returns the HTTP handler for callers.
func (s *Server) callerRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.withRequest(s.handleChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.withRequest(s.handleModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", s.withRequest(s.handleNewTicket)).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", s.withRequest(s.handleService))
	return r
}

// withRequest wraps a handler. withRequest assigns the request ID, authenticates the caller,
// limits and reads the body, applies the deadline, and sends the refusal if the handler returns
// one.
func (s *Server) withRequest(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.requests.Inc(1)
		id := contract.RequestID(ulid.Make().String())
		w.Header().Set(HeaderRequestID, string(id))
		w.Header().Set(HeaderVM, string(s.opts.Settings.VM))
		req, refused := s.readRequest(w, r, id)
		if refused != nil {
			drain.AbandonBody(w, r, s.clock.Now())
		} else {
			ctx, cancel := context.WithTimeout(r.Context(), req.deadline.Sub(req.arrived))
			defer cancel()
			defer context.AfterFunc(s.workEnded, cancel)()
			refused = h(ctx, w, r, req)
		}
		if refused != nil {
			s.writeRefusal(w, id, refused)
		}
	}
}

// stoppingRetryAfter is the Retry-After of requests refused by a stopping VM. The load balancer sends the
// retry to another VM.
const stoppingRetryAfter = time.Second

// readRequest authenticates the caller, checks the headers and reads the body of a request.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, id contract.RequestID) (*request, *contract.Refusal) {
	if s.stopping.Load() {
		return nil, newRefusal(contract.RefusedStopping, contract.OutcomeNotRun, contract.StepRead, "this VM is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	ws, ok := s.authenticate(r)
	if !ok {
		return nil, newRefusal(contract.RefusedUnknownKey, contract.OutcomeNotRun, contract.StepAuth, "no workspace has this key")
	}
	now := s.clock.Now()
	req := &request{
		id: id, workspace: ws, arrived: now, deadline: now.Add(defaultTimeout),
		idempotencyKey: r.Header.Get(HeaderIdempotency), repeatable: r.Header.Get(HeaderRepeatable) != notRepeatableValue,
		ticket: r.Header.Get(HeaderTicket), session: r.Header.Get(HeaderSession),
		streamToken: r.Header.Get(HeaderStream), lastEventID: r.Header.Get("Last-Event-ID"),
	}
	if r.Header.Get(HeaderClass) == bulkClassValue {
		req.class = workspace.Bulk
	}
	if len(req.idempotencyKey) > maxIdempotencyKey {
		return nil, newRefusal(contract.RefusedInvalidRequest, contract.OutcomeNotRun, contract.StepRead, HeaderIdempotency+" is longer than 255 characters")
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxTimeout {
			return nil, newRefusal(contract.RefusedInvalidRequest, contract.OutcomeNotRun, contract.StepRead, HeaderTimeout+": expected a duration such as 30s, at most 1h")
		}
		req.deadline = now.Add(d)
	}
	if refused := s.readBody(w, r, req); refused != nil {
		return nil, refused
	}
	return req, nil
}

// parsedCopies is how often the content of a body is held beside the body: decoded, and as it is sent to an upstream.
const parsedCopies = 2

// noMemoryRetryAfter is the Retry-After of requests for which there is no memory. Whoever makes no progress has given
// way by then.
const noMemoryRetryAfter = time.Second

// readBody reads the body of a request, for which there has to be room in the memory for callers.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal {
	holder := memory.FromContext(r.Context())
	if !holder.Begin(req.workspace.ID) {
		w.Header().Set("Connection", "close") // the connection is needed for other workspaces
		return refuseNoMemory("workspace has as many requests as it may have")
	}
	var err error
	if req.body, err = drain.ReadBody(w, r, int64(s.opts.Settings.Entry.MaxBody), req.deadline, s.clock.Now); err != nil {
		return refuseBody(err)
	}
	now := s.clock.Now()
	if !holder.Take(contract.Bytes(parsedCopies*len(req.body)), now) || !holder.Run(now) {
		return refuseNoMemory(memory.ErrNoRoom.Error())
	}
	return nil
}

// refuseBody returns the refusal of a request whose body could not be read.
func refuseBody(err error) *contract.Refusal {
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		return refuseNoMemory(err.Error())
	case errors.Is(err, memory.ErrTooLarge):
		return newRefusal(contract.RefusedRequestTooLarge, contract.OutcomeNotRun, contract.StepRead, "body is "+err.Error())
	}
	return newRefusal(contract.RefusedInvalidRequest, contract.OutcomeNotRun, contract.StepRead, "body could not be read: "+err.Error())
}

// refuseNoMemory returns the refusal of a request that has not run for lack of memory.
func refuseNoMemory(why string) *contract.Refusal {
	return newRefusal(contract.RefusedNoMemory, contract.OutcomeNotRun, contract.StepRead, why).WithRetryAfter(noMemoryRetryAfter)
}

// authenticate finds the workspace by the hash of the API key. A map lookup by hash reveals nothing about the
// key through its timing.
func (s *Server) authenticate(r *http.Request) (*config.Workspace, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return nil, false
	}
	return s.view.Load().snapshot.Config.WorkspaceByKeyHash(keys.HashAPIKey(key))
}
