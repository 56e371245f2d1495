package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// Bounds that the fleet's settings state.
const (
	contact      = 3 * time.Second // how long a VM is in reach until all bounds hold
	grace        = 4 * time.Second
	retryRatio   = 0.02
	retrySlack   = 10.0
	budgetWindow = 10 * time.Second
	applyWithin  = 2 * time.Second
	// evacuateWithin is how soon a data centre that is evacuated gets nothing more.
	evacuateWithin = 3 * time.Second
	recoverIn      = 12 * time.Second
)

// Keys of the workspace: one that it keeps, and one that is taken away.
const (
	keyKept    = "key-kept"
	keyRevoked = "key-revoked"
)

// fleet is the real programs, the stand-ins, and the links between them.
type fleet struct {
	folder    string
	store     *objects.Store
	storeLink *proxy
	upstreams *upstreams
	vms       []*vm
	tally     *tally

	// mu guards the fields below: the newest configuration.
	mu      sync.Mutex
	version int
	keys    []string
}

// vm is one woaddoor-vm, which is started again under its addresses.
type vm struct {
	name, settings string
	callers        *proxy // the link from callers
	ready, metrics string

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// trouble is until when a fault of this VM excuses what takes time.
	trouble time.Time
	stopped bool // on purpose, by SIGTERM
}

// deployment is what the operator declares, with keys of the workspace.
func deployment(version int, keys ...string) objects.Service {
	return objects.Service{Version: version, Workspace: "w1", Keys: keys, Attempts: 3}
}

// newFleet starts vms VMs and twice as many upstreams in three data centres.
func newFleet(folder string, vms int, seed uint64, t *tally) (*fleet, error) {
	f := &fleet{folder: folder, store: objects.New(), tally: t, keys: []string{keyKept, keyRevoked}}
	f.configure()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, f.store) }() // until the process ends
	if f.storeLink, err = newProxy("127.0.0.1:0", listener.Addr().String()); err != nil {
		return nil, err
	}
	f.upstreams = newUpstreams(f.store, t, seed)
	for n := range 2 * vms {
		if err := f.upstreams.start(dataCentre(n)); err != nil {
			return nil, err
		}
	}
	return f, f.startVMs(vms)
}

func dataCentre(n int) string { return "d" + string(rune('a'+n%3)) }

// Ports of VMs are below those that the system gives to connections of its own choice: one
// that was free a moment ago could be taken by any connection before the VM has it.
const (
	lowPort   = 12_000
	highPort  = 32_000
	portTries = 1000
)

// errNoPorts means that no free ports were found.
var errNoPorts = errors.New("no free ports on loopback")

// free returns n addresses on loopback that are free for TCP and UDP.
func free(n int) ([]string, error) {
	var out []string
	for range portTries {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowPort+rand.IntN(highPort-lowPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken
		}
		defer l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer u.Close()
		out = append(out, address)
	}
	return nil, errNoPorts
}

func (f *fleet) startVMs(n int) error {
	const each = 4 // callers, ready, links, metrics
	addresses, err := free(each * n)
	if err != nil {
		return err
	}
	var seeds []string
	for k := range min(n, 3) {
		seeds = append(seeds, addresses[each*k+2])
	}
	for k := range n {
		a := addresses[each*k : each*k+each]
		_, metricsPort, _ := net.SplitHostPort(a[3])
		v := &vm{name: fmt.Sprintf("vm%d", k), settings: filepath.Join(f.folder, fmt.Sprintf("vm%d.ini", k)), ready: a[1], metrics: "127.0.0.1:" + metricsPort}
		text := fmt.Sprintf("[vm]\nname = %s\ndata-centre = %s\n\n[listen]\ncallers = %s\nready = %s\nlinks = %s\nseeds = %s\nmetrics-port = %s\n\n"+
			"[store]\naddress = %s\n\n[bounds]\ngrace = %v\napply = %v\ndrain = %v\nevacuation = %v\nretry-ratio = %v\nretry-slack = %v\nretry-window = %v\n",
			v.name, dataCentre(k), a[0], a[1], a[2], strings.Join(seeds, ","), metricsPort, f.storeLink.address(), grace, applyWithin, drainWithin, evacuateWithin, retryRatio, retrySlack, budgetWindow)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if v.callers, err = newProxy("127.0.0.1:0", a[0]); err != nil {
			return err
		}
		if err := f.startVM(v); err != nil {
			return err
		}
		f.vms = append(f.vms, v)
	}
	return nil
}

// startVM starts the process of a VM; its lines are added to its log.
func (f *fleet) startVM(v *vm) error {
	log, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join("bin", "woaddoor-vm"), "run", "--settings", v.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	f.upstreams.words.begins(v.name)
	f.upstreams.words.knows(v)
	ended := make(chan struct{})
	v.mu.Lock()
	v.command, v.ended, v.stopped = c, ended, false
	v.mu.Unlock()
	go func() {
		_ = c.Wait() // how it ended is told by its log
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the VM's present process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.command.Process.Signal(s) // it may have ended
}

// awaitEnd waits until the present process has ended.
func (v *vm) awaitEnd() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	<-ended
}

// troubled notes that a fault of the VM excuses what takes time, until contact after it
// has ended.
func (v *vm) troubled(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if until := time.Now().Add(d + contact); until.After(v.trouble) {
		v.trouble = until
	}
}

// inReach tells whether no fault of the VM excuses anything.
func (v *vm) inReach() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().After(v.trouble)
}

// isReady tells whether the VM takes connections, as a balancer asks.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + replica.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all that was started.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.awaitEnd()
	}
}
