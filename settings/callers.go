package settings

import (
	"cmp"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Callers limits what callers may make woaddoor-vm hold.
type Callers struct {
	// MaxConnections is the maximum number of open connections from callers. Zero means no limit.
	MaxConnections int
	// Memory is how much memory heads, bodies and answers beyond the first AllowancePerConnection of each connection
	// may take. Zero means no limit.
	Memory contract.Bytes
	// WorkspaceShare is the part of Memory, and of the connections, that the requests of one workspace may take.
	WorkspaceShare float64
	// ReceiveBuffer and SendBuffer are the sizes of the socket buffers of a connection.
	ReceiveBuffer, SendBuffer contract.Bytes
	// StallAfter is the time without progress after which a caller gives way to others who need its memory or
	// its connection.
	StallAfter time.Duration
	// WriteTimeout is how long a caller may take to receive the next part of an answer.
	WriteTimeout time.Duration
}

// Division of the file descriptors among their uses.
const (
	// reservedDescriptors is the number of descriptors that the platform keeps for files.
	reservedDescriptors = 200
	// callerDescriptorShare is the fraction of the remaining descriptors that callers'
	// connections may use. The rest is for connections to upstreams and links.
	callerDescriptorShare = 0.5
)

// Division of the machine's memory. The rest is for the process itself and for garbage that has not been collected.
const (
	// connectionMemoryShare is the fraction for callers' connections, at connectionMemory each.
	connectionMemoryShare = 0.3
	// connectionMemory is what a connection takes: 40 KiB of it in the sockets, the rest in the process.
	connectionMemory = 64 * contract.KiB
	// callerMemoryShare is the fraction for heads, bodies and answers.
	callerMemoryShare = 0.2
)

// AllowancePerConnection is the part of connectionMemory that is for the head, body and answer of a small request.
const AllowancePerConnection = 8 * contract.KiB

// Defaults of omitted keys of the [callers] section, and the limits of all its keys.
const (
	defaultWorkspaceShare = 0.75
	minWorkspaceShare     = 0.01

	defaultReceiveBufferKiB, defaultSendBufferKiB = 16, 64
	minBufferKiB, maxBufferKiB                    = 4, 4096

	defaultCallerStall  = time.Second
	defaultWriteTimeout = 30 * time.Second
)

// readCallers reads the [callers] section. Its defaults depend on the machine, which has been read before.
func readCallers(v *VM, r *config.SectionReader) {
	m := v.Machine
	v.Callers = Callers{
		MaxConnections: r.Int("max-connections", m.maxCallerConnections(), 0, maxIntSetting),
		Memory:         contract.Bytes(r.Int("memory-mb", 0, 0, maxIntSetting)) * contract.MiB,
		WorkspaceShare: r.Number("workspace-share", defaultWorkspaceShare, minWorkspaceShare, 1),
		ReceiveBuffer:  contract.Bytes(r.Int("receive-buffer-kb", defaultReceiveBufferKiB, minBufferKiB, maxBufferKiB)) * contract.KiB,
		SendBuffer:     contract.Bytes(r.Int("send-buffer-kb", defaultSendBufferKiB, minBufferKiB, maxBufferKiB)) * contract.KiB,
		StallAfter:     cmp.Or(r.Duration("stall-after", 0), defaultCallerStall),
		WriteTimeout:   cmp.Or(r.Duration("write-timeout", 0), defaultWriteTimeout),
	}
	v.Callers.Memory = cmp.Or(v.Callers.Memory, contract.Bytes(callerMemoryShare*float64(m.Memory)))
}

// maxCallerConnections returns how many connections from callers the machine's descriptors and memory allow, or 0 if
// neither is known.
func (m Machine) maxCallerConnections() int {
	byDescriptors, byMemory := 0, 0
	if m.FileDescriptors > 0 {
		byDescriptors = max(int(callerDescriptorShare*float64(m.FileDescriptors-reservedDescriptors)), 1)
	}
	if m.Memory > 0 {
		byMemory = max(int(connectionMemoryShare*float64(m.Memory)/float64(connectionMemory)), 1)
	}
	if byDescriptors == 0 || byMemory == 0 {
		return max(byDescriptors, byMemory)
	}
	return min(byDescriptors, byMemory)
}
