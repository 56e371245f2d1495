package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// senders tells which VM has opened a connection to an upstream. The header of a request names the VM
// that its caller has chosen, and that VM may have another VM make the attempt.
type senders struct {
	mu sync.Mutex
	// processes holds the process of each VM by its name, and sockets the name of the VM
	// that has opened a socket, by the socket's inode.
	processes map[string]int
	sockets   map[string]string
	// connections holds the name of the VM by the address from which a proxy connects to the upstream.
	connections map[string]string
}

func newSenders() *senders {
	return &senders{processes: make(map[string]int), sockets: make(map[string]string), connections: make(map[string]string)}
}

// setProcess records the current process of a VM.
func (s *senders) setProcess(vm string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[vm] = pid
}

// recordProxied records that a proxy has connected the caller to the target.
func (s *senders) recordProxied(caller, target net.Conn) {
	inode := socketInode(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sockets[inode]; !known {
		s.findSockets()
	}
	s.connections[target.LocalAddr().String()] = s.sockets[inode]
}

// vmOf returns the name of the VM that sends over an upstream's connection, or "" if it is not known.
func (s *senders) vmOf(c net.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections[c.RemoteAddr().String()]
}

// findSockets finds the sockets of all VMs. The caller holds mu.
func (s *senders) findSockets() {
	clear(s.sockets)
	for vm, pid := range s.processes {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			target, _ := os.Readlink(file) // fails if the file has been closed
			if inode, ok := strings.CutPrefix(target, "socket:["); ok {
				s.sockets[strings.TrimSuffix(inode, "]")] = vm
			}
		}
	}
}

// Fields of a line of /proc/net/tcp.
const (
	fieldLocal  = 1
	fieldRemote = 2
	fieldInode  = 9
)

// socketInode returns the inode of the socket at the other end of an accepted loopback connection,
// or "" if there is none.
func socketInode(accepted net.Conn) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	local, remote := hexAddress(accepted.RemoteAddr()), hexAddress(accepted.LocalAddr())
	for lines := bufio.NewScanner(table); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) > fieldInode && f[fieldLocal] == local && f[fieldRemote] == remote {
			return f[fieldInode]
		}
	}
	return ""
}

// hexAddress returns an IPv4 address in the form of /proc/net/tcp, which has the bytes of the IP address
// in reverse.
func hexAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
