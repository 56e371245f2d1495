package site

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/vm"
)

// TestLostRegistrationIsWrittenAgain: the store returned from a copy older than the registration,
// and VMs that start could not find this VM there.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	peers, _ := idlePeers(t, vm.Member{VM: "a", DataCentre: "d", ControlAddress: "10.0.0.1:1"})
	registered := map[contract.VMID]string{"b": "10.0.0.2:1"}
	registrations := 0
	s := New(&Options{
		VM: "a", Peers: peers, Log: zap.NewNop(), Link: "10.0.0.1:1",
		ListVMs: func(context.Context) (map[contract.VMID]string, error) { return registered, nil },
		RegisterVM: func(context.Context) error {
			registered["a"] = "10.0.0.1:1"
			registrations++
			return nil
		},
	})
	is.NoErr(s.listVMs(t.Context()))
	is.NoErr(s.listVMs(t.Context()))
	is.Equal(registrations, 1)
}

// vmList is the store's list of VMs.
type vmList struct {
	mu      sync.Mutex
	entries map[contract.VMID]string
}

func (l *vmList) put(id contract.VMID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = address
}

func (l *vmList) lose(id contract.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}

func (l *vmList) lists(id contract.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id] != ""
}

// TestRejectedVMRegistersAgain guards against a VM that stays apart from the others for a minute after
// the store has lost its registration and the VMs that knew it have restarted: the seeds reject it, and
// both sides divide what is limited for all VMs without the other.
func TestRejectedVMRegistersAgain(t *testing.T) {
	is := is.New(t)
	list := &vmList{entries: map[contract.VMID]string{"new": "127.0.0.1:1"}}
	startSeed := func(address string) (at string, stop func()) {
		identity, err := keys.NewAddressIdentity("seed", func(string) bool { return list.lists("new") })
		is.NoErr(err)
		endpoint, err := link.Listen(address, identity)
		is.NoErr(err)
		p := NewPeers(&PeersOptions{Endpoint: endpoint, Self: vm.Member{VM: "seed", DataCentre: "d", ControlAddress: endpoint.Address(), Incarnation: contract.NewIncarnation(time.Now())}, Log: zap.NewNop(), Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		return endpoint.Address(), func() { cancel(); _ = endpoint.Close() }
	}
	seed, stop := startSeed("127.0.0.1:0")
	endpoint := listenOnLoopback(t, "new")
	peers := NewPeers(&PeersOptions{Endpoint: endpoint, Self: vm.Member{VM: "new", DataCentre: "d", ControlAddress: endpoint.Address(), Incarnation: 1}, Seeds: []string{seed}, Log: zap.NewNop(), Now: time.Now})
	s := New(&Options{
		VM: "new", Peers: peers, Log: zap.NewNop(), Now: time.Now, Link: endpoint.Address(),
		ListVMs: func(context.Context) (map[contract.VMID]string, error) {
			if list.lists("new") {
				return map[contract.VMID]string{"new": endpoint.Address()}, nil
			}
			return nil, nil
		},
		RegisterVM: func(context.Context) error { list.put("new", endpoint.Address()); return nil },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { peers.Run(ctx) })
	running.Go(func() { s.maintainRegistration(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	eventually := func(ok func() bool) bool {
		for end := time.Now().Add(12 * time.Second); !ok() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		}
		return ok()
	}
	is.True(eventually(peers.Joined))
	time.Sleep(2 * joinTimeout) // the VM has joined, and has no need to register
	list.lose("new")
	stop()
	_, stop = startSeed(seed)
	defer stop()
	is.True(eventually(func() bool { return list.lists("new") }))
}
