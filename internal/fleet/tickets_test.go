package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/internal/standin/service"
)

// rulingPath is the non-repeatable call of the boards service: a ruling must run
// at most once.
const rulingPath = "/services/boards/rulings"

// newTicket asks a VM for a ticket.
func newTicket(ctx context.Context, t *testing.T, vm *VM) string {
	t.Helper()
	r, err := vm.Call(ctx, APIKeyMbio, http.MethodPost, "/v1/tickets", "")
	is.New(t).NoErr(err)
	return r.Header.Get("Woaddoor-Ticket")
}

// TestRulingRunsOnce kills the first VM while the service works on a ruling.
// Retries on the other VMs, in either data centre, do not run it again and
// report its outcome as unknown.
func TestRulingRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 2, 2, 0)
	r, err := f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 7: valid")
	is.NoErr(err)
	is.Equal(parseRefusal(t, r), refusal{string(contract.RefusedTicketNeeded), "not run"})
	ticket := r.Header.Get("Woaddoor-Ticket")
	is.True(ticket != "")
	f.Boards.SetFaults(service.Faults{Delay: time.Second})
	go func() {
		_, _ = f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 7: valid", "Woaddoor-Ticket", ticket)
	}()
	waitUntil(ctx, t, "the service has started the ruling", func() bool { return f.Boards.RunCount("run 7: valid") == 1 })
	f.VMs[0].Entry.Kill()
	for _, vm := range f.VMs[1:] {
		r, err := vm.Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 7: valid", "Woaddoor-Ticket", ticket)
		is.NoErr(err)
		is.Equal(parseRefusal(t, r), refusal{string(contract.RefusedTicketClaimed), "unknown"})
	}
	is.Equal(f.Boards.RunCount("run 7: valid"), 1)
}

// TestRulingAnswerReplayed kills the VM that has answered a ruling and retries on
// another VM, as a caller does whose answer was lost. The retry gets the recorded
// answer, and the ruling does not run again.
func TestRulingAnswerReplayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 3, 0)
	ticket := newTicket(ctx, t, f.VMs[0])
	r, err := f.VMs[0].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 8", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(r.Body, "done run 8")
	f.VMs[0].Entry.Kill()
	r, err = f.VMs[1].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 8", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(r.Body, "done run 8")
	is.Equal(r.Header.Get("Woaddoor-Replayed"), "yes")
	is.Equal(f.Boards.RunCount("run 8"), 1)
}

// TestTicketOfKilledVMNeverRuns kills the VM that issued a ticket before the ticket
// is used. A surviving VM refuses the ticket, so that its ruling never runs.
func TestTicketOfKilledVMNeverRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 0)
	ticket := newTicket(ctx, t, f.VMs[0])
	f.VMs[0].Entry.Kill()
	r, err := f.VMs[1].Call(ctx, APIKeyMbio, http.MethodPost, rulingPath, "run 9", "Woaddoor-Ticket", ticket)
	is.NoErr(err)
	is.Equal(parseRefusal(t, r).Type, string(contract.RefusedTicketClaimed)) // VM 1 voted for its own claim, and VM 0 cannot vote: no majority
	is.Equal(f.Boards.RunCount("run 9"), 0)
}
