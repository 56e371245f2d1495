// Package fleet starts the real programs on loopback, with in-process stand-ins
// for the platform, the engines and the services. Tests and measurements use it
// to kill real processes and to interrupt their network links.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/internal/standin/engine"
	"woaddoor/internal/standin/rating"
	"woaddoor/internal/standin/service"
	standin "woaddoor/internal/standin/store"
	"woaddoor/internal/standin/wire"
	"woaddoor/keys"
	"woaddoor/operator"
	"woaddoor/store"
)

// Options configure a Fleet.
type Options struct {
	// WorkDir is where settings, keys and logs are written; BinDir holds the compiled programs.
	WorkDir, BinDir string
	// DataCentres lists the names of the data centres. Each gets VMs virtual
	// machines and Engines engines.
	DataCentres []contract.DataCentreID
	VMs         int
	Engines     int
	// Engine is the configuration of every engine.
	Engine engine.Options
	// ListedPeers is the number of VMs listed in the [peers] section of each
	// settings file; zero means all.
	ListedPeers int
	// EntrySettings holds extra lines for the [entry] section of the settings.
	EntrySettings string
}

// Fleet is a set of running VMs with the stand-ins that they depend on.
type Fleet struct {
	opts     *Options
	Platform *standin.Store
	// OperatorURL is the platform's address for the operator's commands.
	OperatorURL string
	// Net carries the messages between the VMs and can block them.
	Net     *wire.Net
	VMs     []*VM
	Engines map[contract.UpstreamID]*engine.Engine
	Boards  *service.Service
	Rating  *rating.Service
	urls    map[contract.UpstreamID]string // base URLs of the engines and the services
	servers []*http.Server                 // HTTP servers of the stand-ins
}

// VM is one virtual machine: an entry process and a control process.
type VM struct {
	Name       contract.VMID
	DataCentre contract.DataCentreID
	APIURL     string // URL for API requests
	HealthURL  string // URL of the entry process's health and status pages
	Entry      *Process
	Control    *Process
	settings   string // path of the settings file
}

// API keys of the workspaces norte and mbio.
const (
	APIKeyNorte = "key-norte"
	APIKeyMbio  = "key-mbio"
)

// IDs of the service upstreams that every fleet has.
const (
	BoardsUpstream = contract.UpstreamID("boards-1")
	RatingUpstream = contract.UpstreamID("rating-1")
)

// RaceVariable is an environment variable. When it is set, Build compiles the
// programs with the race detector.
const RaceVariable = "WOADDOOR_RACE"

// Build compiles the programs of the module into dir.
func Build(ctx context.Context, dir string) error {
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv(RaceVariable) != "" {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "woaddoor/cmd/...")...)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// Start starts the stand-ins and the programs. Call Stop on the returned fleet
// even after an error: some processes may already be running.
func Start(opts *Options) (*Fleet, error) {
	f := &Fleet{
		opts: opts, Platform: standin.New(), Net: wire.New(), Boards: service.New(), Rating: rating.New(),
		Engines: make(map[contract.UpstreamID]*engine.Engine), urls: make(map[contract.UpstreamID]string),
	}
	if err := f.startStandIns(); err != nil {
		return f, err
	}
	if err := f.createVMs(); err != nil {
		return f, err
	}
	for _, vm := range f.VMs {
		if err := f.StartVM(vm); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serve serves h on a free loopback port until Stop, and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: nil}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// startStandIns starts the platform, the engines and the services, and records their URLs.
func (f *Fleet) startStandIns() error {
	var err error
	if f.OperatorURL, err = f.serve(f.Platform.View("operator").Handler()); err != nil {
		return err
	}
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.Engines {
			id := contract.UpstreamID(fmt.Sprintf("%s-engine-%d", dc, i+1))
			f.Engines[id] = engine.New(f.opts.Engine)
			if f.urls[id], err = f.serve(f.Engines[id].Handler()); err != nil {
				return err
			}
		}
	}
	if f.urls[BoardsUpstream], err = f.serve(f.Boards.Handler()); err != nil {
		return err
	}
	f.urls[RatingUpstream], err = f.serve(f.Rating.Handler())
	return err
}

// Ports are allocated from a range below the system's ephemeral ports, starting
// at a position derived from the process ID. Otherwise another fleet or an outgoing
// connection could take a port after the port is chosen and before its program starts.
// The range ends before endPort.
const (
	firstPort = 10_000
	endPort   = 20_000
)

// portCursor holds the offset from firstPort of the port that was tried last.
var portCursor = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * 131 % (endPort - firstPort)}

// allocateAddress returns a loopback address on which nothing currently listens.
func allocateAddress(network string) (string, error) {
	portCursor.Lock()
	defer portCursor.Unlock()
	for range endPort - firstPort {
		portCursor.next = (portCursor.next + 1) % (endPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portCursor.next)
		if canListen(network, address) {
			return address, nil
		}
	}
	return "", errors.New("no free port on loopback")
}

// canListen reports whether address is free.
func canListen(network, address string) bool {
	if network == "udp" {
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// EngineURL returns the base URL of an engine.
func (f *Fleet) EngineURL(id contract.UpstreamID) string { return f.urls[id] }

// Operator returns an operator client connected to the fleet's platform.
func (f *Fleet) Operator() *operator.Operator {
	client := store.NewClient(&store.Options{URL: f.OperatorURL})
	return &operator.Operator{Store: client, VMs: client, Now: time.Now}
}

// StartVM starts both processes of a VM. It also restarts a VM whose processes have ended.
func (f *Fleet) StartVM(vm *VM) error {
	if err := f.StartControl(vm); err != nil {
		return err
	}
	return f.StartEntry(vm)
}

// StartEntry starts a VM's entry process.
func (f *Fleet) StartEntry(vm *VM) error {
	p, err := f.startProcess("woaddoor-entry", vm)
	vm.Entry = p
	return err
}

// StartControl starts a VM's control process.
func (f *Fleet) StartControl(vm *VM) error {
	p, err := f.startProcess("woaddoor-control", vm)
	vm.Control = p
	return err
}

// LogFile returns the path of the log file of one of a VM's programs.
func (f *Fleet) LogFile(program string, vm *VM) string {
	return filepath.Join(f.opts.WorkDir, string(vm.Name)+"-"+program+".log")
}

// CutFromPeers blocks the links between data centre dc and all other data centres when
// cut is true, and restores these links when cut is false.
func (f *Fleet) CutFromPeers(dc contract.DataCentreID, cut bool) {
	for _, a := range f.VMs {
		for _, b := range f.VMs {
			if a.DataCentre == dc && b.DataCentre != dc {
				f.Net.SetDisconnected(string(a.Name), string(b.Name), cut)
			}
		}
	}
}

// CutFromPlatform blocks the platform for the VMs of a data centre when cut is
// true, and restores access when cut is false.
func (f *Fleet) CutFromPlatform(dc contract.DataCentreID, cut bool) {
	for _, vm := range f.VMs {
		if vm.DataCentre == dc {
			f.Platform.SetDisconnected(string(vm.Name), cut)
		}
	}
}

// Stop kills every process and closes every stand-in.
func (f *Fleet) Stop() {
	for _, vm := range f.VMs {
		for _, p := range []*Process{vm.Entry, vm.Control} {
			if p != nil {
				p.Kill()
			}
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// generateKeys generates the key files of all VMs.
func (f *Fleet) generateKeys(names []string) error {
	return keys.GenerateFiles(filepath.Join(f.opts.WorkDir, "keys"), names)
}
