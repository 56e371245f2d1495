package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/keys"
)

// packetProxy forwards the packets between one endpoint and another, each delay later.
type packetProxy struct {
	socket *net.UDPConn
	to     *net.UDPAddr
	delay  time.Duration
}

// newPacketProxy starts a proxy in front of an endpoint.
func newPacketProxy(t *testing.T, to *Endpoint, delay time.Duration) *packetProxy {
	t.Helper()
	is := is.New(t)
	address, err := net.ResolveUDPAddr("udp", to.Address())
	is.NoErr(err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	t.Cleanup(func() { socket.Close() })
	p := &packetProxy{socket: socket, to: address, delay: delay}
	go p.run()
	return p
}

// run forwards packets until the proxy's socket is closed.
func (p *packetProxy) run() {
	var client *net.UDPAddr
	buffer := make([]byte, 64<<10)
	for {
		n, sender, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		receiver := client
		if sender.Port != p.to.Port {
			client, receiver = sender, p.to
		}
		packet := slices.Clone(buffer[:n])
		time.AfterFunc(p.delay, func() { _, _ = p.socket.WriteToUDP(packet, receiver) })
	}
}

// newPair returns two endpoints that know each other's keys.
func newPair(t *testing.T) (a, b *Endpoint) {
	t.Helper()
	dir := t.TempDir()
	is.New(t).NoErr(keys.GenerateFiles(dir, []string{"a", "b"}))
	return newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b")
}

// callFor makes a call with a timeout.
func callFor(t *testing.T, e *Endpoint, address string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := Call[echoMessage, echoMessage](ctx, e, address, KindTicketVote, echoMessage{Text: "hello"})
	return err
}

// TestCallsShareHandshake guards against a handshake for each of the calls that begin before there is
// a connection: on busy machines these handshakes delay each other until they time out.
func TestCallsShareHandshake(t *testing.T) {
	a, b := newPair(t)
	p := newPacketProxy(t, b, 20*time.Millisecond)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() {
			if err := callFor(t, a, p.socket.LocalAddr().String(), 5*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	is.New(t).Equal(a.traffic.dials.Load(), int64(1))
}

// TestSlowHandshakeServesLaterCalls guards against a peer that is never reached because no call waits
// as long as a handshake takes.
func TestSlowHandshakeServesLaterCalls(t *testing.T) {
	a, b := newPair(t)
	p := newPacketProxy(t, b, 100*time.Millisecond)
	var err error
	for range 10 {
		if err = callFor(t, a, p.socket.LocalAddr().String(), 300*time.Millisecond); err == nil {
			return
		}
	}
	t.Errorf("no call reached the peer: %v", err)
}
