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
	versionID    = contract.VersionID("m@1")
	maxConfigAge = 10 * time.Second
)

func configWith(state config.VersionState) *config.Config {
	return &config.Config{Versions: map[contract.VersionID]*config.Version{
		versionID: {ID: versionID, State: state, ServeWithoutUpdate: maxConfigAge},
	}}
}

var workspace = &config.Workspace{ID: "w", AllowedVersions: map[contract.VersionID]bool{versionID: true}}

// TestCheck checks which requests are permitted or refused, depending on the state of the version, the age of the
// configuration and the workspace.
func TestCheck(t *testing.T) {
	now := time.Unix(100, 0)
	fresh := now.Add(-time.Second)
	unauthorized := &config.Workspace{ID: "x", AllowedVersions: map[contract.VersionID]bool{}}
	for name, c := range map[string]struct {
		snapshot  Snapshot
		workspace *config.Workspace
		kind      RequestKind
		want      contract.RefusalKind
	}{
		"serving":                       {Snapshot{Config: configWith(config.Serving), FreshAt: fresh}, workspace, NewWork, ""},
		"not allowed":                   {Snapshot{Config: configWith(config.Serving), FreshAt: fresh}, unauthorized, NewWork, contract.RefusedVersionNotAllowed},
		"withdrawn":                     {Snapshot{Config: configWith(config.Withdrawn), FreshAt: fresh}, workspace, InSession, contract.RefusedVersionWithdrawn},
		"draining, new work":            {Snapshot{Config: configWith(config.Draining), FreshAt: fresh}, workspace, NewWork, contract.RefusedVersionWithdrawn},
		"draining, in session":          {Snapshot{Config: configWith(config.Draining), FreshAt: fresh}, workspace, InSession, ""},
		"halted on this VM":             {Snapshot{Config: configWith(config.Serving), FreshAt: fresh, Halted: map[contract.VersionID]bool{versionID: true}}, workspace, InSession, contract.RefusedVersionWithdrawn},
		"configuration too old":         {Snapshot{Config: configWith(config.Serving), FreshAt: now.Add(-maxConfigAge)}, workspace, NewWork, contract.RefusedStaleConfiguration},
		"configuration never confirmed": {Snapshot{Config: configWith(config.Serving)}, workspace, NewWork, contract.RefusedStaleConfiguration},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Check(c.snapshot, c.workspace, versionID, c.kind, now)
			if c.want == "" {
				is.True(got == nil)
				return
			}
			is.True(got != nil)
			is.Equal(got.Kind, c.want)
			is.Equal(got.Outcome, contract.OutcomeNotRun)
		})
	}
}

// mayServeIgnoringAge is a faulty check for comparison: it trusts the VM's configuration however old it is.
func mayServeIgnoringAge(c *config.Config) bool {
	return c.Versions[versionID].State != config.Withdrawn
}

// TestWithdrawnVersionDuringPartition generates schedules around the withdrawal of a version in which VMs are
// disconnected, paused, restarted during a platform outage, or updated by peers. A VM must not start work on
// the version after the deadline that the apply command prints, nor after it has received the withdrawal.
// To show that the schedules are hard enough, a check that ignores the age must violate this in some of them.
func TestWithdrawnVersionDuringPartition(t *testing.T) {
	violationsIgnoringAge := 0
	rapid.Check(t, func(t *rapid.T) {
		withdrawnAt := rapid.Int64Range(1, 50).Draw(t, "withdrawn at (s)")
		deadline := time.Unix(withdrawnAt, 0).Add(maxConfigAge)
		documents := []*document.Document{document.New(1, "a", nil), document.New(2, "b", nil)}
		configs := []*config.Config{configWith(config.Serving), configWith(config.Withdrawn)}
		replicas := []*document.Replica{document.NewReplica(), document.NewReplica(), document.NewReplica()}
		seconds := int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			seconds += rapid.Int64Range(0, 5).Draw(t, "pause")
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			switch rapid.SampledFrom([]string{"pull", "late reply", "peer update", "restart", "idle"}).Draw(t, "event") {
			case "pull":
				learnFromPlatform(replicas[i], documents, withdrawnAt, seconds)
			case "late reply": // the reply to a pull sent some seconds ago: it reflects the state of that time
				learnFromPlatform(replicas[i], documents, withdrawnAt, seconds-rapid.Int64Range(0, 30).Draw(t, "lag"))
			case "peer update":
				from := replicas[rapid.IntRange(0, 2).Draw(t, "from")]
				replicas[i].Update(from.Document(), from.FreshAt())
			case "restart":
				replicas[i] = document.NewReplica()
			}
			now := time.Unix(seconds, 0)
			for _, r := range replicas {
				revision := r.Document().Revision
				if revision == 0 {
					continue
				}
				c := configs[revision-1]
				permitted := Check(Snapshot{Config: c, FreshAt: r.FreshAt()}, workspace, versionID, NewWork, now) == nil
				if permitted && (revision == 2 || !now.Before(deadline)) {
					t.Fatalf("version served at %d s with revision %d; it was withdrawn at %d s", seconds, revision, withdrawnAt)
				}
				if mayServeIgnoringAge(c) && !now.Before(deadline) {
					violationsIgnoringAge++
				}
			}
		}
	})
	if violationsIgnoringAge == 0 {
		t.Error("no schedule made the check that ignores the age fail: the schedules are too easy to detect a fault")
	}
}

// learnFromPlatform gives a replica the platform's document of the time askedAt, in seconds.
func learnFromPlatform(r *document.Replica, documents []*document.Document, withdrawnAt, askedAt int64) {
	newest := documents[0]
	if askedAt >= withdrawnAt {
		newest = documents[1]
	}
	r.Update(newest, time.Unix(askedAt, 0))
}
