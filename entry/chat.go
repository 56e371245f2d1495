package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/permit"
	"woaddoor/session"
	"woaddoor/workspace"
)

// chatRequest is a parsed chat request. Only the fields that the router uses are decoded.
type chatRequest struct {
	*request
	engine.ChatRequest
	// fields holds every field of the body undecoded, so that fields unknown to the router reach the engine.
	fields map[string]json.RawMessage
	// prefix is the hash of the first message of the request. Engines that likely have
	// that message cached are selected by prefix.
	prefix uint64
	// sessionToken identifies the session that the request continues.
	// sessionToken is nil outside a session.
	sessionToken *session.Token
	// claim is the claimed ticket of a request that must not run twice.
	// claim is nil for repeatable requests.
	claim *claim
	// priority is the queue priority sent to the engine. Requests with lower values run first.
	priority byte
}

// Penalties that add up to the priority of a request at an engine. Interactive requests run before bulk
// requests. Within a class, requests of workspaces that stay within their share of the capacity
// run before requests of workspaces above their share.
const (
	overSharePenalty byte = 1
	bulkPenalty      byte = 2
)

// enginePriority returns the queue priority of a request at engines.
// Requests with lower values run first.
func (s *Server) enginePriority(req *request) byte {
	priority := byte(0)
	s.locked(func() {
		if !s.engineQueue.WithinShare(req.workspace.ID) {
			priority += overSharePenalty
		}
	})
	if req.class == workspace.Bulk {
		priority += bulkPenalty
	}
	return priority
}

// handleChat serves POST /v1/chat/completions.
func (s *Server) handleChat(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal {
	if req.streamToken != "" {
		return s.resumeStream(ctx, w, req)
	}
	c, refused := s.readChat(req)
	if refused != nil {
		return refused
	}
	if refused := s.openSession(c); refused != nil {
		return refused
	}
	if refused := s.checkBillable(req.workspace); refused != nil {
		return refused
	}
	sl, refused := s.admit(ctx, s.engineQueue, req)
	if refused != nil {
		return refused
	}
	defer sl.release()
	c.priority = s.enginePriority(req)
	if !req.repeatable {
		won, refused := s.claimTicket(ctx, w, req)
		if won == nil {
			return refused // nil if the stored answer was sent again
		}
		c.claim = won
	}
	refused = s.answerChat(ctx, w, c)
	if c.claim != nil {
		s.settleRefused(c.claim, refused)
	}
	return refused
}

// readChat parses the body of a chat request.
func (s *Server) readChat(req *request) (*chatRequest, *contract.Refusal) {
	c := &chatRequest{request: req}
	invalid := func(detail string) (*chatRequest, *contract.Refusal) {
		return nil, newRefusal(contract.RefusedInvalidRequest, contract.OutcomeNotRun, contract.StepRead, detail)
	}
	if err := json.Unmarshal(req.body, &c.fields); err != nil {
		return invalid("body is not a JSON object: " + err.Error())
	}
	if err := json.Unmarshal(req.body, &c.ChatRequest); err != nil {
		return invalid("body is not a chat request: " + err.Error())
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return invalid("model and messages are needed")
	}
	c.prefix = xxhash.Sum64(c.Messages[0].Content)
	return c, nil
}

// answerChat selects the model version for a request and answers it.
// In a cascade, a cheaper model answers first. The next model answers only if the cheaper answer
// fails or does not pass the quality check.
func (s *Server) answerChat(ctx context.Context, w http.ResponseWriter, c *chatRequest) *contract.Refusal {
	plan, refused := s.plan(c)
	if refused != nil {
		return refused
	}
	j := s.newJob(c, plan.version)
	if c.Stream {
		return s.answerStream(ctx, w, j)
	}
	a, refused := s.answerWithRetries(ctx, j)
	if refused != nil && plan.escalateTo == "" {
		return refused
	}
	if plan.escalateTo != "" && (refused != nil || !s.passesCheck(ctx, j, a)) {
		// The cheaper answer is discarded.
		// The cost of that answer is recorded separately and not billed.
		if a != nil {
			j.cascadeCost += s.cost(j.version, a.Completion.Usage)
		}
		j = j.withVersion(plan.escalateTo)
		if a, refused = s.answerWithRetries(ctx, j); refused != nil {
			return refused
		}
	}
	return s.deliverAnswer(ctx, w, j, a, plan)
}

// deliverAnswer stores the bill record of a complete answer, then sends the answer to the caller.
func (s *Server) deliverAnswer(ctx context.Context, w http.ResponseWriter, j *job, a *engine.ChatResponse, plan plan) *contract.Refusal {
	if refused := s.saveBill(ctx, j, a.Completion.Usage); refused != nil {
		return refused
	}
	if refused := s.issueSession(w, j); refused != nil {
		return refused
	}
	s.saveResult(ctx, j.chat.claim, http.StatusOK, contentTypeJSON, a.Body)
	j.setHeaders(w)
	w.Header().Set("Content-Type", contentTypeJSON)
	_, err := w.Write(a.Body)
	s.metrics.answerTime.Update(int64(s.clock.Now().Sub(j.chat.arrived)))
	s.logAnswered(j, a.Completion.Usage, err)
	s.rateInBackground(j, plan, a)
	return nil
}

const contentTypeJSON = "application/json"

// job is the state of running a chat request on one model version.
type job struct {
	chat    *chatRequest
	version contract.VersionID
	kind    permit.RequestKind
	// body is the request body to send to the engine.
	body []byte
	// upstream is the upstream of the last attempt.
	upstream contract.UpstreamID
	// excluded lists upstreams that failed an earlier attempt and are avoided in later attempts.
	excluded []contract.UpstreamID
	// outcome is what is known about whether the request ran, over all attempts so far.
	outcome contract.Outcome
	// attempted is set once the field outcome reflects at least one attempt.
	attempted bool
	// cascadeCost is the cost of discarded answers of cheaper models.
	// The cost is recorded but not billed.
	cascadeCost contract.Money
}

// newJob returns a job that runs a chat request on version v.
func (s *Server) newJob(c *chatRequest, v contract.VersionID) *job {
	j := &job{chat: c, outcome: contract.OutcomeNotRun}
	if c.sessionToken != nil && c.sessionToken.Version == v {
		j.kind = permit.InSession
	}
	return j.withVersion(v)
}

// withVersion returns a copy of the job for another model version.
// The copy keeps the cost spent so far.
func (j *job) withVersion(v contract.VersionID) *job {
	next := *j
	next.version, next.excluded = v, nil
	next.body = j.chat.bodyFor(v, nil)
	return &next
}

// streamOptions makes an engine report the token usage at the end of a stream.
var streamOptions = json.RawMessage(`{"include_usage":true}`)

// bodyFor returns the request body to send to an engine: the caller's body with the model version,
// the priority and the stream options set. If received is not empty, it is the text that the caller
// already has. The engine is then asked to continue the answer after that text.
func (c *chatRequest) bodyFor(v contract.VersionID, received []byte) []byte {
	fields := make(map[string]json.RawMessage, len(c.fields)+4)
	for k, f := range c.fields {
		fields[k] = f
	}
	fields["model"] = jsonString(string(v))
	fields["priority"] = json.RawMessage{'0' + c.priority}
	if c.Stream {
		fields["stream_options"] = streamOptions
	}
	if len(received) > 0 {
		messages := append(append([]engine.Message{}, c.Messages...), engine.Message{Role: "assistant", Content: jsonString(string(received))})
		fields["messages"], _ = json.Marshal(messages) // cannot fail: only strings and JSON parsed before
		fields["continue_final_message"] = json.RawMessage("true")
	}
	body, _ := json.Marshal(fields) // cannot fail: only JSON parsed before
	return body
}

// jsonString returns text encoded as a JSON string.
func jsonString(text string) json.RawMessage {
	raw, _ := json.Marshal(text) // cannot fail for a string
	return raw
}

// setHeaders sets the response headers that name the model version and the upstream.
func (j *job) setHeaders(w http.ResponseWriter) {
	w.Header().Set(HeaderVersion, string(j.version))
	w.Header().Set(HeaderUpstream, string(j.upstream))
}

// cost returns the price of an answer of version v.
// The price is zero for a model that is not configured.
func (s *Server) cost(v contract.VersionID, usage engine.Usage) contract.Money {
	m, ok := s.view.Load().snapshot.Config.Models[v.Model()]
	if !ok {
		return 0
	}
	return m.InputPrice.Cost(usage.Prompt) + m.OutputPrice.Cost(usage.Completion)
}

// newBillRecord returns the bill record of a job whose answer used the given tokens.
func (s *Server) newBillRecord(j *job, usage engine.Usage) bill.Record {
	return bill.Record{
		ID: j.chat.billID(), Workspace: j.chat.workspace.ID, Version: j.version,
		Input: usage.Prompt, Output: usage.Completion, Amount: s.cost(j.version, usage), InternalCost: j.cascadeCost,
		At: s.clock.Now(), Origin: s.origin,
	}
}

// logAnswered logs a request that was answered completely.
// The parameter err is the error of writing the answer to the caller.
func (s *Server) logAnswered(j *job, usage engine.Usage, err error) {
	fields := []zap.Field{
		zap.String("request", string(j.chat.id)), zap.String("workspace", string(j.chat.workspace.ID)),
		zap.String("version", string(j.version)), zap.String("upstream", string(j.upstream)),
		zap.Int64("input", int64(usage.Prompt)), zap.Int64("output", int64(usage.Completion)),
		zap.Duration("took", s.clock.Now().Sub(j.chat.arrived).Round(time.Microsecond)), zap.Bool("received", err == nil),
	}
	s.log.Info("answered", fields...)
}

// cascadeClass returns the class by which cascades group similar requests: here, the size of the body.
func (c *chatRequest) cascadeClass() cascade.Class { return cascade.ClassOf(len(c.body)) }
