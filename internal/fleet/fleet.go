// Package fleet runs the real programs on loopback, with stand-ins for what is
// outside: for trials and for tests with real kills and cuts.
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

// Options set up a Fleet.
type Options struct {
	// Dir takes settings, keys and logs; BinDir holds the programs.
	Dir, BinDir string
	// DataCentres are named; each gets VMs and Engines.
	DataCentres []contract.DataCentreID
	VMs         int
	Engines     int
	// Engine sets up each engine.
	Engine engine.Options
	// Peers is how many VMs the settings name; zero means all.
	Peers int
	// Entry holds further lines for the [entry] section of the settings.
	Entry string
}

// Fleet is a running fleet.
type Fleet struct {
	opts     *Options
	Platform *standin.Store
	// OperatorURL is the platform as the operator reaches it.
	OperatorURL string
	Net         *wire.Net
	VMs         []*VM
	Engines     map[contract.UpstreamID]*engine.Engine
	Boards      *service.Service
	Rating      *rating.Service
	urls        map[contract.UpstreamID]string
	servers     []*http.Server
}

// VM is one VM with its two processes.
type VM struct {
	Name       contract.VMID
	DataCentre contract.DataCentreID
	Callers    string // URL
	Health     string // URL of the entry process's health
	Entry      *Process
	Control    *Process
	settings   string
}

// Keys of the fleet's two workspaces.
const (
	KeyNorte = "key-norte"
	KeyMbio  = "key-mbio"
)

// Names of upstreams that every fleet has.
const (
	BoardsUpstream = contract.UpstreamID("boards-1")
	RatingUpstream = contract.UpstreamID("rating-1")
)

// RaceVariable is the environment variable that, when set, has Build compile
// the programs with the race detector.
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

// Start starts the stand-ins and the programs. Stop ends them.
func Start(opts *Options) (*Fleet, error) {
	f := &Fleet{
		opts: opts, Platform: standin.New(), Net: wire.New(), Boards: service.New(), Rating: rating.New(),
		Engines: make(map[contract.UpstreamID]*engine.Engine), urls: make(map[contract.UpstreamID]string),
	}
	if err := f.startStandIns(); err != nil {
		return f, err
	}
	if err := f.layOut(); err != nil {
		return f, err
	}
	for _, vm := range f.VMs {
		if err := f.StartVM(vm); err != nil {
			return f, err
		}
	}
	return f, nil
}

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

// Ports are given out from a range below that of the system, in an order that
// depends on the process, so that neither another fleet nor an outgoing
// connection takes one between its choice and the start of its program.
const (
	portsFrom = 10_000
	portsTo   = 20_000
)

var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * 131 % (portsTo - portsFrom)}

// freeAddress returns a loopback address that nothing listens at just now.
func freeAddress(network string) (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range portsTo - portsFrom {
		ports.next = (ports.next + 1) % (portsTo - portsFrom)
		address := fmt.Sprintf("127.0.0.1:%d", portsFrom+ports.next)
		if free(network, address) {
			return address, nil
		}
	}
	return "", errors.New("no free port on loopback")
}

func free(network, address string) bool {
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

// EngineURL returns the address of an engine.
func (f *Fleet) EngineURL(id contract.UpstreamID) string { return f.urls[id] }

// Operator returns an operator of the fleet's platform.
func (f *Fleet) Operator() *operator.Operator {
	client := store.NewClient(&store.Options{URL: f.OperatorURL})
	return &operator.Operator{Store: client, VMs: client, Now: time.Now}
}

// StartVM starts both processes of a VM, anew when they ran before.
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

// LogFile returns where a program of a VM logs.
func (f *Fleet) LogFile(program string, vm *VM) string {
	return filepath.Join(f.opts.Dir, string(vm.Name)+"-"+program+".log")
}

// CutFromPeers separates data centre a from all others, or joins it again.
func (f *Fleet) CutFromPeers(dc contract.DataCentreID, cut bool) {
	for _, a := range f.VMs {
		for _, b := range f.VMs {
			if a.DataCentre == dc && b.DataCentre != dc {
				f.Net.Cut(string(a.Name), string(b.Name), cut)
			}
		}
	}
}

// CutFromPlatform separates a data centre from the platform, or joins it again.
func (f *Fleet) CutFromPlatform(dc contract.DataCentreID, cut bool) {
	for _, vm := range f.VMs {
		if vm.DataCentre == dc {
			f.Platform.Cut(string(vm.Name), cut)
		}
	}
}

// Stop ends every process and stand-in at once.
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

// makeKeys makes the keys of all VMs.
func (f *Fleet) makeKeys(names []string) error {
	return keys.Make(filepath.Join(f.opts.Dir, "keys"), names)
}
