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
	"woaddoor/internal/standin/service"
	platform "woaddoor/internal/standin/store"
)

// refusal is the body of a refusal, as a caller reads it.
type refusal struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func refused(t *testing.T, r Reply) refusal {
	t.Helper()
	var p refusal
	if err := json.Unmarshal([]byte(r.Body), &p); err != nil {
		t.Fatalf("status %d, not a refusal: %q", r.Status, r.Body)
	}
	p.Type = p.Type[strings.LastIndex(p.Type, ":")+1:]
	return p
}

// TestControlKilled shows that every VM serves on with all control processes
// dead, and knows what to refuse once its permissions have ended.
func TestControlKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	for _, vm := range f.VMs {
		vm.Control.Kill()
	}
	for _, vm := range f.VMs {
		r, err := vm.Chat(ctx, KeyMbio, "chat-small", "hello")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
	}
	// chat-small@2 may be served for 5 s without word.
	until(ctx, t, "refused for want of word", func() bool {
		r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable && refused(t, r).Type == string(contract.RefusedNoWord)
	})
}

// TestWithdrawnWhileCut cuts a data centre off from the platform and from its
// peers, and withdraws a version. apply says that it is pending there; the cut
// data centre serves what it may until its permission ends, then refuses.
func TestWithdrawnWhileCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 2, 1, 0)
	near, far := f.VMs[0], f.VMs[1]
	for _, vm := range f.VMs {
		r, err := vm.Chat(ctx, KeyNorte, "chat-small@2", "hello")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
	}
	f.CutFromPeers("dc2", true)
	f.CutFromPlatform("dc2", true)
	root, err := f.Operator().Withdraw(ctx, "chat-small@2", history.Author{Who: "ana", Why: "bad", At: time.Now()})
	is.NoErr(err)
	until(ctx, t, "near VM refuses", func() bool {
		r, err := near.Chat(ctx, KeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	var force datacentre.Force
	until(ctx, t, "near VM is told in force", func() bool {
		force, err = f.Operator().Force(ctx, root)
		return err == nil && slices.Contains(force.InForce, near.Name)
	})
	is.Equal(len(force.Pending), 1)
	is.Equal(force.Pending[0].VM, far.Name)
	is.True(!force.Everywhere(time.Now())) // truthfully pending
	until(ctx, t, "cut VM refuses", func() bool {
		r, err := far.Chat(ctx, KeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status != http.StatusOK
	})
	// Once apply says that it is sure, no VM gives the version new work.
	runs := func() int {
		n := 0
		for _, e := range f.Engines {
			n += e.RunsOf("chat-small@2")
		}
		return n
	}
	until(ctx, t, "sure", func() bool { return time.Now().After(force.SureAt) })
	before := runs()
	for range 5 {
		_, err := far.Chat(ctx, KeyMbio, "chat-small@2", "hello")
		is.NoErr(err)
	}
	is.Equal(runs(), before)
	f.CutFromPeers("dc2", false)
	f.CutFromPlatform("dc2", false)
	until(ctx, t, "healed VM has the withdrawal", func() bool {
		r, err := far.Chat(ctx, KeyMbio, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
}

// TestFrozenThroughWithdrawal freezes a whole VM through the withdrawal and
// past the end of its permission. Woken, it gives the version no new work, not
// even for the request that reaches it first.
func TestFrozenThroughWithdrawal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	vm := f.VMs[0]
	vm.Entry.Freeze()
	vm.Control.Freeze()
	answered := make(chan Reply, 1)
	go func() { // arrives while the VM is frozen
		r, _ := vm.Chat(ctx, KeyMbio, "chat-small@2", "frozen")
		answered <- r
	}()
	root, err := f.Operator().Withdraw(ctx, "chat-small@2", history.Author{Who: "ana", Why: "bad", At: time.Now()})
	is.NoErr(err)
	force, err := f.Operator().Force(ctx, root)
	is.NoErr(err)
	until(ctx, t, "the permission has ended", func() bool { return time.Now().After(force.SureAt) })
	before := 0
	for _, e := range f.Engines {
		before += e.RunsOf("chat-small@2")
	}
	vm.Control.Wake()
	vm.Entry.Wake()
	r := <-answered
	is.True(r.Status != http.StatusOK)
	after := 0
	for _, e := range f.Engines {
		after += e.RunsOf("chat-small@2")
	}
	is.Equal(after, before)
}

// TestSessionThroughReplacement ramps a roll-out while every VM is replaced:
// the session stays on its version, and another workspace cannot use its token.
func TestSessionThroughReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	first, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-small", "hello", "Woaddoor-Session", "new")
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
	until(ctx, t, "new work goes to the new version", func() bool {
		r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small", "hello")
		return err == nil && r.Header.Get("Woaddoor-Version") == "chat-small@2"
	})
	r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small", "and then", "Woaddoor-Session", token)
	is.NoErr(err)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-small@1")
	r, err = f.VMs[1].Chat(ctx, KeyMbio, "chat-small", "and then", "Woaddoor-Session", token)
	is.NoErr(err)
	is.Equal(refused(t, r), refusal{string(contract.RefusedSession), "not run"})
	_, err = f.Operator().Withdraw(ctx, "chat-small@1", history.Author{Who: "ana", Why: "bad", At: time.Now()})
	is.NoErr(err)
	until(ctx, t, "the session is told that its version is withdrawn", func() bool {
		r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small", "and then", "Woaddoor-Session", token)
		return err == nil && r.Status == http.StatusGone
	})
}

const ruling = "/services/boards/rulings"

// TestRulingRunsOnce kills the first VM while the service works on a ruling.
// Retries on the other VMs, in either data centre, do not run it again, and
// none is told that it did not run.
func TestRulingRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 2, 2, 0)
	r, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 7: valid")
	is.NoErr(err)
	is.Equal(refused(t, r), refusal{string(contract.RefusedTicketNeeded), "not run"})
	ticket := r.Header.Get("Woaddoor-Ticket")
	is.True(ticket != "")
	f.Boards.SetFaults(service.Faults{Delay: time.Second})
	go func() {
		_, _ = f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 7: valid", "Woaddoor-Ticket", ticket)
	}()
	until(ctx, t, "the ruling runs", func() bool { return f.Boards.Runs("run 7: valid") == 1 })
	f.VMs[0].Entry.Kill()
	for _, vm := range f.VMs[1:] {
		r, err := vm.Call(ctx, KeyMbio, http.MethodPost, ruling, "run 7: valid", "Woaddoor-Ticket", ticket)
		is.NoErr(err)
		is.Equal(refused(t, r), refusal{string(contract.RefusedClaimed), "unknown"})
	}
	is.Equal(f.Boards.Runs("run 7: valid"), 1)
}

// TestRulingAnswerFoundAgain loses the answer between the router and its
// caller: the retry, on another VM, gets the whole answer and nothing runs.
func TestRulingAnswerFoundAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 3, 0)
	r, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	ticket := r.Header.Get("Woaddoor-Ticket")
	r, err = f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 8", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(r.Body, "done run 8")
	f.VMs[0].Entry.Kill()
	r, err = f.VMs[1].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 8", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(r.Body, "done run 8")
	is.Equal(r.Header.Get("Woaddoor-Replayed"), "yes")
	is.Equal(f.Boards.Runs("run 8"), 1)
}

// TestNotRunIsProved kills the VM that issued a ticket before anything ran: a
// survivor proves that it never ran, and keeps it from running later.
func TestNotRunIsProved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	r, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	ticket := r.Header.Get("Woaddoor-Ticket")
	f.VMs[0].Entry.Kill()
	r, err = f.VMs[1].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 9", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(refused(t, r).Type, string(contract.RefusedClaimed)) // its own vote came first
	is.Equal(f.Boards.Runs("run 9"), 0)
}

// TestBilledThoughKilled kills each VM right after its answers, with the
// platform out, so that only the peers' copies are left. Every answer is billed
// once, to its workspace.
func TestBilledThoughKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 2, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	const answers = 5
	for i := range answers {
		key := KeyNorte
		if i%2 == 1 {
			key = KeyMbio
		}
		r, err := f.VMs[0].Chat(ctx, key, "chat-large", "hello", "Idempotency-Key", "the same of both")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
		r, err = f.VMs[0].Chat(ctx, key, "chat-large", "hello")
		is.NoErr(err)
		is.Equal(r.Status, http.StatusOK)
	}
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	f.Platform.SetFaults(platform.Faults{LoseReplies: 2})
	// norte: 1 to see that each VM serves, 3 of its own, 1 under the key.
	want := map[contract.WorkspaceID]int{"norte": 2 + 3 + 1, "mbio": 2 + 1}
	until(ctx, t, "all is billed", func() bool {
		sums, err := f.Operator().Bills(ctx)
		if err != nil || len(sums) != len(want) {
			return false
		}
		for _, s := range sums {
			if s.Requests > want[s.Workspace] {
				t.Fatalf("%s is billed %d requests of %d", s.Workspace, s.Requests, want[s.Workspace])
			}
			if s.Requests != want[s.Workspace] {
				return false
			}
		}
		return true
	})
}

// TestStopWithPlatformOut stops a VM while the platform is out: it ends though
// its records cannot be filed, since a peer holds them, and the peer files them.
func TestStopWithPlatformOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	f.VMs[0].Entry.Terminate()
	<-f.VMs[0].Entry.Done()
	is.NoErr(f.VMs[0].Entry.Err())
	f.VMs[0].Control.Kill()
	f.Platform.SetFaults(platform.Faults{})
	until(ctx, t, "the peer has filed it", func() bool {
		sums, err := f.Operator().Bills(ctx)
		return err == nil && len(sums) == 2 && sums[0].Workspace == "mbio" && sums[0].Requests == 1
	})
}

// TestStopWithRecordAtRisk stops a VM that serves a workspace at risk, while the
// platform is out and after its peer was frozen: once the peer wakes it holds the
// record, and the VM ends. It waited for the platform.
func TestStopWithRecordAtRisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.VMs[1].Entry.Freeze()
	r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	st, err := f.VMs[0].Status(ctx)
	is.NoErr(err)
	is.Equal(st.BillsAtRisk, 1)
	f.VMs[1].Entry.Wake()
	f.VMs[0].Entry.Terminate()
	select {
	case <-f.VMs[0].Entry.Done():
	case <-ctx.Done():
		t.Fatal("the VM does not end")
	}
	is.NoErr(f.VMs[0].Entry.Err())
}

// TestUnbilledIsRefused cuts the only VM off from the platform: a workspace
// that is not served at risk is refused before anything runs, another is
// served and the amount at risk is counted.
func TestUnbilledIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	until(ctx, t, "what was kept lately no longer counts", func() bool {
		r, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-large", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable && refused(t, r) == refusal{string(contract.RefusedBill), "not run"}
	})
	before := f.Engines["dc1-engine-1"].TotalRuns() + f.Engines["dc1-engine-2"].TotalRuns()
	r, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusServiceUnavailable)
	is.Equal(f.Engines["dc1-engine-1"].TotalRuns()+f.Engines["dc1-engine-2"].TotalRuns(), before)
	r, err = f.VMs[0].Chat(ctx, KeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	st, err := f.VMs[0].Status(ctx)
	is.NoErr(err)
	is.True(st.BillsAtRisk >= 1)
	f.Platform.SetFaults(platform.Faults{})
	until(ctx, t, "nothing is at risk any more", func() bool {
		st, err := f.VMs[0].Status(ctx)
		return err == nil && st.BillsAtRisk == 0
	})
}

// TestStartedWithoutPlatform replaces a VM while the platform is out: its peers
// hand it the configuration, and it never holds an older one.
func TestStartedWithoutPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 3, 0)
	_, err := f.Operator().Withdraw(ctx, "chat-small@2", history.Author{Who: "ana", Why: "bad", At: time.Now()})
	is.NoErr(err)
	until(ctx, t, "withdrawn", func() bool {
		r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	is.NoErr(f.StartVM(f.VMs[0]))
	until(ctx, t, "the new VM serves", func() bool {
		r, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-small", "hello")
		return err == nil && r.Status == http.StatusOK
	})
	r, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-small@2", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusGone)
}

// TestLeavingUpstream has one engine say that it is leaving, and one fall
// silent, with the platform out: neither gets new work any more.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	leaving, staying := f.Engines["dc1-engine-1"], f.Engines["dc1-engine-2"]
	leaving.Drain()
	until(ctx, t, "only the other engine works", func() bool {
		before := leaving.TotalRuns()
		for range 10 {
			if r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-small", "hello"); err != nil || r.Status != http.StatusOK {
				return false
			}
		}
		return leaving.TotalRuns() == before
	})
	staying.SetFaults(standin.Faults{Silent: true})
	until(ctx, t, "none is left", func() bool {
		r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-small", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable
	})
	r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat-small", "hello")
	is.NoErr(err)
	is.Equal(refused(t, r), refusal{string(contract.RefusedNoUpstream), "not run"})
	is.True(r.Header.Get("Retry-After") != "")
}

// TestWrongAnswerNeverDelivered has engines run another version, answer with
// another request's id, and cut answers short: no caller sees one of them.
func TestWrongAnswerNeverDelivered(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, 1, 1, 0)
	for name, faults := range map[string]standin.Faults{
		"other version": {HeldVersion: "chat-large@1"}, "crossed": {Crossed: true}, "truncated": {TruncateAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.Engines["dc1-engine-1"].SetFaults(faults)
			for range 10 {
				r, err := f.VMs[0].Chat(ctx, KeyNorte, "chat-small", "hello")
				is.NoErr(err)
				if r.Status == http.StatusOK {
					is.True(strings.Contains(r.Body, `"model":"chat-small@1"`))
					is.Equal(r.Header.Get("Woaddoor-Upstream"), "dc1-engine-2")
				}
			}
		})
	}
}
