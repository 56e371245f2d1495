package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"woaddoor/cascade"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/logs"
	"woaddoor/permit"
	"woaddoor/rating"
	"woaddoor/rollout"
	"woaddoor/session"
	"woaddoor/upstream"
)

// plan is the choice of model versions for a request.
// The answer of the model version in plan.version is checked only if
// escalateTo is set. If that answer fails the check, escalateTo answers instead.
type plan struct {
	version, escalateTo contract.VersionID
}

// openSession verifies the session token of the request, if the request has one.
// openSession also verifies that the session belongs to the requested model.
func (s *Server) openSession(c *chatRequest) *contract.Refusal {
	if c.session == "" || c.session == newSessionValue {
		return nil
	}
	token, err := s.sessionTokens.Open(c.session, c.workspace.ID)
	if err != nil {
		return newRefusal(contract.RefusedInvalidSession, contract.OutcomeNotRun, contract.StepSession,
			`the token was not made for this workspace: open a session with "`+HeaderSession+`: new"`)
	}
	if c.Model != string(token.Version.Model()) && c.Model != string(token.Version) {
		return newRefusal(contract.RefusedInvalidSession, contract.OutcomeNotRun, contract.StepSession, "the session is of model "+string(token.Version.Model()))
	}
	c.sessionToken = &token
	return nil
}

// plan selects the model version that answers a chat request, or the two versions of a cascade.
func (s *Server) plan(c *chatRequest) (plan, *contract.Refusal) {
	v := s.view.Load()
	conf := v.snapshot.Config
	if c.sessionToken != nil {
		return plan{version: c.sessionToken.Version}, nil
	}
	if contract.IsVersion(c.Model) {
		return plan{version: contract.VersionID(c.Model)}, nil
	}
	if cascadeConfig, ok := conf.Cascades[c.Model]; ok {
		return s.planCascade(c, v, cascadeConfig)
	}
	version := s.versionForNewWork(c.workspace, v, contract.ModelID(c.Model))
	if version == "" {
		return plan{}, newRefusal(contract.RefusedVersionNotAllowed, contract.OutcomeNotRun, contract.StepRoute, "no such model, version or cascade: "+c.Model)
	}
	return plan{version: version}, nil
}

// versionForNewWork selects the version of a model for a request outside a session. In a rollout, a workspace
// that is not allowed to use the new version stays on the old version.
func (s *Server) versionForNewWork(w *config.Workspace, v *view, m contract.ModelID) contract.VersionID {
	draw := 0.0
	s.locked(func() { draw = s.random.Float64() })
	chosen := rollout.ChooseVersion(v.snapshot.Config, m, v.snapshot.Halted, draw)
	if ro, ok := v.snapshot.Config.Rollouts[m]; ok && chosen == ro.To && !w.AllowedVersions[chosen] {
		return ro.From
	}
	return chosen
}

// expectedAnswerTokens is the assumed length of an answer when the costs of models are compared.
const expectedAnswerTokens = 200

// bytesPerToken is the divisor that estimates the number of tokens from the size of a request body.
const bytesPerToken = 4

// planCascade decides whether a cheaper model of the cascade answers first.
// Streams, requests of a session and requests that must not run twice always use the last model,
// because their answer cannot be discarded and replaced by another model's answer.
func (s *Server) planCascade(c *chatRequest, v *view, cascadeConfig *config.Cascade) (plan, *contract.Refusal) {
	var models []cascade.Model
	versions := make(map[contract.ModelID]contract.VersionID)
	now := s.clock.Now()
	for _, m := range cascadeConfig.Models {
		id := s.versionForNewWork(c.workspace, v, m)
		if permit.Check(v.snapshot, c.workspace, id, permit.NewWork, now) != nil {
			continue
		}
		versions[m] = id
		u := engine.Usage{Prompt: contract.Tokens(len(c.body) / bytesPerToken), Completion: expectedAnswerTokens}
		models = append(models, cascade.Model{ID: m, Cost: float64(s.cost(id, u))})
	}
	if len(models) == 0 {
		return plan{}, newRefusal(contract.RefusedVersionNotAllowed, contract.OutcomeNotRun, contract.StepRoute, "no version of the cascade may be used by this workspace now")
	}
	last := versions[models[len(models)-1].ID]
	if len(models) == 1 || !c.repeatable || c.Stream || c.session != "" {
		return plan{version: last}, nil
	}
	var p cascade.Plan
	s.locked(func() {
		p = s.cascades.Decide(cascade.Query{
			Workspace: c.workspace.ID, Class: c.cascadeClass(), Models: models, Target: c.workspace.MinQuality,
		}, s.random)
	})
	if !p.Check {
		return plan{version: versions[p.First]}, nil
	}
	return plan{version: versions[p.First], escalateTo: versions[p.Fallback]}, nil
}

// ratingService is the name by which a configuration declares the platform's rating service.
const ratingService = contract.ServiceID("rating")

// ratingTimeout bounds a call to the rating service.
// An answer that is not rated in time fails the check.
const ratingTimeout = 2 * time.Second

// rateAnswer asks the rating service whether an answer is good.
func (s *Server) rateAnswer(ctx context.Context, j *job, a *engine.ChatResponse) (bool, error) {
	service, ok := s.view.Load().snapshot.Config.Services[ratingService]
	if !ok {
		return false, upstream.ErrNone
	}
	url := ""
	var err error
	s.locked(func() {
		var id contract.UpstreamID
		id, err = s.upstreams.Pick(upstream.Query{Kind: config.ServicePool, Pools: service.Pools, DataCentre: s.opts.Settings.DataCentre}, s.clock.Now(), s.random)
		url = s.upstreams.URL(id)
	})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	r, err := s.ratings.Rate(ctx, url, rating.Answer{
		Request: j.chat.id, Workspace: j.chat.workspace.ID, Version: j.version, Text: a.Completion.Choices[0].Message.Content,
	})
	return r.Score >= rating.GoodScore, err
}

// passesCheck reports whether the answer of a cascade's cheaper model is rated good.
// The result is false if the rating fails.
func (s *Server) passesCheck(ctx context.Context, j *job, a *engine.ChatResponse) bool {
	good, err := s.rateAnswer(ctx, j, a)
	if err != nil {
		s.log.Warn("rating-failed", logs.ErrorFields(err)...)
		return false
	}
	s.recordRating(j, good)
	return good
}

// recordRating passes a rating to the cascade's quality estimates and to the samples of the
// rollout.
func (s *Server) recordRating(j *job, good bool) {
	s.locked(func() {
		s.cascades.RecordRating(cascade.Arm{Workspace: j.chat.workspace.ID, Model: j.version.Model(), Class: j.chat.cascadeClass()}, good)
	})
	s.recordRolloutResult(j, !good)
}

// answersPerRating is the average number of delivered answers per rated answer.
const answersPerRating = 10

// rateInBackground rates a random sample of the delivered answers, and every answer of a version in rollout,
// without delaying the caller. rateInBackground skips an answer that the cascade has already rated.
func (s *Server) rateInBackground(j *job, p plan, a *engine.ChatResponse) {
	if p.escalateTo != "" && j.version == p.version {
		return
	}
	sampled := false
	s.locked(func() { sampled = s.random.IntN(answersPerRating) == 0 })
	if !sampled && !s.inRollout(j.version) {
		return
	}
	go func() {
		if good, err := s.rateAnswer(context.Background(), j, a); err == nil {
			s.recordRating(j, good)
		}
	}()
}

// inRollout reports whether v is the new version of a rollout that is ramping up.
func (s *Server) inRollout(v contract.VersionID) bool {
	c := s.view.Load().snapshot.Config
	ro, ok := c.Rollouts[v.Model()]
	p := c.Progress[v.Model()]
	return ok && ro.To == v && p != nil && p.State == config.Ramping
}

// recordFailure counts a failed attempt at a version in rollout as a bad answer.
// recordFailure ignores attempts that the router itself refused.
func (s *Server) recordFailure(j *job, err error) {
	if err == nil {
		return
	}
	if _, ownRefusal := contract.AsRefusal(err); !ownRefusal {
		s.recordRolloutResult(j, true)
	}
}

// recordRolloutResult counts a good or bad answer of a version in rollout. If the version turns out to be
// bad, the version is halted on this VM immediately.
func (s *Server) recordRolloutResult(j *job, bad bool) {
	if !s.inRollout(j.version) {
		return
	}
	c := s.view.Load().snapshot.Config
	ro, p := c.Rollouts[j.version.Model()], c.Progress[j.version.Model()]
	s.locked(func() {
		if s.rolloutMonitor.Observe(ro, p.Step, len(c.Workspaces), j.chat.workspace.ID, bad) {
			s.haltLocally(ro.To)
		}
	})
}

// haltLocally applies a halt to the current view without waiting for the next pull. The caller must hold
// Server.mu, which also guards every replacement of the view, so the halt is not lost.
func (s *Server) haltLocally(v contract.VersionID) {
	old := s.view.Load()
	if old.snapshot.Halted[v] {
		return
	}
	next := *old
	next.snapshot.Halted = s.rolloutMonitor.Halted()
	s.view.Store(&next)
	s.log.Warn("version-halted", zap.String("version", string(v)))
}

// issueSession sends the session token of a new session to a caller that asked for one.
func (s *Server) issueSession(w http.ResponseWriter, j *job) *contract.Refusal {
	if j.chat.session != newSessionValue {
		return nil
	}
	text, err := s.sessionTokens.Issue(session.Token{
		Session: ulid.Make().String(), Workspace: j.chat.workspace.ID, Version: j.version, Revision: s.view.Load().revision,
	}, s.clock.Now())
	if err != nil {
		return newRefusal(contract.RefusedInvalidSession, contract.OutcomeNotRun, contract.StepSession, "the token could not be made")
	}
	w.Header().Set(HeaderSession, text)
	return nil
}

// handleModels serves GET /v1/models: the versions that the workspace may use now.
func (s *Server) handleModels(_ context.Context, w http.ResponseWriter, _ *http.Request, req *request) *contract.Refusal {
	v := s.view.Load()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for id := range req.workspace.AllowedVersions {
		if permit.Check(v.snapshot, req.workspace, id, permit.NewWork, s.clock.Now()) == nil {
			list.Data = append(list.Data, modelEntry{ID: string(id), Object: "model", OwnedBy: "woaddoor"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s.writeJSON(w, list)
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model version in a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
