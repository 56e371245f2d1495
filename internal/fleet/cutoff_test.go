package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// cutOffDuration is longer than the 5 s for which chat-small@2 may be served
// without a recent configuration, and shorter than the 20 s of the other versions.
const cutOffDuration = 8 * time.Second

// TestCutOff checks each cell of the table in docs/design/cut-off.md: what a
// data centre serves while it is cut off from the platform, from its peers, or
// from both.
func TestCutOff(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, 2, 2, 0)
	connected, disconnected := f.VMs[0], f.VMs[2] // VMs[2] is in dc2, which is cut off
	for _, c := range []struct {
		name            string
		platform, peers bool
		// shortLived is true when chat-small@2, which may be served for only 5 s
		// without a recent configuration, is still served. foreign is true when a
		// ticket issued in the other data centre can be claimed.
		shortLived, foreign bool
	}{
		{"platform", true, false, true, true},
		{"peers", false, true, true, false},
		{"both", true, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			session, err := disconnected.Chat(ctx, APIKeyNorte, "chat-small", "hello", "Woaddoor-Session", "new")
			is.NoErr(err)
			foreign, err := connected.Call(ctx, APIKeyMbio, http.MethodPost, "/v1/tickets", "")
			is.NoErr(err)
			f.CutFromPlatform("dc2", c.platform)
			f.CutFromPeers("dc2", c.peers)
			for began := time.Now(); time.Since(began) < cutOffDuration; {
				is.Equal(chatStatus(ctx, t, disconnected, "chat-small@1"), http.StatusOK)
			}
			status := chatStatus(ctx, t, disconnected, "chat-small@2")
			is.Equal(status == http.StatusOK, c.shortLived)
			r, err := disconnected.Chat(ctx, APIKeyNorte, "chat-small", "and then", "Woaddoor-Session", session.Header.Get("Woaddoor-Session"))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)

			own, err := disconnected.Call(ctx, APIKeyMbio, http.MethodPost, "/v1/tickets", "")
			is.NoErr(err)
			r, err = disconnected.Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "own "+c.name, "Woaddoor-Ticket", own.Header.Get("Woaddoor-Ticket"))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)
			r, err = disconnected.Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "foreign "+c.name, "Woaddoor-Ticket", foreign.Header.Get("Woaddoor-Ticket"))
			is.NoErr(err)
			if c.foreign {
				is.Equal(r.Status, http.StatusOK)
			} else {
				is.Equal(parseRefusal(t, r), refusal{string(contract.RefusedTicketClaimed), "unknown"})
				is.Equal(f.Boards.RunCount("foreign "+c.name), 0)
			}
			is.Equal(chatStatus(ctx, t, connected, "chat-small@2"), http.StatusOK) // the connected data centre still serves
			f.CutFromPlatform("dc2", false)
			f.CutFromPeers("dc2", false)
			waitUntil(ctx, t, "dc2 has reconnected and serves chat-small@2", func() bool {
				st, err := disconnected.Status(ctx)
				return err == nil && chatStatus(ctx, t, disconnected, "chat-small@2") == http.StatusOK && st.Arbiters == 2 && st.Keepers == 2 && st.ConfigurationAge < 3*time.Second
			})
		})
	}
}

// chatStatus sends a chat request and returns the HTTP status.
func chatStatus(ctx context.Context, t *testing.T, vm *VM, model string) int {
	t.Helper()
	r, err := vm.Chat(ctx, APIKeyNorte, model, "hello")
	if err != nil {
		t.Fatal(err)
	}
	return r.Status
}

// TestPeerDiscovery starts VMs whose settings list only the first VM, and checks
// that they discover each other through it. A replacement VM that is listed in
// no settings file depends on this.
func TestPeerDiscovery(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	f, err := Start(&Options{WorkDir: t.TempDir(), BinDir: binDir, VMs: 4, Engines: 1, DataCentres: []contract.DataCentreID{"dc1"}, ListedPeers: 1})
	t.Cleanup(func() { f.stopAndCheckLogs(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.WaitForPeers(ctx)) // each VM knows two arbiters besides itself
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	waitUntil(ctx, t, "the others drop the killed VM from their membership", func() bool {
		st, err := f.VMs[3].Status(ctx)
		return err == nil && st.Arbiters == 3 && st.Members == 3
	})
}

// TestChangesWhileCutOff changes the configuration twice while the two data
// centres are cut off from each other, so that each receives a different change
// first. After reconnection every VM has the second change, and no VM ever shows
// a lower revision than before.
func TestChangesWhileCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 2, 1, 0)
	highest := make(map[contract.VMID]contract.Revision)
	// Reports whether all VMs have the same revision, and fails the test when
	// one shows a lower revision than before.
	checkRevisions := func() bool {
		allEqual := true
		for _, vm := range f.VMs {
			st, err := vm.Status(ctx)
			is.NoErr(err)
			is.True(st.Revision >= highest[vm.Name])
			highest[vm.Name] = st.Revision
			allEqual = allEqual && st.Revision == highest[f.VMs[0].Name]
		}
		return allEqual
	}
	f.CutFromPeers("dc2", true)
	f.CutFromPlatform("dc2", true)
	checkRevisions()
	f.apply(ctx, t, f.Config("[version chat-large@2]\n"))
	waitUntil(ctx, t, "dc1 has the first change", func() bool { checkRevisions(); return highest[f.VMs[0].Name] == 2 })
	f.VMs[0].Control.Suspend()
	f.CutFromPlatform("dc2", false)
	f.apply(ctx, t, f.Config("[version chat-large@3]\n"))
	waitUntil(ctx, t, "dc2 has the second change", func() bool { checkRevisions(); return highest[f.VMs[1].Name] == 3 })
	f.VMs[0].Control.Resume()
	f.CutFromPeers("dc2", false)
	waitUntil(ctx, t, "all VMs have the same revision", checkRevisions)
	is.Equal(highest[f.VMs[0].Name], contract.Revision(3))
}

// TestAllVMsReplaced restarts the VMs one after another, then all at once. During
// the first part another VM answers while one restarts. After each restart the VM
// has the latest configuration and serves.
func TestAllVMsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 3, 0)
	f.apply(ctx, t, f.Config("[version chat-large@2]\n"))
	for i, vm := range f.VMs {
		vm.Entry.Kill()
		vm.Control.Kill()
		is.NoErr(f.StartVM(vm))
		other := f.VMs[(i+1)%len(f.VMs)]
		is.Equal(chatStatus(ctx, t, other, "chat-small"), http.StatusOK)
		waitUntil(ctx, t, "the restarted VM serves the latest configuration", func() bool {
			st, err := vm.Status(ctx)
			return err == nil && st.Revision == 2 && chatStatus(ctx, t, vm, "chat-small") == http.StatusOK
		})
	}
	for _, vm := range f.VMs {
		vm.Entry.Kill()
		vm.Control.Kill()
	}
	for _, vm := range f.VMs {
		is.NoErr(f.StartVM(vm))
	}
	waitUntil(ctx, t, "all VMs serve the latest configuration", func() bool {
		for _, vm := range f.VMs {
			r, err := vm.Chat(ctx, APIKeyNorte, "chat-small", "hello")
			st, statusErr := vm.Status(ctx)
			if err != nil || statusErr != nil || r.Status != http.StatusOK || st.Revision != 2 {
				return false
			}
		}
		return true
	})
}
