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

// plan says which version answers, and which one after it if its answer does
// not pass the check; then is empty when there is no check.
type plan struct {
	first, then contract.VersionID
}

// openSession reads the session token that the request carries, if any.
func (s *Server) openSession(c *chatRequest) *contract.Refusal {
	if c.session == "" || c.session == sessionNew {
		return nil
	}
	token, err := s.sessions.Open(c.session, c.workspace.ID)
	if err != nil {
		return refusal(contract.RefusedSession, contract.NotRun, contract.StepSession,
			`the token was not made for this workspace: open a session with "`+HeaderSession+`: new"`)
	}
	if c.Model != string(token.Version.Model()) && c.Model != string(token.Version) {
		return refusal(contract.RefusedSession, contract.NotRun, contract.StepSession, "the session is of model "+string(token.Version.Model()))
	}
	c.token = &token
	return nil
}

// plan decides which version answers a chat request.
func (s *Server) plan(c *chatRequest) (plan, *contract.Refusal) {
	v := s.view.Load()
	conf := v.know.Config
	if c.token != nil {
		return plan{first: c.token.Version}, nil
	}
	if contract.IsVersion(c.Model) {
		return plan{first: contract.VersionID(c.Model)}, nil
	}
	if cas, ok := conf.Cascades[c.Model]; ok {
		return s.planCascade(c, v, cas)
	}
	first := s.versionOf(c.workspace, v, contract.ModelID(c.Model))
	if first == "" {
		return plan{}, refusal(contract.RefusedNotAllowed, contract.NotRun, contract.StepRoute, "no such model, version or cascade: "+c.Model)
	}
	return plan{first: first}, nil
}

// versionOf returns the version of a model for new work of a workspace. Where
// the workspace may not use the new version of a roll-out, it keeps the old.
func (s *Server) versionOf(w *config.Workspace, v *view, m contract.ModelID) contract.VersionID {
	point := 0.0
	s.locked(func() { point = s.random.Float64() })
	chosen := rollout.Choose(v.know.Config, m, v.know.Halted, point)
	if ro, ok := v.know.Config.Rollouts[m]; ok && chosen == ro.To && !w.Allow[chosen] {
		return ro.From
	}
	return chosen
}

// expectedTokens is the size of an answer when costs are compared.
const expectedTokens = 200

// bytesPerToken turns a body's size into about its tokens.
const bytesPerToken = 4

// planCascade decides whether a cheaper model answers first. A request that
// may not be repeated, one of a session and a stream get the last model: they
// cannot be taken back once begun.
func (s *Server) planCascade(c *chatRequest, v *view, cas *config.Cascade) (plan, *contract.Refusal) {
	var models []cascade.Model
	versions := make(map[contract.ModelID]contract.VersionID)
	now := s.clock.Now()
	for _, m := range cas.Models {
		id := s.versionOf(c.workspace, v, m)
		if permit.Check(v.know, c.workspace, id, permit.NewWork, now) != nil {
			continue
		}
		versions[m] = id
		u := engine.Usage{Prompt: contract.Tokens(len(c.body) / bytesPerToken), Completion: expectedTokens}
		models = append(models, cascade.Model{ID: m, Cost: float64(s.cost(id, u))})
	}
	if len(models) == 0 {
		return plan{}, refusal(contract.RefusedNotAllowed, contract.NotRun, contract.StepRoute, "no version of the cascade may be used by this workspace now")
	}
	last := versions[models[len(models)-1].ID]
	if len(models) == 1 || !c.repeatable || c.Stream || c.session != "" {
		return plan{first: last}, nil
	}
	var p cascade.Plan
	s.locked(func() {
		p = s.cascades.Decide(cascade.Query{
			Workspace: c.workspace.ID, Class: c.classOf(), Models: models, Target: c.workspace.Quality,
		}, s.random)
	})
	if !p.Check {
		return plan{first: versions[p.First]}, nil
	}
	return plan{first: versions[p.First], then: versions[p.Then]}, nil
}

// ratingService is the name under which a configuration declares the platform's
// rating service.
const ratingService = contract.ServiceID("rating")

// ratingTimeout bounds a check; after it the answer counts as not passed.
const ratingTimeout = 2 * time.Second

// rate asks the rating service for the rating of an answer.
func (s *Server) rate(ctx context.Context, j *job, a *engine.Answer) (bool, error) {
	service, ok := s.view.Load().know.Config.Services[ratingService]
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
	return r.Score >= rating.Good, err
}

// passes checks the answer of a cascade's cheaper model.
func (s *Server) passes(ctx context.Context, j *job, a *engine.Answer) bool {
	good, err := s.rate(ctx, j, a)
	if err != nil {
		s.log.Warn("rating-failed", logs.Failure(err)...)
		return false
	}
	s.rated(j, good)
	return good
}

// rated hands a rating to what learns from it.
func (s *Server) rated(j *job, good bool) {
	s.locked(func() {
		s.cascades.Rated(cascade.Arm{Workspace: j.chat.workspace.ID, Model: j.version.Model(), Class: j.chat.classOf()}, good)
	})
	s.judge(j, !good)
}

// rateEvery is how many delivered answers there are for each one rated.
const rateEvery = 10

// rateLater rates some of the delivered answers, and all those of a version in
// roll-out, without holding up the caller. An answer that was checked already
// is not rated twice.
func (s *Server) rateLater(j *job, p plan, a *engine.Answer) {
	if p.then != "" && j.version == p.first {
		return
	}
	drawn := false
	s.locked(func() { drawn = s.random.IntN(rateEvery) == 0 })
	if !drawn && !s.ramping(j.version) {
		return
	}
	go func() {
		if good, err := s.rate(context.Background(), j, a); err == nil {
			s.rated(j, good)
		}
	}()
}

// ramping tells whether a version is in roll-out.
func (s *Server) ramping(v contract.VersionID) bool {
	c := s.view.Load().know.Config
	ro, ok := c.Rollouts[v.Model()]
	p := c.Progress[v.Model()]
	return ok && ro.To == v && p != nil && p.State == config.Ramping
}

// observe takes a failed attempt at a version in roll-out as a bad answer,
// unless the failure was our own doing.
func (s *Server) observe(j *job, err error) {
	if err == nil {
		return
	}
	if _, own := contract.AsRefusal(err); !own {
		s.judge(j, true)
	}
}

// judge counts an answer of a version in roll-out, and halts a bad version on
// this VM at once.
func (s *Server) judge(j *job, bad bool) {
	if !s.ramping(j.version) {
		return
	}
	c := s.view.Load().know.Config
	ro, p := c.Rollouts[j.version.Model()], c.Progress[j.version.Model()]
	s.locked(func() {
		if s.monitor.Observe(ro, p.Step, len(c.Workspaces), j.chat.workspace.ID, bad) {
			s.haltHere(ro.To)
		}
	})
}

// haltHere puts a halt in force in the view, ahead of the next pull. The
// caller holds mu, under which every view that follows is made.
func (s *Server) haltHere(v contract.VersionID) {
	old := s.view.Load()
	if old.know.Halted[v] {
		return
	}
	next := *old
	next.know.Halted = s.monitor.Halted()
	s.view.Store(&next)
	s.log.Warn("version-halted", zap.String("version", string(v)))
}

// giveSession gives the caller the token of a session that begins.
func (s *Server) giveSession(w http.ResponseWriter, j *job) *contract.Refusal {
	if j.chat.session != sessionNew {
		return nil
	}
	text, err := s.sessions.Issue(session.Token{
		Session: ulid.Make().String(), Workspace: j.chat.workspace.ID, Version: j.version, Revision: s.view.Load().revision,
	}, s.clock.Now())
	if err != nil {
		return refusal(contract.RefusedSession, contract.NotRun, contract.StepSession, "the token could not be made")
	}
	w.Header().Set(HeaderSession, text)
	return nil
}

// models lists the versions that the workspace may use now.
func (s *Server) models(_ context.Context, w http.ResponseWriter, _ *http.Request, req *request) *contract.Refusal {
	v := s.view.Load()
	list := modelList{Object: "list", Data: []modelLine{}}
	for id := range req.workspace.Allow {
		if permit.Check(v.know, req.workspace, id, permit.NewWork, s.clock.Now()) == nil {
			list.Data = append(list.Data, modelLine{ID: string(id), Object: "model", OwnedBy: "woaddoor"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelLine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s.writeJSON(w, list)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
