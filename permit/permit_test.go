package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
)

const (
	v1  = contract.VersionID("m@1")
	ttl = 10 * time.Second
)

func configWith(state config.VersionState) *config.Config {
	return &config.Config{Versions: map[contract.VersionID]*config.Version{
		v1: {ID: v1, State: state, ServeWithoutWord: ttl},
	}}
}

var workspace = &config.Workspace{ID: "w", Allow: map[contract.VersionID]bool{v1: true}}

func TestCheck(t *testing.T) {
	now := time.Unix(100, 0)
	fresh := now.Add(-time.Second)
	stranger := &config.Workspace{ID: "x", Allow: map[contract.VersionID]bool{}}
	for name, c := range map[string]struct {
		know Knowledge
		who  *config.Workspace
		use  Use
		want contract.RefusalKind
	}{
		"serving":                  {Knowledge{Config: configWith(config.Serving), FreshAt: fresh}, workspace, NewWork, ""},
		"not allowed":              {Knowledge{Config: configWith(config.Serving), FreshAt: fresh}, stranger, NewWork, contract.RefusedNotAllowed},
		"withdrawn":                {Knowledge{Config: configWith(config.Withdrawn), FreshAt: fresh}, workspace, InSession, contract.RefusedWithdrawn},
		"draining, new":            {Knowledge{Config: configWith(config.Draining), FreshAt: fresh}, workspace, NewWork, contract.RefusedWithdrawn},
		"draining, in session":     {Knowledge{Config: configWith(config.Draining), FreshAt: fresh}, workspace, InSession, ""},
		"halted here":              {Knowledge{Config: configWith(config.Serving), FreshAt: fresh, Halted: map[contract.VersionID]bool{v1: true}}, workspace, InSession, contract.RefusedWithdrawn},
		"lapsed":                   {Knowledge{Config: configWith(config.Serving), FreshAt: now.Add(-ttl)}, workspace, NewWork, contract.RefusedNoWord},
		"started without platform": {Knowledge{Config: configWith(config.Serving)}, workspace, NewWork, contract.RefusedNoWord},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Check(c.know, c.who, v1, c.use, now)
			if c.want == "" {
				is.True(got == nil)
				return
			}
			is.True(got != nil)
			is.Equal(got.Kind, c.want)
			is.Equal(got.Outcome, contract.NotRun)
		})
	}
}

// naiveMayServe is the check without an end: it goes by the configuration held.
func naiveMayServe(c *config.Config) bool { return c.Versions[v1].State != config.Withdrawn }

// TestWithdrawnWhileCut draws schedules in which VMs are cut off, frozen,
// started with the platform out and fed by peers, around one withdrawal. No VM
// may start work on the version once the time that apply states has passed,
// and none that has heard of the withdrawal ever again. The naive check breaks
// this in some of the same schedules.
func TestWithdrawnWhileCut(t *testing.T) {
	naiveBroke := 0
	rapid.Check(t, func(t *rapid.T) {
		withdrawnAt := rapid.Int64Range(1, 50).Draw(t, "withdrawn at")
		statedEnd := time.Unix(withdrawnAt, 0).Add(ttl)
		docs := []*document.Document{document.New(1, "a", nil), document.New(2, "b", nil)}
		configs := []*config.Config{configWith(config.Serving), configWith(config.Withdrawn)}
		replicas := []*document.Replica{document.NewReplica(), document.NewReplica(), document.NewReplica()}
		clock := int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			clock += rapid.Int64Range(0, 5).Draw(t, "pause")
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			switch rapid.SampledFrom([]string{"read", "late reply", "peer", "replace", "idle"}).Draw(t, "event") {
			case "read":
				learn(replicas[i], docs, withdrawnAt, clock)
			case "late reply": // asked some seconds ago, answered from then
				learn(replicas[i], docs, withdrawnAt, clock-rapid.Int64Range(0, 30).Draw(t, "lag"))
			case "peer":
				from := replicas[rapid.IntRange(0, 2).Draw(t, "from")]
				replicas[i].Learn(from.Held(), from.FreshAt())
			case "replace":
				replicas[i] = document.NewReplica()
			}
			now := time.Unix(clock, 0)
			for _, r := range replicas {
				rev := r.Held().Revision
				if rev == 0 {
					continue
				}
				c := configs[rev-1]
				serves := Check(Knowledge{Config: c, FreshAt: r.FreshAt()}, workspace, v1, NewWork, now) == nil
				if serves && (rev == 2 || !now.Before(statedEnd)) {
					t.Fatalf("served at %d with revision %d, withdrawn at %d", clock, rev, withdrawnAt)
				}
				if naiveMayServe(c) && !now.Before(statedEnd) {
					naiveBroke++
				}
			}
		}
	})
	if naiveBroke == 0 {
		t.Error("no schedule broke the naive check: the schedules are too tame")
	}
}

func learn(r *document.Replica, docs []*document.Document, withdrawnAt, askedAt int64) {
	d := docs[0]
	if askedAt >= withdrawnAt {
		d = docs[1]
	}
	r.Learn(d, time.Unix(askedAt, 0))
}
