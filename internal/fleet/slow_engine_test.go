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

// TestEngineRecoversFromSlowness makes one of two engines 200 times slower for 2 seconds
// and checks that it serves requests again in the next 5 seconds. It guards against a fault
// in which an engine whose first answers were slow got no more requests as long as the other
// engine had free slots.
func TestEngineRecoversFromSlowness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	defer cancel()
	f, err := Start(&Options{
		WorkDir: t.TempDir(), BinDir: binDir, VMs: 2, Engines: 2, DataCentres: []contract.DataCentreID{"dc1"},
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-large@1"}, PrefillTime: 2 * time.Millisecond},
	})
	t.Cleanup(func() { f.stopAndCheckLogs(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.WaitForPeers(ctx))
	is.NoErr(f.WaitUntilServing(ctx, "chat-small"))
	slow := f.Engines["dc1-engine-1"]
	slow.SetFaults(engine.Faults{SlowFactor: 200})
	n := 0
	sendChats := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			n++
			r, err := f.VMs[n%2].Chat(ctx, APIKeyNorte, "chat-small", fmt.Sprint("hello ", n))
			is.NoErr(err)
			is.Equal(r.Status, http.StatusOK)
		}
	}
	sendChats(2 * time.Second)
	slow.SetFaults(engine.Faults{})
	before := slow.RunCountOfVersion("chat-small@1")
	sendChats(5 * time.Second)
	t.Logf("the engine served %d requests after it recovered; %d were sent in total", slow.RunCountOfVersion("chat-small@1")-before, n)
	is.True(slow.RunCountOfVersion("chat-small@1") > before)
}
