package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	platform "woaddoor/internal/standin/store"
)

// TestBillingSurvivesKill kills a VM right after its answers while the platform is
// down, so that only the peers' copies are left. Every answer is billed once, to
// its workspace.
func TestBillingSurvivesKill(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 2, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	const answers = 5
	for i := range answers {
		key := APIKeyNorte
		if i%2 == 1 {
			key = APIKeyMbio
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
	f.Platform.SetFaults(platform.Faults{DropReplies: 2})
	// norte: 1 for each of the 2 VMs to see that it serves, 3 without an
	// idempotency key, 1 for all that share the key.
	want := map[contract.WorkspaceID]int{"norte": 2 + 3 + 1, "mbio": 2 + 1}
	waitUntil(ctx, t, "all requests are billed", func() bool {
		sums, err := f.Operator().Bills(ctx)
		if err != nil || len(sums) != len(want) {
			return false
		}
		for _, s := range sums {
			if s.Requests > want[s.Workspace] {
				t.Fatalf("workspace %s is billed for %d requests, at most %d expected", s.Workspace, s.Requests, want[s.Workspace])
			}
			if s.Requests != want[s.Workspace] {
				return false
			}
		}
		return true
	})
}

// TestBillsAreKeptWhilePeerControlRestarts guards against refusing answers that were run, because
// the control process of the peer that holds the bill records has restarted or is gone, although
// the entry process of that peer still runs. The platform is down meanwhile.
func TestBillsAreKeptWhilePeerControlRestarts(t *testing.T) {
	t.Parallel()
	const (
		// outage is longer than a silent VM is listed for.
		outage = 8 * time.Second
		pause  = 5 * time.Millisecond
	)
	for name, restart := range map[string]bool{"restarted": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, ctx := startFleet(t, 2, 1, 0)
			f.Platform.SetFaults(platform.Faults{Down: true})
			f.VMs[1].Control.Kill()
			if restart {
				is.NoErr(f.StartControl(f.VMs[1]))
			}
			for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(pause) {
				r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-large", "hello")
				is.NoErr(err)
				is.Equal(r.Status, http.StatusOK)
			}
		})
	}
}

// TestStopWithRecordAtRisk stops a VM that holds the only copy of a bill record,
// because the platform is down and its peer was suspended. Once the peer resumes,
// it must receive a copy and the VM must exit. Without a new copy attempt the VM
// waits for the platform.
func TestStopWithRecordAtRisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.VMs[1].Entry.Suspend()
	r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	st, err := f.VMs[0].Status(ctx)
	is.NoErr(err)
	is.Equal(st.BillsAtRisk, 1)
	f.VMs[1].Entry.Resume()
	f.VMs[0].Entry.Terminate()
	select {
	case <-f.VMs[0].Entry.Done():
	case <-ctx.Done():
		t.Fatal("the VM does not exit")
	}
	is.NoErr(f.VMs[0].Entry.Err())
}

// TestUnbillableRequestRefused stops the platform for the only VM. The workspace
// with bill-at-risk = refuse is refused before anything runs. The workspace with
// bill-at-risk = serve is served, and its bill record is counted as at risk.
func TestUnbillableRequestRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 1, 0)
	f.Platform.SetFaults(platform.Faults{Down: true})
	waitUntil(ctx, t, "requests of norte are refused", func() bool {
		r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-large", "hello")
		return err == nil && r.Status == http.StatusServiceUnavailable && parseRefusal(t, r) == refusal{string(contract.RefusedBillNotStored), "not run"}
	})
	before := f.Engines["dc1-engine-1"].TotalRunCount() + f.Engines["dc1-engine-2"].TotalRunCount()
	r, err := f.VMs[0].Chat(ctx, APIKeyNorte, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusServiceUnavailable)
	is.Equal(f.Engines["dc1-engine-1"].TotalRunCount()+f.Engines["dc1-engine-2"].TotalRunCount(), before)
	r, err = f.VMs[0].Chat(ctx, APIKeyMbio, "chat-large", "hello")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	st, err := f.VMs[0].Status(ctx)
	is.NoErr(err)
	is.True(st.BillsAtRisk >= 1)
	f.Platform.SetFaults(platform.Faults{})
	waitUntil(ctx, t, "no bill record is at risk", func() bool {
		st, err := f.VMs[0].Status(ctx)
		return err == nil && st.BillsAtRisk == 0
	})
}
