package main

import (
	"context"
	"fmt"
	"time"

	"woaddoor/internal/standin/store"
	"woaddoor/operator"
)

// operator returns an operator client connected to the stand-in platform.
func (c *controlFleet) operator() *operator.Operator {
	view := c.store.View("operator")
	return &operator.Operator{Store: view, VMs: view, Now: time.Now}
}

// measurePlatformCalls counts the calls that a running fleet of six VMs makes to the
// platform: while it is idle, under load, and while a VM is replaced.
func measurePlatformCalls(ctx context.Context, binDir string) error {
	f, stop, err := startFleet(ctx, binDir, 3, 2, 0)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("### Calls to the platform, six VMs in three data centres, real processes\n\n| what | reads | watches | lists | writes | requests |\n|---|---|---|---|---|---|\n")
	row := func(what string, before, after store.Counts, seconds float64, requests int) {
		rates := ratesBetween(before, after, seconds)
		fmt.Printf("| %s, a second | %.1f | %.1f | %.1f | %.2f | %.0f/s |\n", what, rates.reads, rates.watches, rates.lists, rates.writes, float64(requests)/seconds)
	}
	time.Sleep(settleDuration)
	before, began := f.Platform.Counts(), time.Now()
	time.Sleep(observeDuration)
	row("at rest", before, f.Platform.Counts(), time.Since(began).Seconds(), 0)
	_, routed := newCallers(f)
	for _, n := range []int{500, 2000, 8000} {
		before, began = f.Platform.Counts(), time.Now()
		if err := runParallel(4, n, func() error { _, _, err := routed.roundTrip(ctx, 4, false); return err }); err != nil {
			return err
		}
		row(fmt.Sprintf("%d requests", n), before, f.Platform.Counts(), time.Since(began).Seconds(), n)
	}
	time.Sleep(settleDuration)
	before, began = f.Platform.Counts(), time.Now()
	f.VMs[5].Entry.Kill()
	f.VMs[5].Control.Kill()
	if err := f.StartVM(f.VMs[5]); err != nil {
		return err
	}
	time.Sleep(observeDuration)
	row("a VM replaced", before, f.Platform.Counts(), time.Since(began).Seconds(), 0)
	fmt.Println()
	return nil
}
