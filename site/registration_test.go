package site

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
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
