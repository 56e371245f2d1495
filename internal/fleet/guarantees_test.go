package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/datacentre"
	"woaddoor/history"
	standin "woaddoor/internal/standin/engine"
	platform "woaddoor/internal/standin/store"
)

// refusal holds the fields of a problem document that tests check. Type is the
// last part of the document's type URN.
type refusal struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

// parseRefusal decodes a reply that must be a problem document.
func parseRefusal(t *testing.T, r Reply) refusal {
	t.Helper()
	var parsed refusal
	if err := json.Unmarshal([]byte(r.Body), &parsed); err != nil {
		t.Fatalf("status %d, body is not a problem document: %q", r.Status, r.Body)
	}
	parsed.Type = parsed.Type[strings.LastIndex(parsed.Type, ":")+1:]
	return parsed
}

// TestControlKilled checks that every VM keeps serving after all control
// processes are killed, and refuses a version once its permission has expired.
func TestControlKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	for _, vm := range f.VMs {
		vm.Control.Kill()
	}
	for _, vm := range f.VMs {
		r, err := vm.Chat(ctx, APIKeyMbio, "chat-small", "hello")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
	}
	// chat-small@2 may be served for 5 s without a recent configuration.
	waitUntil(ctx, t, "chat-small@2 is refused for lack of a recent configuration", func() bool {
		r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable && parseRefusal(t, r).Type == string(contract.RefusedStaleConfiguration)
	})
}

// TestWithdrawalWhileCutOff cuts a data centre off from the platform and from its
// peers, and withdraws a version. The withdrawal is reported as pending there.
// The data centre serves the version until its permission expires, then refuses it.
func TestWithdrawalWhileCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 2, 1, 0)
	connected, disconnected := f.VMs[0], f.VMs[1]
	for _, vm := range f.VMs {
		r, err := vm.Chat(ctx, APIKeyNorte, "chat-small@2", "hello")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
	}
	f.CutFromPeers("dc2", true)
	f.CutFromPlatform("dc2", true)
	root, err := f.Operator().Withdraw(ctx, "chat-small@2", history.ChangeInfo{Author: "ana", Reason: "bad", At: time.Now()})
	is.NoErr(err)
	waitUntil(ctx, t, "the connected VM refuses the version", func() bool {
		r, err := connected.Chat(ctx, APIKeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	var revisionStatus datacentre.RevisionStatus
	waitUntil(ctx, t, "the withdrawal is reported in force on the connected VM", func() bool {
		revisionStatus, err = f.Operator().RevisionStatus(ctx, root)
		return err == nil && slices.Contains(revisionStatus.InForce, connected.Name)
	})
	is.Equal(len(revisionStatus.Pending), 1)
	is.Equal(revisionStatus.Pending[0].VM, disconnected.Name)
	is.True(!revisionStatus.InForceEverywhere(time.Now())) // not yet in force on the VM that is cut off
	waitUntil(ctx, t, "the VM that is cut off refuses the version", func() bool {
		r, err := disconnected.Chat(ctx, APIKeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status != http.StatusOK
	})
	// After EnforcedAt no VM sends new work to the withdrawn version.
	runs := func() int {
		n := 0
		for _, e := range f.Engines {
			n += e.RunCountOfVersion("chat-small@2")
		}
		return n
	}
	waitUntil(ctx, t, "EnforcedAt has passed", func() bool { return time.Now().After(revisionStatus.EnforcedAt) })
	before := runs()
	for range 5 {
		_, err := disconnected.Chat(ctx, APIKeyMbio, "chat-small@2", "hello")
		is.NoErr(err)
	}
	is.Equal(runs(), before)
	f.CutFromPeers("dc2", false)
	f.CutFromPlatform("dc2", false)
	waitUntil(ctx, t, "the reconnected VM has the withdrawal", func() bool {
		r, err := disconnected.Chat(ctx, APIKeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
}

// TestSuspendedDuringWithdrawal suspends both processes of a VM during a
// withdrawal and until its permission has expired. After it resumes it sends no
// work to the version, not even for a request that arrived while it was suspended.
func TestSuspendedDuringWithdrawal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	vm := f.VMs[0]
	vm.Entry.Suspend()
	vm.Control.Suspend()
	answered := make(chan Reply, 1)
	go func() { // arrives while the VM is suspended
		r, _ := vm.Chat(ctx, APIKeyMbio, "chat-small@2", "frozen")
		answered <- r
	}()
	root, err := f.Operator().Withdraw(ctx, "chat-small@2", history.ChangeInfo{Author: "ana", Reason: "bad", At: time.Now()})
	is.NoErr(err)
	revisionStatus, err := f.Operator().RevisionStatus(ctx, root)
	is.NoErr(err)
	waitUntil(ctx, t, "the permission has expired", func() bool { return time.Now().After(revisionStatus.EnforcedAt) })
	before := 0
	for _, e := range f.Engines {
		before += e.RunCountOfVersion("chat-small@2")
	}
	vm.Control.Resume()
	vm.Entry.Resume()
	r := <-answered
	is.True(r.Status != http.StatusOK)
	after := 0
	for _, e := range f.Engines {
		after += e.RunCountOfVersion("chat-small@2")
	}
	is.Equal(after, before)
}

// TestSessionSurvivesReplacement changes the served version and restarts every VM.
// The session stays on its old version until that is withdrawn, and another
// workspace cannot use its token.
func TestSessionSurvivesReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	first, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-small", "hello", "Woaddoor-Session", "new")
	is.NoErr(err)
	token := first.Header.Get("Woaddoor-Session")
	is.Equal(first.Header.Get("Woaddoor-Version"), "chat-small@1")
	f.apply(ctx, t, strings.Replace(f.Config(""), "serve = chat-small@1", "serve = chat-small@2", 1))
	for _, vm := range f.VMs {
		vm.Entry.Kill()
		vm.Control.Kill()
	}
	for _, vm := range f.VMs {
		is.NoErr(f.StartVM(vm))
	}
	waitUntil(ctx, t, "new work goes to the new version", func() bool {
		r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small", "hello")
		return err == nil && r.Header.Get("Woaddoor-Version") == "chat-small@2"
	})
	r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small", "and then", "Woaddoor-Session", token)
	is.NoErr(err)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-small@1")
	r, err = f.VMs[1].Chat(ctx, APIKeyMbio, "chat-small", "and then", "Woaddoor-Session", token)
	is.NoErr(err)
	is.Equal(parseRefusal(t, r), refusal{string(contract.RefusedInvalidSession), "not run"})
	_, err = f.Operator().Withdraw(ctx, "chat-small@1", history.ChangeInfo{Author: "ana", Reason: "bad", At: time.Now()})
	is.NoErr(err)
	waitUntil(ctx, t, "the session is refused because its version is withdrawn", func() bool {
		r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small", "and then", "Woaddoor-Session", token)
		return err == nil && r.Status == http.StatusGone
	})
}

// TestStopDuringPlatformOutage stops a VM while the platform is down. The VM exits
// although it cannot file its bill records, because a peer holds copies. The peer
// files them once the platform is back.
func TestStopDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	f.VMs[0].Entry.Terminate()
	<-f.VMs[0].Entry.Done()
	is.NoErr(f.VMs[0].Entry.Err())
	f.VMs[0].Control.Kill()
	f.Platform.SetFaults(platform.Faults{})
	waitUntil(ctx, t, "the peer has filed the bill record", func() bool {
		sums, err := f.Operator().Bills(ctx)
		return err == nil && len(sums) == 2 && sums[0].Workspace == "mbio" && sums[0].Requests == 1
	})
}

// TestStartDuringPlatformOutage restarts a VM while the platform is down. It gets
// the latest configuration, including a withdrawal, from its peers.
func TestStartDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 3, 0)
	_, err := f.Operator().Withdraw(ctx, "chat-small@2", history.ChangeInfo{Author: "ana", Reason: "bad", At: time.Now()})
	is.NoErr(err)
	waitUntil(ctx, t, "chat-small@2 is withdrawn", func() bool {
		r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	is.NoErr(f.StartVM(f.VMs[0]))
	waitUntil(ctx, t, "the restarted VM serves", func() bool {
		r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-small", "hello")
		return err == nil && r.Status == http.StatusOK
	})
	r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-small@2", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusGone)
}

// TestDrainingUpstream has one engine report that it is draining, then makes the
// other stop answering load reports, while the platform is down. Neither gets new
// work.
func TestDrainingUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	draining, remaining := f.Engines["dc1-engine-1"], f.Engines["dc1-engine-2"]
	draining.Drain()
	waitUntil(ctx, t, "the draining engine gets no more requests", func() bool {
		before := draining.TotalRunCount()
		for range 10 {
			if r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-small", "hello"); err != nil || r.Status != http.StatusOK {
				return false
			}
		}
		return draining.TotalRunCount() == before
	})
	remaining.SetFaults(standin.Faults{DropLoadCalls: true})
	waitUntil(ctx, t, "no engine is available", func() bool {
		r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-small", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable
	})
	r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-small", "hello")
	is.NoErr(err)
	is.Equal(parseRefusal(t, r), refusal{string(contract.RefusedNoUpstream), "not run"})
	is.True(r.Header.Get("Retry-After") != "")
}

// TestWrongAnswerNeverDelivered has an engine run another version, answer with
// another request's ID, or truncate its answers. No such answer reaches a caller.
func TestWrongAnswerNeverDelivered(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, 1, 1, 0)
	for name, faults := range map[string]standin.Faults{
		"other version": {RunsVersion: "chat-large@1"}, "crossed": {WrongRequestID: true}, "truncated": {TruncateAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.Engines["dc1-engine-1"].SetFaults(faults)
			for range 10 {
				r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-small", "hello")
				is.NoErr(err)
				if r.Status == http.StatusOK {
					is.True(strings.Contains(r.Body, `"model":"chat-small@1"`))
					is.Equal(r.Header.Get("Woaddoor-Upstream"), "dc1-engine-2")
				}
			}
		})
	}
}
