package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/vm"
)

// TestFewStrangers shows that a VM which knows others looks for few of the listed
// ones at a time, however many there are, and one that knows nobody for more.
func TestFewStrangers(t *testing.T) {
	is := is.New(t)
	identity, err := keys.NewByAddress("a", func(string) bool { return true })
	is.NoErr(err)
	endpoint, err := link.Listen("127.0.0.1:0", identity)
	is.NoErr(err)
	defer func() { is.NoErr(endpoint.Close()) }()
	now := time.Unix(100, 0)
	p := NewPeers(&PeersOptions{
		Endpoint: endpoint, Self: vm.Member{VM: "a", DataCentre: "d", ControlLink: "10.0.0.1:1"}, Seeds: []string{"10.0.0.2:1"},
		Log: zap.NewNop(), Now: func() time.Time { return now },
	})
	var listed []string
	for n := range 100 {
		listed = append(listed, fmt.Sprintf("10.1.0.%d:1", n))
	}
	p.Listed(listed)
	is.Equal(len(p.strangers()), strangersAlone+1) // and the seed
	p.table.Heard(vm.Member{VM: "b", DataCentre: "d", ControlLink: listed[0]}, now)
	is.Equal(len(p.strangers()), strangersAtOnce)
}
