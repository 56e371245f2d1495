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

// errStopping is returned to peers that ask a stopping process to store bill records.
var errStopping = errors.New("this process is stopping")

// handleService forwards a call under /services/ to a service that is not a model.
func (s *Server) handleService(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *contract.Refusal {
	vars := mux.Vars(r)
	service, ok := s.view.Load().snapshot.Config.Services[contract.ServiceID(vars["service"])]
	if !ok {
		return newRefusal(contract.RefusedVersionNotAllowed, contract.OutcomeNotRun, contract.StepRoute, "no such service: "+vars["service"])
	}
	path := "/" + strings.TrimPrefix(vars["path"], "/")
	req.repeatable = req.repeatable && service.Repeatable(r.Method, path)
	if refused := s.checkBillable(req.workspace); refused != nil {
		return refused
	}
	sl, refused := s.admit(ctx, s.serviceQueue, req)
	if refused != nil {
		return refused
	}
	defer sl.release()
	call := &serviceCall{request: req, service: service, method: r.Method, path: path, contentType: r.Header.Get("Content-Type")}
	if r.URL.RawQuery != "" {
		call.path += "?" + r.URL.RawQuery
	}
	if !req.repeatable {
		won, refused := s.claimTicket(ctx, w, req)
		if won == nil {
			return refused
		}
		call.claim = won
	}
	refused = s.answerService(ctx, w, call)
	if call.claim != nil {
		s.settleRefused(call.claim, refused)
	}
	return refused
}

// serviceCall is a call to a service that is not a model.
type serviceCall struct {
	*request
	service                   *config.Service
	method, path, contentType string
	upstream                  contract.UpstreamID
	claim                     *claim
}

// answerService runs a service call, stores its bill record and sends the answer to the caller.
func (s *Server) answerService(ctx context.Context, w http.ResponseWriter, c *serviceCall) *contract.Refusal {
	a, refused := s.serviceWithRetries(ctx, c)
	if refused != nil {
		return refused
	}
	record := bill.Record{ID: c.billID(), Workspace: c.workspace.ID, Version: contract.VersionID(c.service.ID), Amount: contract.Money(c.service.Price), At: s.clock.Now(), Origin: s.origin}
	if refused := s.saveBillRecord(ctx, c.request, record); refused != nil {
		return refused
	}
	s.saveResult(ctx, c.claim, a.Status, a.ContentType, a.Body)
	w.Header().Set(HeaderUpstream, string(c.upstream))
	w.Header().Set("Content-Type", a.ContentType)
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	s.log.Info("answered", zap.String("request", string(c.id)), zap.String("workspace", string(c.workspace.ID)),
		zap.String("service", string(c.service.ID)), zap.String("upstream", string(c.upstream)), zap.Int("status", a.Status),
		zap.Duration("took", s.clock.Now().Sub(c.arrived).Round(time.Microsecond)), zap.Bool("received", err == nil))
	return nil
}

// serviceWithRetries sends the call to upstreams until one answers or no retry is allowed.
func (s *Server) serviceWithRetries(ctx context.Context, c *serviceCall) (*engine.PlainResponse, *contract.Refusal) {
	s.locked(s.retryBudget.RecordFirstAttempt)
	// Retries are decided as for chat requests, so a job represents the service call.
	j := &job{chat: &chatRequest{request: c.request}, outcome: contract.OutcomeNotRun}
	for attempt := 1; ; attempt++ {
		url, refused := s.pickServiceUpstream(c, j)
		if refused != nil {
			return nil, refused
		}
		startedAt := s.clock.Now()
		a, err := s.engine.CallPlain(ctx, engine.Call{
			URL: url, Upstream: j.upstream, RequestID: c.id, Body: c.body, ContentType: c.contentType,
		}, c.method, c.path)
		s.recordAttemptEnd(ctx, j, startedAt, err)
		if err == nil {
			c.upstream = j.upstream
			return a, nil
		}
		if refused := s.prepareRetry(ctx, j, attempt, err, s.clock.Now().Sub(startedAt)); refused != nil {
			return nil, refused
		}
	}
}

// pickServiceUpstream selects an upstream of the service and returns its URL.
func (s *Server) pickServiceUpstream(c *serviceCall, j *job) (string, *contract.Refusal) {
	q := upstream.Query{Kind: config.ServicePool, Pools: c.service.Pools, DataCentre: s.opts.Settings.DataCentre, Exclude: j.excluded}
	return s.pickUpstream(j, "no upstream of the service answers", q)
}
