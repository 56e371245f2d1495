package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/control"
	"woaddoor/history"
	standin "woaddoor/internal/standin/store"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/protocol"
	"woaddoor/settings"
)

// controlFleet is a fleet of control processes' servers in this one process, over
// real links on loopback, with stand-ins for their entry processes.
type controlFleet struct {
	store    *standin.Store
	servers  []*control.Server
	entries  []*link.Endpoint
	settings []settings.Settings
	cancel   context.CancelFunc
	dir      string
}

// settle is how long a fleet runs before it is measured, and observe for how
// long it is.
const (
	settleDuration  = 8 * time.Second
	observeDuration = 12 * time.Second
)

func newControlFleet(ctx context.Context, dcs, vms int) (*controlFleet, error) {
	c := &controlFleet{store: standin.New()}
	var err error
	if c.dir, err = os.MkdirTemp("", "woaddoor-cores"); err != nil {
		return nil, err
	}
	var names []string
	var peers []settings.Peer
	for d := range dcs {
		for v := range vms {
			name := fmt.Sprintf("dc%d-%d", d, v)
			address := fmt.Sprintf("127.0.0.1:%d", firstPort+len(names))
			names = append(names, name)
			peers = append(peers, settings.Peer{VM: contract.VMID(name), DataCentre: contract.DataCentreID(fmt.Sprintf("dc%d", d)), EntryLink: address, ControlLink: address})
		}
	}
	if err := keys.Make(c.dir, names); err != nil {
		return nil, err
	}
	ctx, c.cancel = context.WithCancel(ctx)
	for i, name := range names {
		if err := c.addServer(ctx, name, peers, i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// firstPort begins the UDP ports of the cores.
const firstPort = 21_000 // below the range that systems give out

func (c *controlFleet) addServer(ctx context.Context, name string, peers []settings.Peer, i int) error {
	set, err := keys.Load(filepath.Join(c.dir, name+".pem"), filepath.Join(c.dir, keys.PinsFile), filepath.Join(c.dir, keys.SigningFile))
	if err != nil {
		return err
	}
	s := settings.Settings{VM: peers[i].VM, DataCentre: peers[i].DataCentre}
	s.Control = settings.Control{Health: "127.0.0.1:0", Link: peers[i].ControlLink, Advertise: peers[i].ControlLink, Watchers: 2, WatchWait: time.Second, FileEvery: time.Second}
	s.Entry.Link, s.Entry.Advertise = peers[i].EntryLink, peers[i].EntryLink
	for j, p := range peers {
		// A VM's settings name a few of each data centre, not the fleet.
		if j != i && (isLocalPeer(peers, i, j) || strings.HasSuffix(string(p.VM), "-0")) {
			s.Peers = append(s.Peers, p)
		}
	}
	view := c.store.View(name)
	server, err := control.New(&control.Options{Settings: &s, Keys: set, Clock: clock.NewSystem(), Log: logs.New(io.Discard), Store: view, VMs: view})
	if err != nil {
		return err
	}
	c.servers = append(c.servers, server)
	c.settings = append(c.settings, s)
	go func() { _ = server.Run(ctx) }()
	endpoint, err := link.Listen("127.0.0.1:0", set)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, endpoint)
	go c.simulateEntry(ctx, endpoint, &s)
	return nil
}

// isLocalPeer tells whether VM j is among the first four of VM i's data centre.
func isLocalPeer(peers []settings.Peer, i, j int) bool {
	rank := 0
	for k := range j {
		if peers[k].DataCentre == peers[i].DataCentre {
			rank++
		}
	}
	return peers[j].DataCentre == peers[i].DataCentre && rank < 4
}

// simulateEntry stands in for a VM's entry process: it pulls as one does.
func (c *controlFleet) simulateEntry(ctx context.Context, e *link.Endpoint, s *settings.Settings) {
	have := contract.Revision(0)
	for ctx.Err() == nil {
		got, err := link.Call[protocol.PullRequest, protocol.PullAnswer](ctx, e, s.Control.Link, link.KindPull, protocol.PullRequest{
			Have: have, Wait: 500 * time.Millisecond,
			Entry: &protocol.EntryState{Incarnation: 1, Link: s.Entry.Link, Revision: have},
		})
		if err == nil && got.Patch != nil {
			have = got.Patch.To
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *controlFleet) stop() {
	c.cancel()
	for _, e := range c.entries {
		_ = e.Close()
	}
	time.Sleep(time.Second)
	os.RemoveAll(c.dir)
}

// trafficBytes returns the bytes of messages that each control server has sent and
// received.
func (c *controlFleet) trafficBytes() []int64 {
	bytes := make([]int64, len(c.servers))
	for i, s := range c.servers {
		sent, received := s.Traffic()
		bytes[i] = sent + received
	}
	return bytes
}

// trafficGrowth returns the mean growth of bytes a VM, and the largest.
func trafficGrowth(a, b []int64) (mean, most float64) {
	for i := range a {
		mean += float64(b[i]-a[i]) / float64(len(a))
		most = max(most, float64(b[i]-a[i]))
	}
	return mean, most
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapAndStackMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
}

const configTemplate = "[workspace w]\nkey-hash = 0000000000000000000000000000000000000000000000000000000000000000\nallow = m@1\n\n[model m]\nserve = m@1\n\n[version m@1]\nserve-without-word = %ds\n"

// applyChange makes a change and returns how long it took until every control server
// held it.
func (c *controlFleet) applyChange(ctx context.Context, n int) (time.Duration, error) {
	op := c.operator()
	base, err := history.Load(ctx, op.Store)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	root, err := op.Apply(ctx, "site.ini", fmt.Appendf(nil, configTemplate, 30+n), int64(base.Root.Revision), history.Author{Who: "bench", Why: "bench", At: began})
	if err != nil {
		return 0, err
	}
	for _, s := range c.servers {
		for s.Revision() < root.Revision {
			if time.Since(began) > time.Minute {
				return 0, fmt.Errorf("revision %d not everywhere after a minute", root.Revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// changesPerSize is how many changes are made at each size.
const changesPerSize = 10

// measureControl measures the control's cost at several sizes of the fleet.
func measureControl(ctx context.Context, _ string) error {
	fmt.Printf("### Control, by the size of the fleet\n\nControl servers in one process, over real links, at rest for %v; processor time includes both ends of each link and the stand-ins for entry processes; heap holds all of them.\n\n", observeDuration)
	fmt.Printf("| data centres x VMs | processor, %% of a core a VM | message bytes/s a VM | of the busiest VM | heap and stacks a VM, MiB | platform calls/s: reads | watches | lists | writes | change everywhere, median | longest | platform calls a change |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, size := range [][2]int{{3, 2}, {4, 6}, {8, 6}, {8, 12}, {16, 12}, {8, 25}} {
		if err := measureControlSize(ctx, size[0], size[1]); err != nil {
			return err
		}
	}
	fmt.Println()
	return nil
}

func measureControlSize(ctx context.Context, dcs, vms int) error {
	c, err := newControlFleet(ctx, dcs, vms)
	if err != nil {
		return err
	}
	defer c.stop()
	if _, err := c.applyChange(ctx, 0); err != nil {
		return err
	}
	time.Sleep(settleDuration)
	n := float64(dcs * vms)
	cpu0, bytes0, calls0, began := processCPU(), c.trafficBytes(), c.store.Counts(), time.Now()
	time.Sleep(observeDuration)
	seconds := time.Since(began).Seconds()
	cpu1, bytes1, calls1 := processCPU(), c.trafficBytes(), c.store.Counts()
	var took []time.Duration
	for i := range changesPerSize {
		d, err := c.applyChange(ctx, i+1)
		if err != nil {
			return err
		}
		took = append(took, d)
		time.Sleep(time.Second)
	}
	calls2 := c.store.Counts()
	mean, most := trafficGrowth(bytes0, bytes1)
	rest := ratesBetween(calls0, calls1, seconds)
	// What changes cost beyond the calls at rest, which go on meanwhile.
	busy := callsBetween(calls1, calls2) - rest.total*(float64(changesPerSize)+totalDuration(took).Seconds())
	fmt.Printf("| %d x %d | %.2f | %.0f | %.0f | %.2f | %.1f | %.1f | %.1f | %.2f | %v | %v | %.1f |\n", dcs, vms,
		100*(cpu1-cpu0).Seconds()/seconds/n, mean/seconds, most/seconds, heapAndStackMiB()/n,
		rest.reads, rest.watches, rest.lists, rest.writes, median(took).Round(time.Millisecond), quantile(took, 1).Round(time.Millisecond), busy/changesPerSize)
	return nil
}

func totalDuration(d []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, x := range d {
		total += x
	}
	return total
}

type callRates struct{ reads, watches, lists, writes, total float64 }

func ratesBetween(a, b standin.Counts, seconds float64) callRates {
	return callRates{
		float64(b.Reads-a.Reads) / seconds, float64(b.Watches-a.Watches) / seconds, float64(b.Lists-a.Lists) / seconds,
		float64(b.Writes-a.Writes) / seconds, callsBetween(a, b) / seconds,
	}
}

func callsBetween(a, b standin.Counts) float64 {
	return float64(b.Reads - a.Reads + b.Watches - a.Watches + b.Lists - a.Lists + b.Writes - a.Writes)
}
