package fleet

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestCascadeEscalates makes the rating service rate the cheaper model's answers
// bad. The caller gets the larger model's answer and is billed for that alone;
// the cost of the cheaper attempt is recorded separately.
func TestCascadeEscalates(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	f.Rating.SetScore("chat-small@1", 0)
	r, err := f.VMs[0].Chat(ctx, APIKeyMbio, "chat", "hello", "Idempotency-Key", "one")
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-large@1")
	is.True(f.Rating.RatedCount() > 0)
	waitUntil(ctx, t, "the request is billed", func() bool {
		sums, err := f.Operator().Bills(ctx)
		if err != nil || len(sums) != 2 {
			return false
		}
		is.Equal(sums[0].Requests, 1) // sums are sorted: mbio comes before norte
		is.True(sums[0].InternalCost > 0)
		return true
	})
	// A non-repeatable request goes straight to the larger model.
	ticket, err := f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, "/v1/tickets", "")
	is.NoErr(err)
	rated := f.Rating.RatedCount()
	small := f.Engines["dc1-engine-1"].RunCountOfVersion("chat-small@1") + f.Engines["dc1-engine-2"].RunCountOfVersion("chat-small@1")
	r, err = f.VMs[0].Chat(ctx, APIKeyMbio, "chat", "a ruling", "Woaddoor-Repeatable", "no", "Woaddoor-Ticket", ticket.Header.Get("Woaddoor-Ticket"))
	is.NoErr(err)
	is.Equal(r.Header.Get("Woaddoor-Version"), "chat-large@1")
	is.Equal(f.Engines["dc1-engine-1"].RunCountOfVersion("chat-small@1")+f.Engines["dc1-engine-2"].RunCountOfVersion("chat-small@1"), small)
	is.True(f.Rating.RatedCount() <= rated+1) // at most the delivered answer is rated afterwards
}

// TestRulingWithSuspendedArbiters suspends one of three arbiters: the remaining
// two are a majority, so the ruling runs. With two suspended the claim is
// refused with outcome unknown.
func TestRulingWithSuspendedArbiters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 3, 0)
	first := newTicket(ctx, t, f.VMs[0])
	second := newTicket(ctx, t, f.VMs[0])
	f.VMs[1].Entry.Suspend()
	r, err := f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 10", "Woaddoor-Ticket", first)
	is.NoErr(err)
	is.Equal(r.Body, "done run 10")
	f.VMs[2].Entry.Suspend()
	r, err = f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 11", "Woaddoor-Ticket", second)
	is.NoErr(err)
	is.Equal(parseRefusal(t, r).Outcome, "unknown")
	is.Equal(f.Boards.RunCount("run 11"), 0)
	// After the arbiters resume, the same ticket still cannot run: their votes
	// went to the attempt that has already been refused.
	f.VMs[1].Entry.Resume()
	f.VMs[2].Entry.Resume()
	for _, vm := range f.VMs {
		r, err = vm.Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 11", "Woaddoor-Ticket", second)
		is.NoErr(err)
		is.True(r.Status != http.StatusOK)
	}
	is.Equal(f.Boards.RunCount("run 11"), 0)
}
