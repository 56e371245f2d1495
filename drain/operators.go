package drain

import (
	"time"

	"woaddoor/contract"
	"woaddoor/memory"
)

// Limits of a port that is not for callers: a load balancer and a few operators use it, one request at a time.
const (
	operatorConns      = 32
	operatorStallAfter = time.Second
	operatorWrite      = 10 * time.Second
	operatorMemory     = contract.MiB
	operatorBuffer     = 16 * contract.KiB
)

// ListenForOperators listens on the TCP address of a port that is not for callers. The few connections that it keeps
// open cannot make the process hold much, and one that makes no progress gives way to a new one.
func ListenForOperators(address string) (*Listener, error) {
	inner, err := Listen(address, Buffers{Receive: operatorBuffer, Send: operatorBuffer})
	if err != nil {
		return nil, err
	}
	l := NewListener(inner, operatorConns)
	l.Limits = Limits{
		Memory:     memory.NewAccount(memory.Options{Total: operatorMemory, Allowance: memory.FreeHead, StallAfter: operatorStallAfter}),
		StallAfter: operatorStallAfter, WriteTimeout: operatorWrite,
	}
	return l, nil
}
