package crowd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/history"
	"woaddoor/internal/fleet"
	"woaddoor/internal/standin/engine"
)

// entrySettings lower the limits of woaddoor-entry: no more than 64 requests run and 64 wait.
const entrySettings = "max-body-bytes = 4194304\nmax-in-flight = 64\nmax-queue = 64\n"

// Sizes of the crowds at woaddoor-entry and woaddoor-control, and the descriptors that serve the limits of the
// settings: two for each request that may run or wait, and as many again for all else.
const (
	entryConnections   = 800
	controlDescriptors = 300
	entryDescriptors   = 600
)

// tokenTime is how long an engine takes for a token.
const tokenTime = 20 * time.Millisecond

const chatPath = "/v1/chat/completions"

// entryVM is a VM with woaddoor-entry and woaddoor-control under test.
type entryVM struct {
	*fleet.VM
	callers, entryHealth, controlHealth string
	entry, control                      *process
}

// startEntryVM starts a fleet of one VM with two engines.
func startEntryVM(t *testing.T) *entryVM {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	f, err := fleet.Start(&fleet.Options{
		WorkDir: dir, BinDir: binaries, VMs: 1, Engines: 2, DataCentres: []contract.DataCentreID{"dc1"}, EntrySettings: entrySettings,
		Engine: engine.Options{TokenTime: tokenTime, Versions: []contract.VersionID{"chat-small@1", "chat-small@2", "chat-large@1"}},
	})
	t.Cleanup(f.Stop)
	is.NoErr(err)
	base, err := history.Load(ctx, f.Operator().Store)
	is.NoErr(err)
	_, err = f.Operator().Apply(ctx, "site.ini", []byte(f.Config("")), int64(base.Root.Revision), history.ChangeInfo{Author: "test", Reason: "test", At: time.Now()})
	is.NoErr(err)
	is.NoErr(f.WaitUntilServing(ctx, "chat-small"))
	v := &entryVM{VM: f.VMs[0], callers: strings.TrimPrefix(f.VMs[0].APIURL, "http://"), entryHealth: strings.TrimPrefix(f.VMs[0].HealthURL, "http://")}
	v.controlHealth = controlHealth(t, dir)
	v.entry = watch(t, v.Entry.PID(), ended(v.Entry), v.callers, v.entryHealth)
	v.control = watch(t, v.Control.PID(), ended(v.Control), v.controlHealth)
	return v
}

// controlHealth returns the health address of the control process in the settings file in dir.
func controlHealth(t *testing.T, dir string) string {
	t.Helper()
	is := is.New(t)
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	is.NoErr(err)
	is.Equal(len(paths), 1)
	text, err := os.ReadFile(paths[0])
	is.NoErr(err)
	parsed, err := config.ParseINI(paths[0], text)
	is.NoErr(err)
	var faults config.Faults
	return config.NewReader(parsed, "control", &faults).Required("health", "an address")
}

// ended returns a channel that is closed when the process has ended.
func ended(p *fleet.Process) chan struct{} {
	done := make(chan struct{})
	go func() { <-p.Done(); close(done) }()
	return done
}

// check checks both processes, and that an ordinary request is answered, with as many tries as it takes.
func (v *entryVM) check(t *testing.T) {
	t.Helper()
	answered := false
	var last string
	for range 30 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := v.Chat(ctx, fleet.APIKeyMbio, "chat-small", "hello")
		cancel()
		if answered = err == nil && reply.Status == http.StatusOK; answered {
			break
		}
		last = fmt.Sprint(reply.Status, " ", err)
		time.Sleep(500 * time.Millisecond)
	}
	if !answered {
		t.Errorf("an ordinary request is not answered: %s", last)
	}
	v.entry.checkWithin(t, machineMemory, entryDescriptors)
	v.control.checkWithin(t, machineMemory, controlDescriptors)
}

// entryHead returns the head of a request of the crowd to woaddoor-entry.
func entryHead(lines ...string) string {
	all := append([]string{"POST " + chatPath + " HTTP/1.1", "Host: a", "Authorization: Bearer " + fleet.APIKeyNorte, "Woaddoor-Timeout: 30s"}, lines...)
	return strings.Join(all, "\r\n") + "\r\n"
}

// TestEntryBodiesShortOfTheEnd guards against bodies that woaddoor-entry holds without regard to their sum.
func TestEntryBodiesShortOfTheEnd(t *testing.T) {
	v := startEntryVM(t)
	body := chunkedBody()
	release(t, bodies, v.callers, func(m member) { m.send(entryHead("Transfer-Encoding: chunked") + "\r\n" + body) })
	v.check(t)
}

// TestEntryConnections guards against connections to woaddoor-entry without a limit, whose bodies do not end.
func TestEntryConnections(t *testing.T) {
	v := startEntryVM(t)
	release(t, entryConnections, v.callers, func(m member) { m.send(entryHead("Content-Length: 10") + "\r\n123456789") })
	v.check(t)
}

// TestEntryWholeBodies guards against requests that run at slow engines without regard to the sum of their bodies, of
// what is decoded from them, and of what is sent.
func TestEntryWholeBodies(t *testing.T) {
	v := startEntryVM(t)
	body := fleet.ChatBody("chat-small", strings.Repeat("a", maxBody-1024), 500, false)
	release(t, bodies, v.callers, func(m member) {
		m.send(entryHead(fmt.Sprint("Content-Length: ", len(body))) + "\r\n" + body)
	})
	v.check(t)
}

// TestEntryLongHeads guards against heads that never end and take many times their bytes once they are parsed.
func TestEntryLongHeads(t *testing.T) {
	v := startEntryVM(t)
	fields := shortFields(30 << 10)
	release(t, manyFields, v.callers, func(m member) { m.send(entryHead() + fields) })
	v.check(t)
}

// TestHealthPorts guards against connections to the health ports of woaddoor-entry and woaddoor-control that use up
// the descriptors.
func TestHealthPorts(t *testing.T) {
	v := startEntryVM(t)
	for _, address := range []string{v.entryHealth, v.controlHealth} {
		release(t, connections, address, func(m member) { m.send("GET /healthz HTTP/1.1\r\nHost: a\r\n") })
	}
	v.check(t)
}
