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

// controlFleet runs the control servers of a fleet in this process. They communicate over
// real links on loopback. Stand-ins replace their entry processes and the platform.
type controlFleet struct {
	store    *standin.Store
	servers  []*control.Server
	entries  []*link.Endpoint // of the stand-in entry processes
	settings []settings.Settings
	cancel   context.CancelFunc
	dir      string // holds the keys
}

// A fleet runs for settleDuration before it is measured for observeDuration.
const (
	settleDuration  = 8 * time.Second
	observeDuration = 12 * time.Second
)

// newControlFleet starts a control server and a stand-in entry process for each of vms VMs
// in each of dcs data centres.
func newControlFleet(ctx context.Context, dcs, vms int) (*controlFleet, error) {
	c := &controlFleet{store: standin.New()}
	var err error
	if c.dir, err = os.MkdirTemp("", "woaddoor-cores"); err != nil {
		return nil, err
	}
	var names []string
	var peers []settings.Peer
	for dc := range dcs {
		for vm := range vms {
			name := fmt.Sprintf("dc%d-%d", dc, vm)
			address := fmt.Sprintf("127.0.0.1:%d", firstPort+len(names))
			names = append(names, name)
			peers = append(peers, settings.Peer{VM: contract.VMID(name), DataCentre: contract.DataCentreID(fmt.Sprintf("dc%d", dc)), EntryLink: address, ControlLink: address})
		}
	}
	if err := keys.GenerateFiles(c.dir, names); err != nil {
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

// firstPort is the first UDP port of the control servers' links.
// It is below the range of ephemeral ports.
const firstPort = 21_000

// addServer starts the control server of VM i and its stand-in entry process.
func (c *controlFleet) addServer(ctx context.Context, name string, peers []settings.Peer, i int) error {
	vmKeys, err := keys.Load(filepath.Join(c.dir, name+".pem"), filepath.Join(c.dir, keys.PinsFile), filepath.Join(c.dir, keys.SigningFile))
	if err != nil {
		return err
	}
	vmSettings := settings.Settings{VM: peers[i].VM, DataCentre: peers[i].DataCentre}
	vmSettings.Control = settings.Control{Health: "127.0.0.1:0", LinkAddress: peers[i].ControlLink, AdvertisedLink: peers[i].ControlLink, Watchers: 2, WatchWait: time.Second, BillFilingInterval: time.Second}
	vmSettings.Entry.LinkAddress, vmSettings.Entry.AdvertisedLink = peers[i].EntryLink, peers[i].EntryLink
	for j, p := range peers {
		// The settings list the first four VMs of the VM's own data centre and the first
		// VM of every other data centre. Real settings too list a few VMs instead of the
		// whole fleet.
		if j != i && (isLocalPeer(peers, i, j) || strings.HasSuffix(string(p.VM), "-0")) {
			vmSettings.Peers = append(vmSettings.Peers, p)
		}
	}
	view := c.store.View(name)
	server, err := control.New(&control.Options{Settings: &vmSettings, Keys: vmKeys, Clock: clock.NewSystem(), Log: logs.New(io.Discard), Store: view, VMs: view})
	if err != nil {
		return err
	}
	c.servers = append(c.servers, server)
	c.settings = append(c.settings, vmSettings)
	go func() { _ = server.Run(ctx) }()
	endpoint, err := link.Listen("127.0.0.1:0", vmKeys)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, endpoint)
	go c.simulateEntry(ctx, endpoint, &vmSettings)
	return nil
}

// isLocalPeer reports whether VM j is among the first four VMs of VM i's data centre.
func isLocalPeer(peers []settings.Peer, i, j int) bool {
	localRank := 0
	for k := range j {
		if peers[k].DataCentre == peers[i].DataCentre {
			localRank++
		}
	}
	return peers[j].DataCentre == peers[i].DataCentre && localRank < 4
}

// simulateEntry pulls configurations from the control server as an entry process does.
func (c *controlFleet) simulateEntry(ctx context.Context, endpoint *link.Endpoint, vmSettings *settings.Settings) {
	revision := contract.Revision(0)
	for ctx.Err() == nil {
		answer, err := link.Call[protocol.PullRequest, protocol.PullResponse](ctx, endpoint, vmSettings.Control.LinkAddress, link.KindPullConfig, protocol.PullRequest{
			HeldRevision: revision, MaxWait: 500 * time.Millisecond,
			Entry: &protocol.EntryState{Incarnation: 1, Address: vmSettings.Entry.LinkAddress, Revision: revision},
		})
		if err == nil && answer.Patch != nil {
			revision = answer.Patch.To
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stop closes the links and deletes the keys. It waits a second for the servers to end.
func (c *controlFleet) stop() {
	c.cancel()
	for _, e := range c.entries {
		_ = e.Close()
	}
	time.Sleep(time.Second)
	os.RemoveAll(c.dir)
}

// trafficBytes returns, for each control server, the bytes of messages sent and received.
func (c *controlFleet) trafficBytes() []int64 {
	bytes := make([]int64, len(c.servers))
	for i, s := range c.servers {
		sent, received := s.Traffic()
		bytes[i] = sent + received
	}
	return bytes
}

// trafficGrowth returns the mean and the largest increase of a control server's bytes
// between a and b, two results of trafficBytes.
func trafficGrowth(a, b []int64) (mean, largest float64) {
	for i := range a {
		mean += float64(b[i]-a[i]) / float64(len(a))
		largest = max(largest, float64(b[i]-a[i]))
	}
	return mean, largest
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapAndStackMiB returns the memory in use by heap and stacks after a garbage collection.
func heapAndStackMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
}

// configTemplate is a configuration. Each change of the configuration sets another number of
// seconds for which a VM may serve the version without a recent configuration (serve-without-word).
const configTemplate = "[workspace w]\nkey-hash = 0000000000000000000000000000000000000000000000000000000000000000\nallow = m@1\n\n[model m]\nserve = m@1\n\n[version m@1]\nserve-without-word = %ds\n"

// applyChange makes the n-th change of the configuration and returns the time until every
// control server has the changed configuration.
func (c *controlFleet) applyChange(ctx context.Context, n int) (time.Duration, error) {
	op := c.operator()
	base, err := history.Load(ctx, op.Store)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	root, err := op.Apply(ctx, "site.ini", fmt.Appendf(nil, configTemplate, 30+n), int64(base.Root.Revision), history.ChangeInfo{Author: "bench", Reason: "bench", At: began})
	if err != nil {
		return 0, err
	}
	for _, s := range c.servers {
		for s.Revision() < root.Revision {
			if time.Since(began) > time.Minute {
				return 0, fmt.Errorf("revision %d has not reached every control server after a minute", root.Revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// changesPerSize is the number of changes made at each size of the fleet.
const changesPerSize = 10

// measureControl measures the cost of the control servers at several sizes of the fleet.
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

// measureControlSize measures one size of the fleet and prints its table row.
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
	var changeTimes []time.Duration
	for i := range changesPerSize {
		d, err := c.applyChange(ctx, i+1)
		if err != nil {
			return err
		}
		changeTimes = append(changeTimes, d)
		time.Sleep(time.Second)
	}
	calls2 := c.store.Counts()
	mean, largest := trafficGrowth(bytes0, bytes1)
	idleRates := ratesBetween(calls0, calls1, seconds)
	// Calls in excess of the rate of an idle fleet are caused by the configuration changes.
	changeCalls := callsBetween(calls1, calls2) - idleRates.total*(float64(changesPerSize)+totalDuration(changeTimes).Seconds())
	fmt.Printf("| %d x %d | %.2f | %.0f | %.0f | %.2f | %.1f | %.1f | %.1f | %.2f | %v | %v | %.1f |\n", dcs, vms,
		100*(cpu1-cpu0).Seconds()/seconds/n, mean/seconds, largest/seconds, heapAndStackMiB()/n,
		idleRates.reads, idleRates.watches, idleRates.lists, idleRates.writes, median(changeTimes).Round(time.Millisecond), quantile(changeTimes, 1).Round(time.Millisecond), changeCalls/changesPerSize)
	return nil
}

// totalDuration returns the sum of d.
func totalDuration(d []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, x := range d {
		total += x
	}
	return total
}

// callRates holds the calls to the platform per second, by kind of call.
type callRates struct{ reads, watches, lists, writes, total float64 }

// ratesBetween returns the rates of calls between two counts that were taken seconds apart.
func ratesBetween(a, b standin.Counts, seconds float64) callRates {
	return callRates{
		float64(b.Reads-a.Reads) / seconds, float64(b.Watches-a.Watches) / seconds, float64(b.Lists-a.Lists) / seconds,
		float64(b.Writes-a.Writes) / seconds, callsBetween(a, b) / seconds,
	}
}

// callsBetween returns the number of calls between two counts.
func callsBetween(a, b standin.Counts) float64 {
	return float64(b.Reads - a.Reads + b.Watches - a.Watches + b.Lists - a.Lists + b.Writes - a.Writes)
}
