// Package wire is a stand-in for the network between VMs. Each VM is reached through its own UDP
// relay, which drops the packets between pairs of VMs that a test has disconnected.
package wire

import (
	"net"
	"sync"
)

// Net is the network between the VMs.
type Net struct {
	// mu guards the fields below.
	mu sync.Mutex
	// vmByAddress maps the address of a VM's process to the VM's name.
	vmByAddress map[string]string
	// disconnectedPairs holds the pairs of VMs that cannot reach each other, in both orders.
	disconnectedPairs map[[2]string]bool
}

// New returns a network in which every VM reaches every other VM.
func New() *Net {
	return &Net{vmByAddress: make(map[string]string), disconnectedPairs: make(map[[2]string]bool)}
}

// SetDisconnected disconnects two VMs from each other, or reconnects them.
func (n *Net) SetDisconnected(a, b string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnectedPairs[[2]string{a, b}], n.disconnectedPairs[[2]string{b, a}] = disconnected, disconnected
}

func (n *Net) isDisconnected(from *net.UDPAddr, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnectedPairs[[2]string{n.vmByAddress[from.String()], to}]
}

// maxPacketSize is larger than any packet that the VMs send to each other.
const maxPacketSize = 2048

// StartRelay starts a relay for a VM and returns the address through which other VMs reach it.
// vmAddress is the address on which the VM's process listens.
func (n *Net) StartRelay(vm, vmAddress string) (string, error) {
	target, err := net.ResolveUDPAddr("udp", vmAddress)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.vmByAddress[vmAddress] = vm
	n.mu.Unlock()
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	r := &relay{net: n, vm: vm, listener: listener, target: target, sockets: make(map[string]*net.UDPConn)}
	go r.forwardToVM()
	return listener.LocalAddr().String(), nil
}

// relay forwards packets to one VM, and its answers back to the senders.
type relay struct {
	net      *Net
	vm       string
	listener *net.UDPConn
	target   *net.UDPAddr
	sockets  map[string]*net.UDPConn // one socket to the VM for each peer, by the peer's address
}

func (r *relay) forwardToVM() {
	buf := make([]byte, maxPacketSize)
	for {
		size, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.net.isDisconnected(from, r.vm) {
			continue
		}
		socket, err := r.socketFor(from)
		if err == nil {
			_, _ = socket.Write(buf[:size])
		}
	}
}

func (r *relay) socketFor(peer *net.UDPAddr) (*net.UDPConn, error) {
	if socket, ok := r.sockets[peer.String()]; ok {
		return socket, nil
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.sockets[peer.String()] = socket
	go r.forwardToPeer(socket, peer)
	return socket, nil
}

func (r *relay) forwardToPeer(socket *net.UDPConn, peer *net.UDPAddr) {
	buf := make([]byte, maxPacketSize)
	for {
		size, err := socket.Read(buf)
		if err != nil {
			continue // no process listens at the address, because the VM is being restarted
		}
		if !r.net.isDisconnected(peer, r.vm) {
			_, _ = r.listener.WriteToUDP(buf[:size], peer)
		}
	}
}
