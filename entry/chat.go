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

// chatRequest is a chat request, as far as the router reads it.
type chatRequest struct {
	*request
	engine.Request
	// fields are all fields as they came; those unknown here are passed on.
	fields map[string]json.RawMessage
	prefix uint64
	// token is the session that the request goes on with, if any.
	token *session.Token
	// claim is held by a request that may not be repeated.
	claim *claim
	// priority is what engines are asked to queue it by; lower goes first.
	priority byte
}

// Priorities of requests at engines: those of workspaces within their share go
// before those beyond it, and interactive before bulk.
const (
	beyondShare byte = 1
	bulkClass   byte = 2
)

func (s *Server) priorityOf(req *request) byte {
	priority := byte(0)
	s.locked(func() {
		if !s.engines.Within(req.workspace.ID) {
			priority += beyondShare
		}
	})
	if req.class == workspace.Bulk {
		priority += bulkClass
	}
	return priority
}

// chat serves the chat-completions call.
func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal {
	if req.stream != "" {
		return s.takeUp(ctx, w, req)
	}
	c, refused := s.readChat(req)
	if refused != nil {
		return refused
	}
	if refused := s.openSession(c); refused != nil {
		return refused
	}
	if refused := s.billable(req.workspace); refused != nil {
		return refused
	}
	p, refused := s.admit(ctx, s.engines, req)
	if refused != nil {
		return refused
	}
	defer p.done()
	c.priority = s.priorityOf(req)
	if !req.repeatable {
		held, refused := s.claimTicket(ctx, w, req)
		if held == nil {
			return refused // nil when the kept answer was given again
		}
		c.claim = held
	}
	refused = s.answerChat(ctx, w, c)
	if c.claim != nil {
		s.settle(c.claim, refused)
	}
	return refused
}

func (s *Server) readChat(req *request) (*chatRequest, *contract.Refusal) {
	c := &chatRequest{request: req}
	invalid := func(detail string) (*chatRequest, *contract.Refusal) {
		return nil, refusal(contract.RefusedRequest, contract.NotRun, contract.StepRead, detail)
	}
	if err := json.Unmarshal(req.body, &c.fields); err != nil {
		return invalid("body is not a JSON object: " + err.Error())
	}
	if err := json.Unmarshal(req.body, &c.Request); err != nil {
		return invalid("body is not a chat request: " + err.Error())
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return invalid("model and messages are needed")
	}
	c.prefix = xxhash.Sum64(c.Messages[0].Content)
	return c, nil
}

// answerChat decides which versions answer, and has them answer.
func (s *Server) answerChat(ctx context.Context, w http.ResponseWriter, c *chatRequest) *contract.Refusal {
	plan, refused := s.plan(c)
	if refused != nil {
		return refused
	}
	j := s.newJob(c, plan.first)
	if c.Stream {
		return s.answerStream(ctx, w, j)
	}
	a, refused := s.attempts(ctx, j)
	if refused != nil && plan.then == "" {
		return refused
	}
	if plan.then != "" && (refused != nil || !s.passes(ctx, j, a)) {
		// The cheaper answer is not delivered; what it cost is recorded apart.
		if a != nil {
			j.inside += s.cost(j.version, a.Completion.Usage)
		}
		j = j.onVersion(plan.then)
		if a, refused = s.attempts(ctx, j); refused != nil {
			return refused
		}
	}
	return s.deliver(ctx, w, j, a, plan)
}

// deliver bills a whole answer and gives it to the caller.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, j *job, a *engine.Answer, plan plan) *contract.Refusal {
	if refused := s.bill(ctx, j, a.Completion.Usage); refused != nil {
		return refused
	}
	if refused := s.giveSession(w, j); refused != nil {
		return refused
	}
	s.keepResult(ctx, j.chat.claim, http.StatusOK, jsonType, a.Body)
	j.head(w)
	w.Header().Set("Content-Type", jsonType)
	_, err := w.Write(a.Body)
	s.metrics.whole.Update(int64(s.clock.Now().Sub(j.chat.arrived)))
	s.answered(j, a.Completion.Usage, err)
	s.rateLater(j, plan, a)
	return nil
}

const jsonType = "application/json"

// job is one version's work on a chat request.
type job struct {
	chat    *chatRequest
	version contract.VersionID
	use     permit.Use
	body    []byte
	// upstream is where the last attempt went.
	upstream contract.UpstreamID
	exclude  []contract.UpstreamID
	outcome  contract.Outcome
	tried    bool
	inside   contract.Money
}

func (s *Server) newJob(c *chatRequest, v contract.VersionID) *job {
	j := &job{chat: c, outcome: contract.NotRun}
	if c.token != nil && c.token.Version == v {
		j.use = permit.InSession
	}
	return j.onVersion(v)
}

// onVersion returns the job for another version; what was spent stays.
func (j *job) onVersion(v contract.VersionID) *job {
	next := *j
	next.version, next.exclude = v, nil
	next.body = j.chat.bodyFor(v, nil)
	return &next
}

// streamOptions asks an engine for the usage at the end of a stream.
var streamOptions = json.RawMessage(`{"include_usage":true}`)

// bodyFor returns the body for a version: as it came, but for the version, the
// priority, and, when already is not empty, the start of the answer that the
// caller has received and that the engine is to go on from.
func (c *chatRequest) bodyFor(v contract.VersionID, already []byte) []byte {
	fields := make(map[string]json.RawMessage, len(c.fields)+4)
	for k, f := range c.fields {
		fields[k] = f
	}
	fields["model"] = quote(string(v))
	fields["priority"] = json.RawMessage{'0' + c.priority}
	if c.Stream {
		fields["stream_options"] = streamOptions
	}
	if len(already) > 0 {
		messages := append(append([]engine.Message{}, c.Messages...), engine.Message{Role: "assistant", Content: quote(string(already))})
		fields["messages"], _ = json.Marshal(messages) // of strings and what was parsed
		fields["continue_final_message"] = json.RawMessage("true")
	}
	body, _ := json.Marshal(fields) // raw messages that were parsed before
	return body
}

func quote(text string) json.RawMessage {
	raw, _ := json.Marshal(text) // a string always marshals
	return raw
}

// head sets the headers that say what ran where.
func (j *job) head(w http.ResponseWriter) {
	w.Header().Set(HeaderVersion, string(j.version))
	w.Header().Set(HeaderUpstream, string(j.upstream))
}

func (s *Server) cost(v contract.VersionID, u engine.Usage) contract.Money {
	m, ok := s.view.Load().know.Config.Models[v.Model()]
	if !ok {
		return 0
	}
	return m.Input.Cost(u.Prompt) + m.Output.Cost(u.Completion)
}

func (s *Server) recordOf(j *job, u engine.Usage) bill.Record {
	return bill.Record{
		ID: j.chat.billID(), Workspace: j.chat.workspace.ID, Version: j.version,
		Input: u.Prompt, Output: u.Completion, Amount: s.cost(j.version, u), Inside: j.inside,
		At: s.clock.Now(), Origin: s.origin,
	}
}

// answered logs a request that was answered whole.
func (s *Server) answered(j *job, u engine.Usage, err error) {
	fields := []zap.Field{
		zap.String("request", string(j.chat.id)), zap.String("workspace", string(j.chat.workspace.ID)),
		zap.String("version", string(j.version)), zap.String("upstream", string(j.upstream)),
		zap.Int64("input", int64(u.Prompt)), zap.Int64("output", int64(u.Completion)),
		zap.Duration("took", s.clock.Now().Sub(j.chat.arrived).Round(time.Microsecond)), zap.Bool("received", err == nil),
	}
	s.log.Info("answered", fields...)
}

// classOf returns the kind of a request for cascades.
func (c *chatRequest) classOf() cascade.Class { return cascade.ClassOf(len(c.body)) }
