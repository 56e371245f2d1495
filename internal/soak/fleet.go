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

// Time limits and budgets, most of which are written to the settings of the VMs.
const (
	settleTime   = 3 * time.Second // how long a VM must be undisturbed before all guarantees apply to it
	gracePeriod  = 4 * time.Second
	retryRatio   = 0.02
	retrySlack   = 10.0
	retryWindow  = 10 * time.Second
	applyTimeout = 2 * time.Second
	// evacuationTimeout is how soon after its evacuation begins a data centre must receive no more
	// requests.
	evacuationTimeout = 3 * time.Second
	recoveryTime      = 12 * time.Second // how soon after the last fault requests must be served again
)

// Keys of the workspace: one stays valid, and one is revoked during the run.
const (
	keyKept    = "key-kept"
	keyRevoked = "key-revoked"
)

// fleet holds the real programs, the stand-ins, and the links between them.
type fleet struct {
	folder    string
	store     *objects.Store
	storeLink *proxy
	upstreams *upstreams
	vms       []*vm
	recorder  *recorder
	backups   backups
	// machineOf returns what the machine of a VM has; nil means that VMs are not limited.
	machineOf func(n int) machine
	// maxConnections is how many connections each upstream accepts; zero means the default of the deployment.
	maxConnections int
	versions       versionTracker

	// mu guards the fields below: the newest configuration, when the store last returned
	// from an older copy, and when all VMs were last killed.
	mu                      sync.Mutex
	configVersion           int
	workspaceKeys           []string
	returnedAt, killedAllAt time.Time
}

// vm is a woaddoor-vm process, which is restarted on the same addresses after each stop.
type vm struct {
	name, settingsPath           string
	dataCentre                   string
	callerLink                   *proxy // the link that callers connect through
	callerAddress                string // the VM's own address behind callerLink
	readyAddress, metricsAddress string

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// exemptUntil is the end of the time in which a fault exempts this VM from the time limits.
	exemptUntil time.Time
	terminating bool // the process has received SIGTERM
}

// newDeployment returns the configuration that the operator declares,
// with the given workspace keys.
func newDeployment(version int, keys ...string) objects.Deployment {
	return objects.Deployment{Version: version, Workspace: "w1", Keys: keys, MaxAttempts: 3}
}

// newFleet starts VMs, and twice as many upstreams spread over three data centres.
func newFleet(args arguments, rec *recorder) (*fleet, error) {
	f := &fleet{folder: args.Folder, store: objects.New(), recorder: rec, workspaceKeys: []string{keyKept, keyRevoked}}
	f.writeConfiguration()
	if err := f.startStore(); err != nil {
		return nil, err
	}
	f.upstreams = newUpstreams(f.store, rec, args.Seed)
	for n := range 2 * args.VMs {
		if err := f.upstreams.addPosition(dataCentre(n)); err != nil {
			return nil, err
		}
	}
	return f, f.startVMs(args.VMs)
}

// startStore serves the store behind a proxy.
func (f *fleet) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, f.store) }() // until the process ends
	f.storeLink, err = newProxy("127.0.0.1:0", listener.Addr().String())
	return err
}

func dataCentre(n int) string { return "d" + string(rune('a'+n%3)) }

// The ports of VMs are below the range from which the system picks ephemeral ports. Any connection
// could take such a port between the check that it is free and the start of the VM.
const (
	lowPort   = 12_000
	highPort  = 32_000
	portTries = 1000
)

// errNoPorts is returned when not enough free ports are found within portTries.
var errNoPorts = errors.New("not enough free ports on loopback")

// freeAddresses returns n loopback addresses that are free for both TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowPort+rand.IntN(highPort-lowPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken
		}
		defer l.Close()
		packetConn, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer packetConn.Close()
		addresses = append(addresses, address)
	}
	return nil, errNoPorts
}

// linkAddresses returns link addresses of n VMs with hosts of their own and one port. VMs take a seed to
// have their own port: with one host and different ports none has a seed, and VMs find each other by the
// store's list alone.
func linkAddresses(n int, port string) []string {
	var addresses []string
	for i := range n {
		addresses = append(addresses, net.JoinHostPort(fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200), port))
	}
	return addresses
}

func (f *fleet) startVMs(n int) error {
	const portsPerVM = 3 // callers, ready, metrics; the last port is for all links
	addresses, err := freeAddresses(portsPerVM*n + 1)
	if err != nil {
		return err
	}
	_, linkPort, _ := net.SplitHostPort(addresses[portsPerVM*n])
	links := linkAddresses(n, linkPort)
	seeds := links[:min(n, 3)]
	for i := range n {
		vmAddresses := addresses[portsPerVM*i : portsPerVM*(i+1)]
		_, metricsPort, _ := net.SplitHostPort(vmAddresses[2])
		v := &vm{name: fmt.Sprintf("vm%d", i), settingsPath: filepath.Join(f.folder, fmt.Sprintf("vm%d.ini", i)), dataCentre: dataCentre(i), callerAddress: vmAddresses[0], readyAddress: vmAddresses[1], metricsAddress: "127.0.0.1:" + metricsPort}
		ini := fmt.Sprintf("[vm]\nname = %s\ndata-centre = %s\n\n[listen]\ncallers = %s\nready = %s\nlinks = %s\nseeds = %s\nmetrics-port = %s\n\n"+
			"[store]\naddress = %s\n\n[bounds]\ngrace = %v\napply = %v\ndrain = %v\nevacuation = %v\nretry-ratio = %v\nretry-slack = %v\nretry-window = %v\ncanary-share = %v\n",
			v.name, dataCentre(i), vmAddresses[0], vmAddresses[1], links[i], strings.Join(seeds, ","), metricsPort, f.storeLink.address(), gracePeriod, applyTimeout, drainTimeout, evacuationTimeout, retryRatio, retrySlack, retryWindow, exposureShare)
		if f.machineOf != nil {
			ini += f.machineOf(i).settings()
		} else {
			ini += machineLimits()
		}
		if err := os.WriteFile(v.settingsPath, []byte(ini), 0o600); err != nil {
			return err
		}
		if v.callerLink, err = newProxy("127.0.0.1:0", vmAddresses[0]); err != nil {
			return err
		}
		if err := f.startVM(v); err != nil {
			return err
		}
		f.vms = append(f.vms, v)
	}
	return nil
}

// startVM starts a VM's process, which appends its output to the VM's log file.
func (f *fleet) startVM(v *vm) error {
	log, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join("bin", "woaddoor-vm"), "run", "--settings", v.settingsPath)
	command.Stdout, command.Stderr = log, log
	if f.machineOf != nil {
		command.Env = append(os.Environ(), "GOMAXPROCS=1") // a machine of the users has one core
	}
	if err := command.Start(); err != nil {
		return err
	}
	f.upstreams.notices.senders.setProcess(v.name, command.Process.Pid)
	f.upstreams.notices.startIncarnation(v.name)
	f.upstreams.notices.registerVM(v)
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited, v.terminating = command, exited, false
	v.mu.Unlock()
	go func() {
		_ = command.Wait() // the VM's log shows how it ended
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the VM's current process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.command.Process.Signal(s) // fails if it has already exited
}

// waitExit waits until the current process has exited.
func (v *vm) waitExit() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
}

// exempt exempts the VM from the time limits while a fault
// of the given duration lasts, and for settleTime after it.
func (v *vm) exempt(duration time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if until := time.Now().Add(duration + settleTime); until.After(v.exemptUntil) {
		v.exemptUntil = until
	}
}

// undisturbed reports that no fault currently exempts the VM from the time limits.
func (v *vm) undisturbed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().After(v.exemptUntil)
}

// isReady reports whether the VM's readiness check succeeds.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.readyAddress + replica.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop kills all VM processes.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.waitExit()
	}
}
