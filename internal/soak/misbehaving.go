package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// The machine of each VM, in the settings. Its memory is that of the smallest known deployment.
const (
	vmMemoryMB    = 88
	vmDescriptors = 4100
)

// machineLimits returns the [machine] section of a VM whose processor and link are not limited.
func machineLimits() string {
	return fmt.Sprintf("\n[machine]\nmemory-mb = %d\ndescriptors = %d\n", vmMemoryMB, vmDescriptors)
}

// Timing of callers that keep to no rules.
const (
	misbehavingInterval = 100 * time.Millisecond // between two of them
	misbehavingHold     = 3 * time.Second        // how long each keeps its connection open
)

// runMisbehaving opens connections on which a request or its answer does not end, at randomly chosen VMs, until
// ctx ends. None of these requests reaches an upstream but those whose answers are not read.
func (c *callers) runMisbehaving(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		go misbehave(v.callerLink.address(), misbehaviours[n%len(misbehaviours)](n))
		time.Sleep(misbehavingInterval)
	}
}

// misbehave sends a text on a new connection, which it leaves open for a while.
func misbehave(address, text string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return // refused: allowed
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(misbehavingHold))
	_, _ = io.WriteString(conn, text) // fails if the VM closes the connection: allowed
	time.Sleep(misbehavingHold)
}

// misbehaviours return what the n-th of these callers sends: bodies that stop short of their ends, heads that do not
// end, and nothing.
var misbehaviours = []func(n int) string{
	func(n int) string {
		return misbehavingHead(n, "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("a", 1<<16)+"\r\n", 63)
	},
	func(n int) string {
		return misbehavingHead(n, "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat("1\r\na\r\n", 1<<16)
	},
	func(n int) string {
		return misbehavingHead(n, "Content-Length: 2000000") + "\r\n" + strings.Repeat("a", 1_999_999)
	},
	func(n int) string { return misbehavingHead(n, "X-Fields: a") + strings.Repeat("a:\r\n", 3000) },
	func(int) string { return "" },
}

// misbehavingHead returns the head of a request without the empty line that ends it.
func misbehavingHead(n int, line string) string {
	return replica.Head{Host: objects.SampleHost, Path: "/safe/x", ID: "misbehaving-" + strconv.Itoa(n), Key: keyKept}.Text(line)
}

// memoryInterval is the time between two checks of the memory of the VMs.
const memoryInterval = 200 * time.Millisecond

// watchMemory checks that the process of each VM stays within its memory, until ctx ends.
func (f *fleet) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			if resident, ok := v.residentMB(); ok {
				f.recorder.check(guaranteeMemory, resident <= vmMemoryMB, v.name, fmt.Sprintf("%d MB resident of %d", resident, vmMemoryMB))
			}
		}
		time.Sleep(memoryInterval)
	}
}

// residentMB returns the resident memory of the VM's process, unless it has ended.
func (v *vm) residentMB() (int, bool) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10, err == nil
		}
	}
	return 0, false
}
