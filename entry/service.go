package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/upstream"
)

// errStopping is what a stopping process answers its peers.
var errStopping = errors.New("this process is stopping")

// service serves a call to a plain service.
func (s *Server) service(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal {
	vars := mux.Vars(r)
	service, ok := s.view.Load().know.Config.Services[contract.ServiceID(vars["service"])]
	if !ok {
		return refusal(contract.RefusedNotAllowed, contract.NotRun, contract.StepRoute, "no such service: "+vars["service"])
	}
	path := "/" + strings.TrimPrefix(vars["path"], "/")
	req.repeatable = req.repeatable && service.Repeatable(r.Method, path)
	if refused := s.billable(req.workspace); refused != nil {
		return refused
	}
	p, refused := s.admit(ctx, s.services, req)
	if refused != nil {
		return refused
	}
	defer p.done()
	call := &plainCall{request: req, service: service, method: r.Method, path: path, contentType: r.Header.Get("Content-Type")}
	if r.URL.RawQuery != "" {
		call.path += "?" + r.URL.RawQuery
	}
	if !req.repeatable {
		held, refused := s.claimTicket(ctx, w, req)
		if held == nil {
			return refused
		}
		call.claim = held
	}
	refused = s.answerPlain(ctx, w, call)
	if call.claim != nil {
		s.settle(call.claim, refused)
	}
	return refused
}

// plainCall is a call to a plain service.
type plainCall struct {
	*request
	service                   *config.Service
	method, path, contentType string
	upstream                  contract.UpstreamID
	claim                     *claim
}

func (s *Server) answerPlain(ctx context.Context, w http.ResponseWriter, c *plainCall) *contract.Refusal {
	a, refused := s.plainAttempts(ctx, c)
	if refused != nil {
		return refused
	}
	record := bill.Record{ID: c.billID(), Workspace: c.workspace.ID, Version: contract.VersionID(c.service.ID), Amount: contract.Money(c.service.Price), At: s.clock.Now(), Origin: s.origin}
	if refused := s.billRecord(ctx, c.request, record); refused != nil {
		return refused
	}
	s.keepResult(ctx, c.claim, a.Status, a.ContentType, a.Body)
	w.Header().Set(HeaderUpstream, string(c.upstream))
	w.Header().Set("Content-Type", a.ContentType)
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	s.log.Info("answered", zap.String("request", string(c.id)), zap.String("workspace", string(c.workspace.ID)),
		zap.String("service", string(c.service.ID)), zap.String("upstream", string(c.upstream)), zap.Int("status", a.Status),
		zap.Duration("took", s.clock.Now().Sub(c.arrived).Round(time.Microsecond)), zap.Bool("received", err == nil))
	return nil
}

// plainAttempts has the call answered, with retries where it may run again.
func (s *Server) plainAttempts(ctx context.Context, c *plainCall) (*engine.PlainAnswer, *contract.Refusal) {
	s.locked(s.budget.First)
	// The decisions on retries are those of chats: a job stands for the call.
	j := &job{chat: &chatRequest{request: c.request}, outcome: contract.NotRun}
	for n := 1; ; n++ {
		url, refused := s.pickPlain(c, j)
		if refused != nil {
			return nil, refused
		}
		began := s.clock.Now()
		a, err := s.engine.Plain(ctx, engine.Call{
			URL: url, Upstream: j.upstream, RequestID: c.id, Body: c.body, ContentType: c.contentType,
		}, c.method, c.path)
		s.ended(ctx, j, began, err)
		if err == nil {
			c.upstream = j.upstream
			return a, nil
		}
		if refused := s.again(ctx, j, n, err, s.clock.Now().Sub(began)); refused != nil {
			return nil, refused
		}
	}
}

func (s *Server) pickPlain(c *plainCall, j *job) (string, *contract.Refusal) {
	q := upstream.Query{Kind: config.ServicePool, Pools: c.service.Pools, DataCentre: s.opts.Settings.DataCentre, Exclude: j.exclude}
	return s.choose(j, "no upstream of the service answers", q)
}
