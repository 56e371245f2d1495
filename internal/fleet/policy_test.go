package fleet

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestCascadeEscalates has the cheaper model's answers rated bad: the caller
// gets the larger model's, is billed for that alone, and what the cheaper try
// cost is recorded apart.
func TestCascadeEscalates(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 2, 0)
	f.Rating.SetScore("chat-small@1", 0)
	r, err := f.VMs[0].Chat(ctx, KeyMbio, "chat", "hello", "Idempotency-Key", "one")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-large@1")
	is.True(f.Rating.Rated() > 0)
	until(ctx, t, "it is billed", func() bool {
		sums, err := f.Operator().Bills(ctx)
		if err != nil || len(sums) != 2 {
			return false
		}
		is.Equal(sums[0].Requests, 1) // mbio, before norte
		is.True(sums[0].Inside > 0)
		return true
	})
	// A request that may not be repeated does not cascade.
	ticket, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	rated := f.Rating.Rated()
	small := f.Engines["dc1-engine-1"].RunsOf("chat-small@1") + f.Engines["dc1-engine-2"].RunsOf("chat-small@1")
	r, err = f.VMs[0].Chat(ctx, KeyMbio, "chat", "a ruling", "Woaddoor-Repeatable", "no", "Woaddoor-Ticket", ticket.Header.Get("Woaddoor-Ticket"))
	is.NoErr(err)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-large@1")
	is.Equal(f.Engines["dc1-engine-1"].RunsOf("chat-small@1")+f.Engines["dc1-engine-2"].RunsOf("chat-small@1"), small)
	is.True(f.Rating.Rated() <= rated+1) // at most the delivered answer, later
}

// TestRulingWithFrozenArbiter freezes one of three arbiters: the other two are
// a majority. With two frozen the claim is refused, truthfully, and at once.
func TestRulingWithFrozenArbiter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := start(t, 1, 3, 0)
	first, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	second, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	f.VMs[1].Entry.Freeze()
	r, err := f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 10", "Woaddoor-Ticket", first.Header.Get("Woaddoor-Ticket"))
	is.NoErr(err)
	is.Equal(r.Body, "done run 10")
	f.VMs[2].Entry.Freeze()
	r, err = f.VMs[0].Call(ctx, KeyMbio, http.MethodPost, ruling, "run 11", "Woaddoor-Ticket", second.Header.Get("Woaddoor-Ticket"))
	is.NoErr(err)
	is.Equal(refused(t, r).Outcome, "unknown")
	is.Equal(f.Boards.Runs("run 11"), 0)
	// Woken, the arbiters keep the late claim from running: their votes are
	// for an attempt that has ended.
	f.VMs[1].Entry.Wake()
	f.VMs[2].Entry.Wake()
	for _, vm := range f.VMs {
		r, err = vm.Call(ctx, KeyMbio, http.MethodPost, ruling, "run 11", "Woaddoor-Ticket", second.Header.Get("Woaddoor-Ticket"))
		is.NoErr(err)
		is.True(r.Status != http.StatusOK)
	}
	is.Equal(f.Boards.Runs("run 11"), 0)
}
