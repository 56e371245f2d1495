package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// stableFor is longer than the 5 s for which chat-small@2 may be served without
// word, and shorter than the 20 s of the other versions.
const stableFor = 8 * time.Second

// TestCutOff checks each cell of the table in docs/design/cut-off.md: what a
// data centre serves while it is cut off from the platform, from its peers, and
// from both.
func TestCutOff(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, 2, 2, 0)
	near, far := f.VMs[0], f.VMs[2] // far is in dc2, which is cut off
	for _, c := range []struct {
		name            string
		platform, peers bool
		// shortLived tells whether a version that may be served only briefly
		// without word is still served; foreign whether a ticket of the other
		// data centre can be claimed.
		shortLived, foreign bool
	}{
		{"platform", true, false, true, true},
		{"peers", false, true, true, false},
		{"both", true, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			session, err := far.Chat(ctx, KeyNorte, "chat-small", "hello", "Woaddoor-Session", "new")
			is.NoErr(err)
			foreign, err := near.Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
			is.NoErr(err)
			f.CutFromPlatform("dc2", c.platform)
			f.CutFromPeers("dc2", c.peers)
			for began := time.Now(); time.Since(began) < stableFor; {
				is.Equal(chatStatus(ctx, t, far, "chat-small@1"), http.StatusOK)
			}
			status := chatStatus(ctx, t, far, "chat-small@2")
			is.Equal(status == http.StatusOK, c.shortLived)
			r, err := far.Chat(ctx, KeyNorte, "chat-small", "and then", "Woaddoor-Session", session.Header.Get("Woaddoor-Session"))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)

			own, err := far.Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
			is.NoErr(err)
			r, err = far.Call(ctx, KeyMbio, http.MethodPost, ruling, "own "+c.name, "Woaddoor-Ticket", own.Header.Get("Woaddoor-Ticket"))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)
			r, err = far.Call(ctx, KeyMbio, http.MethodPost, ruling, "foreign "+c.name, "Woaddoor-Ticket", foreign.Header.Get("Woaddoor-Ticket"))
			is.NoErr(err)
			if c.foreign {
				is.Equal(r.Status, http.StatusOK)
			} else {
				is.Equal(refused(t, r), refusal{string(contract.RefusedClaimed), "unknown"})
				is.Equal(f.Boards.Runs("foreign "+c.name), 0)
			}
			is.Equal(chatStatus(ctx, t, near, "chat-small@2"), http.StatusOK) // the other side goes on
			f.CutFromPlatform("dc2", false)
			f.CutFromPeers("dc2", false)
			until(ctx, t, "healed", func() bool {
				st, err := far.Status(ctx)
				return err == nil && chatStatus(ctx, t, far, "chat-small@2") == http.StatusOK && st.Arbiters == 2 && st.Keepers == 2 && st.Age < 3*time.Second
			})
		})
	}
}

func chatStatus(ctx context.Context, t *testing.T, vm *VM, model string) int {
	t.Helper()
	r, err := vm.Chat(ctx, KeyNorte, model, "hello")
	if err != nil {
		t.Fatal(err)
	}
	return r.Status
}

// TestPeersFound starts VMs whose settings name the first alone: they find each
// other through it, as a replacement that no settings name has to.
func TestPeersFound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	f, err := Start(&Options{Dir: t.TempDir(), BinDir: binDir, VMs: 4, Engines: 1, DataCentres: []contract.DataCentreID{"dc1"}, Peers: 1})
	t.Cleanup(func() { f.end(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.Acquainted(ctx)) // each knows two more arbiters than itself
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	until(ctx, t, "the others go on without it", func() bool {
		st, err := f.VMs[3].Status(ctx)
		return err == nil && st.Arbiters == 3 && st.Members == 3
	})
}

// TestBothSidesChange cuts a data centre off from its peers, not from the
// platform, and changes the configuration twice, racing: after healing every
// VM has the winner's, and none went back on the way.
func TestBothSidesChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 2, 1, 0)
	highest := make(map[contract.VMID]contract.Revision)
	watch := func() bool { // no VM ever shows a lower revision than before
		same := true
		for _, vm := range f.VMs {
			st, err := vm.Status(ctx)
			is.NoErr(err)
			is.True(st.Revision >= highest[vm.Name])
			highest[vm.Name] = st.Revision
			same = same && st.Revision == highest[f.VMs[0].Name]
		}
		return same
	}
	f.CutFromPeers("dc2", true)
	f.CutFromPlatform("dc2", true)
	watch()
	f.apply(ctx, t, f.Config("[version chat-large@2]\n"))
	until(ctx, t, "one side has it", func() bool { watch(); return highest[f.VMs[0].Name] == 2 })
	f.VMs[0].Control.Freeze()
	f.CutFromPlatform("dc2", false)
	f.apply(ctx, t, f.Config("[version chat-large@3]\n"))
	until(ctx, t, "the other side has the next", func() bool { watch(); return highest[f.VMs[1].Name] == 3 })
	f.VMs[0].Control.Wake()
	f.CutFromPeers("dc2", false)
	until(ctx, t, "all have the same", watch)
	is.Equal(highest[f.VMs[0].Name], contract.Revision(3))
}

// TestAllReplacedInTurn replaces every VM, one after another and then all at
// once, under requests that go on: no VM ever shows an older configuration, and
// at each moment of the first part some VM serves.
func TestAllReplacedInTurn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 3, 0)
	f.apply(ctx, t, f.Config("[version chat-large@2]\n"))
	for i, vm := range f.VMs {
		vm.Entry.Kill()
		vm.Control.Kill()
		is.NoErr(f.StartVM(vm))
		other := f.VMs[(i+1)%len(f.VMs)]
		is.Equal(chatStatus(ctx, t, other, "chat-small"), http.StatusOK)
		until(ctx, t, "it serves again", func() bool {
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
	until(ctx, t, "all serve", func() bool {
		for _, vm := range f.VMs {
			r, err := vm.Chat(ctx, KeyNorte, "chat-small", "hello")
			st, statusErr := vm.Status(ctx)
			if err != nil || statusErr != nil || r.Status != http.StatusOK || st.Revision != 2 {
				return false
			}
		}
		return true
	})
}
