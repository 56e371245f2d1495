// Package wire is a stand-in for the network between VMs: each VM is reached
// through a relay of its own, which drops what a test has cut.
package wire

import (
	"net"
	"sync"
)

// Net is the network.
type Net struct {
	// mu guards the fields below.
	mu sync.Mutex
	// owner names the VM that sends from a real address.
	owner map[string]string
	// apart holds the cut pairs, both ways round.
	apart map[[2]string]bool
}

// New returns a network in which everyone reaches everyone.
func New() *Net { return &Net{owner: make(map[string]string), apart: make(map[[2]string]bool)} }

// Cut separates two VMs, or joins them again.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apart[[2]string{a, b}], n.apart[[2]string{b, a}] = cut, cut
}

func (n *Net) dropped(from *net.UDPAddr, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.apart[[2]string{n.owner[from.String()], to}]
}

// maxPacket is larger than any packet of a link.
const maxPacket = 2048

// Relay opens the address through which a VM is reached, and returns it. real
// is the address at which the VM's process listens.
func (n *Net) Relay(vm, real string) (string, error) {
	target, err := net.ResolveUDPAddr("udp", real)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.owner[real] = vm
	n.mu.Unlock()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	r := &relay{net: n, vm: vm, front: front, target: target, backs: make(map[string]*net.UDPConn)}
	go r.forward()
	return front.LocalAddr().String(), nil
}

// relay carries the packets to one VM, and its answers back.
type relay struct {
	net    *Net
	vm     string
	front  *net.UDPConn
	target *net.UDPAddr
	backs  map[string]*net.UDPConn // a socket towards the VM for each peer
}

func (r *relay) forward() {
	buf := make([]byte, maxPacket)
	for {
		size, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.net.dropped(from, r.vm) {
			continue
		}
		back, err := r.back(from)
		if err == nil {
			_, _ = back.Write(buf[:size])
		}
	}
}

func (r *relay) back(peer *net.UDPAddr) (*net.UDPConn, error) {
	if back, ok := r.backs[peer.String()]; ok {
		return back, nil
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.backs[peer.String()] = back
	go r.answer(back, peer)
	return back, nil
}

func (r *relay) answer(back *net.UDPConn, peer *net.UDPAddr) {
	buf := make([]byte, maxPacket)
	for {
		size, err := back.Read(buf)
		if err != nil {
			continue // a refused packet while the process is being replaced
		}
		if !r.net.dropped(peer, r.vm) {
			_, _ = r.front.WriteToUDP(buf[:size], peer)
		}
	}
}
