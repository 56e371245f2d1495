package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// senders tells which VM has opened a connection to an upstream. The header of a request names the VM
// that its caller has chosen, and that VM may have another VM make the attempt.
type senders struct {
	mu sync.Mutex
	// processes holds the process of each VM by its name.
	processes map[string]int
	// connections holds, by both ends of a proxy's connection to an upstream, the connection that it
	// forwards. Connections to different upstreams may have the same port at the proxy's end.
	connections map[connectionEnds]*proxiedConn
}

// connectionEnds are the addresses of the proxy and of the upstream.
type connectionEnds struct{ proxy, upstream string }

// proxiedConn is the socket at the VM's end of a connection to an upstream.
type proxiedConn struct {
	inode uint32 // 0 if it is not known
	vm    string // "" until it is known
}

func newSenders() *senders {
	return &senders{processes: make(map[string]int), connections: make(map[connectionEnds]*proxiedConn)}
}

// setProcess records the current process of a VM.
func (s *senders) setProcess(vm string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[vm] = pid
}

// recordProxied records that a proxy has connected the caller to the target.
func (s *senders) recordProxied(caller, target net.Conn) {
	c := &proxiedConn{inode: socketInode(caller)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[connectionEnds{target.LocalAddr().String(), target.RemoteAddr().String()}] = c
}

// vmOf returns the name of the VM that sends over an upstream's connection, or "" if it is not known.
// The expected VM is looked at first.
func (s *senders) vmOf(upstreamEnd net.Conn, expected string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connections[connectionEnds{upstreamEnd.RemoteAddr().String(), upstreamEnd.LocalAddr().String()}]
	if c == nil || c.inode == 0 {
		return ""
	}
	if c.vm == "" && hasSocket(s.processes[expected], c.inode) {
		c.vm = expected
	}
	for vm, pid := range s.processes {
		if c.vm == "" && hasSocket(pid, c.inode) {
			c.vm = vm
		}
	}
	return c.vm
}

// hasSocket reports whether a process has a socket with the given inode open.
func hasSocket(pid int, inode uint32) bool {
	folder, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return false
	}
	defer folder.Close()
	files, _ := folder.Readdirnames(-1)
	wanted := fmt.Sprintf("socket:[%d]", inode)
	for _, file := range files {
		if target, _ := os.Readlink(folder.Name() + "/" + file); target == wanted { // fails if it has been closed
			return true
		}
	}
	return false
}

// Messages of the kernel's socket diagnosis (sock_diag(7)), in the byte order of the machine unless noted.
const (
	diagHeaderSize     = 16
	diagRequestSize    = diagHeaderSize + 56
	diagByFamily       = 20
	diagAnswerUnreadAt = diagHeaderSize + 56
	diagAnswerInodeAt  = diagHeaderSize + 68
	diagAnswerSize     = diagAnswerInodeAt + 4
	anyDiagCookie      = ^uint64(0)
)

// socketInode returns the inode of the socket at the other end of an IPv4 connection on this
// machine, or 0 if it is not known.
func socketInode(c net.Conn) uint32 {
	answer := diagnosePeer(c)
	if answer == nil {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[diagAnswerInodeAt:])
}

// unreadByPeer returns how many bytes the process at the other end of an IPv4 connection on this machine
// has not read yet, or 0 if it is not known.
func unreadByPeer(c net.Conn) int {
	answer := diagnosePeer(c)
	if answer == nil {
		return 0
	}
	return int(binary.NativeEndian.Uint32(answer[diagAnswerUnreadAt:]))
}

// diagnosePeer returns the kernel's answer about the socket at the other end of an IPv4 connection on this
// machine, or nil if there is none.
func diagnosePeer(c net.Conn) []byte {
	local, ok := c.RemoteAddr().(*net.TCPAddr)
	remote, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 || local.IP.To4() == nil || remote.IP.To4() == nil {
		return nil
	}
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil
	}
	defer unix.Close(socket)
	request := make([]byte, 0, diagRequestSize)
	request = binary.NativeEndian.AppendUint32(request, diagRequestSize)
	request = binary.NativeEndian.AppendUint16(request, diagByFamily)
	request = binary.NativeEndian.AppendUint16(request, unix.NLM_F_REQUEST)
	request = append(request, make([]byte, 8)...) // sequence number and port: none
	request = append(request, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	request = binary.NativeEndian.AppendUint32(request, ^uint32(0)) // any state
	request = binary.BigEndian.AppendUint16(request, uint16(local.Port))
	request = binary.BigEndian.AppendUint16(request, uint16(remote.Port))
	for _, a := range []*net.TCPAddr{local, remote} {
		request = append(append(request, a.IP.To4()...), make([]byte, 12)...) // room for IPv6
	}
	request = binary.NativeEndian.AppendUint32(request, 0) // any interface
	request = binary.NativeEndian.AppendUint64(request, anyDiagCookie)
	if err := unix.Sendto(socket, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil
	}
	answer := make([]byte, 512)
	n, _, err := unix.Recvfrom(socket, answer, 0)
	if err != nil || n < diagAnswerSize || binary.NativeEndian.Uint16(answer[4:]) != diagByFamily {
		return nil
	}
	return answer[:n]
}
