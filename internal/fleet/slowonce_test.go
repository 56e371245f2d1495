package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/internal/standin/engine"
)

// TestSlowOnceServesAgain has one of two engines answer slowly for a second: ten seconds
// after, it has served others since. Before, it got none any more once its first answers had
// been slow, for as long as the other had room.
func TestSlowOnceServesAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
	defer cancel()
	f, err := Start(&Options{
		Dir: t.TempDir(), BinDir: binDir, VMs: 2, Engines: 2, DataCentres: []contract.DataCentreID{"dc1"},
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-large@1"}, Prefill: 2 * time.Millisecond},
	})
	t.Cleanup(func() { f.end(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.Acquainted(ctx))
	is.NoErr(f.Serving(ctx, "chat-small"))
	slow := f.Engines["dc1-engine-1"]
	slow.SetFaults(engine.Faults{SlowFactor: 200})
	n := 0
	ask := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			n++
			r, err := f.VMs[n%2].Chat(ctx, KeyNorte, "chat-small", fmt.Sprint("hello ", n))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)
		}
	}
	ask(2 * time.Second)
	slow.SetFaults(engine.Faults{})
	before := slow.RunsOf("chat-small@1")
	ask(5 * time.Second)
	t.Logf("%d of %d after the slow ones", slow.RunsOf("chat-small@1")-before, n)
	is.True(slow.RunsOf("chat-small@1") > before)
}
