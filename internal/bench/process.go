package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"woaddoor/contract"
	"woaddoor/history"
	"woaddoor/internal/fleet"
	"woaddoor/internal/standin/engine"
)

// clockTick is the kernel's unit of processor time in /proc: a hundredth of a
// second on all common systems.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) contract.Bytes {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return contract.Bytes(kb) * contract.KiB
		}
	}
	return 0
}

// startFleet starts a fleet of dcs data centres with vms VMs each, and waits until it
// serves. The returned function stops it.
func startFleet(ctx context.Context, binDir string, dcs, vms int, perToken time.Duration) (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "woaddoor-fleet")
	if err != nil {
		return nil, nil, err
	}
	opts := &fleet.Options{
		WorkDir: dir, BinDir: binDir, VMs: vms, Engines: 2,
		Engine:        engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-small@2", "chat-large@1"}, TokenTime: perToken, Slots: 4096},
		EntrySettings: "max-in-flight = 100000",
	}
	for i := range dcs {
		opts.DataCentres = append(opts.DataCentres, contract.DataCentreID(fmt.Sprintf("dc%d", i+1)))
	}
	f, err := fleet.Start(opts)
	stop := func() {
		f.Stop()
		os.RemoveAll(dir)
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	text := strings.ReplaceAll(f.Config(""), "slots = 8", "slots = 4096")
	if _, err = f.Operator().Apply(ctx, "site.ini", []byte(text), -1, history.ChangeInfo{Author: "bench", Reason: "bench", At: time.Now()}); err == nil {
		if err = f.WaitForPeers(ctx); err == nil {
			err = f.WaitUntilServing(ctx, "chat-small")
		}
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}
