package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"woaddoor/engine"
	"woaddoor/internal/fleet"
)

// Sizes of the measurements of the entry process.
const (
	requestPairs = 2000   // pairs of a direct and a routed request
	cpuRequests  = 20_000 // requests over which the processor time is measured
	chunkStreams = 40     // streams for each number of concurrent streams
	chunkTokens  = 4000   // tokens of each stream in the chunk measurement, one token to a chunk
	openStreams  = 1000   // largest number of open streams in the memory measurement
)

// median sorts d and returns its median.
func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// quantile sorts d and returns its p-quantile.
func quantile(d []time.Duration, p float64) time.Duration {
	slices.Sort(d)
	return d[min(int(p*float64(len(d))), len(d)-1)]
}

// caller sends chat requests for a model to a VM or directly to an engine.
type caller struct {
	url, key, model string
	client          *http.Client
}

// post sends a chat request and returns the response with its body still open.
func (c caller) post(ctx context.Context, tokens int, stream bool) (*http.Response, error) {
	body := fleet.ChatBody(c.model, "hello", tokens, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+engine.PathChat, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(engine.HeaderRequestID, "direct")
	return c.client.Do(req)
}

// roundTrip sends a request and reads the complete answer. It returns the time taken and
// the length of the answer.
func (c caller) roundTrip(ctx context.Context, tokens int, stream bool) (time.Duration, int64, error) {
	began := time.Now()
	resp, err := c.post(ctx, tokens, stream)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(began), n, err
}

// newCallers returns a caller that sends directly to an engine,
// and a caller that sends through the first VM.
func newCallers(f *fleet.Fleet) (direct, routed caller) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}
	direct = caller{f.EngineURL("dc1-engine-1"), "", "chat-small@1", client}
	routed = caller{f.VMs[0].APIURL, fleet.APIKeyNorte, "chat-small", client}
	return direct, routed
}

// measureAddedLatency measures the latency and processor time that the entry process adds
// to a request. It sends requests in pairs, one directly and one through the entry process.
func measureAddedLatency(ctx context.Context, binDir string) error {
	f, stop, err := startFleet(ctx, binDir, 2, 1, 0)
	if err != nil {
		return err
	}
	defer stop()
	direct, routed := newCallers(f)
	var directTimes, routedTimes, differences []time.Duration
	for range requestPairs {
		directTime, _, err := direct.roundTrip(ctx, 8, false)
		if err != nil {
			return err
		}
		routedTime, _, err := routed.roundTrip(ctx, 8, false)
		if err != nil {
			return err
		}
		directTimes, routedTimes, differences = append(directTimes, directTime), append(routedTimes, routedTime), append(differences, routedTime-directTime)
	}
	pid := f.VMs[0].Entry.PID()
	before := processorTime(pid)
	began := time.Now()
	if err := runParallel(8, cpuRequests, func() error { _, _, err := routed.roundTrip(ctx, 8, false); return err }); err != nil {
		return err
	}
	used, wall := processorTime(pid)-before, time.Since(began)
	fmt.Printf("### What the entry adds to a request\n\n%d pairs, one after the other; processor time over %d requests by 8 callers.\n\n", requestPairs, cpuRequests)
	fmt.Printf("| | p50 | p95 | p99 |\n|---|---|---|---|\n")
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"direct", directTimes}, {"through the entry", routedTimes}, {"added, pair by pair", differences}} {
		fmt.Printf("| %s | %v | %v | %v |\n", row.name, median(row.times).Round(time.Microsecond), quantile(row.times, 0.95).Round(time.Microsecond), quantile(row.times, 0.99).Round(time.Microsecond))
	}
	fmt.Printf("\nprocessor time of the entry a request: %v; %.0f requests/s\n\n", (used / cpuRequests).Round(time.Microsecond), cpuRequests/wall.Seconds())
	return nil
}

// runParallel has each of callers goroutines call do n/callers times.
// It returns the first error, if any.
func runParallel(callers, n int, do func() error) error {
	var wg sync.WaitGroup
	errs := make(chan error, callers)
	for range callers {
		wg.Go(func() {
			for range n / callers {
				if err := do(); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// measureChunks measures the time that the entry process adds to a chunk of a stream, at
// several numbers of concurrent streams.
func measureChunks(ctx context.Context, binDir string) error {
	f, stop, err := startFleet(ctx, binDir, 2, 1, 0)
	if err != nil {
		return err
	}
	defer stop()
	direct, routed := newCallers(f)
	pid := f.VMs[0].Entry.PID()
	fmt.Printf("### What the entry adds to a chunk\n\n%d streams of %d chunks for each row.\n\n| streams at once | processor time a chunk | wall time a chunk, direct | through the entry | chunks/s |\n|---|---|---|---|---|\n", chunkStreams, chunkTokens)
	for _, width := range []int{1, 4, 8, 20} {
		began := time.Now()
		if err := runParallel(width, chunkStreams, func() error { _, _, err := direct.roundTrip(ctx, chunkTokens, true); return err }); err != nil {
			return err
		}
		directWall := time.Since(began)
		before := processorTime(pid)
		began = time.Now()
		if err := runParallel(width, chunkStreams, func() error { _, _, err := routed.roundTrip(ctx, chunkTokens, true); return err }); err != nil {
			return err
		}
		routedWall, used := time.Since(began), processorTime(pid)-before
		n := chunkStreams / width * width * chunkTokens
		fmt.Printf("| %d | %.1f us | %.1f us | %.1f us | %.0f |\n", width, microsecondsEach(used, n), microsecondsEach(directWall, n), microsecondsEach(routedWall, n), float64(n)/routedWall.Seconds())
	}
	fmt.Println()
	return nil
}

// microsecondsEach returns d divided by n, in microseconds.
func microsecondsEach(d time.Duration, n int) float64 { return float64(d.Microseconds()) / float64(n) }

// measureMemory measures the memory of the entry process, idle and with many open streams.
func measureMemory(ctx context.Context, binDir string) error {
	f, stop, err := startFleet(ctx, binDir, 2, 1, 100*time.Millisecond)
	if err != nil {
		return err
	}
	defer stop()
	_, routed := newCallers(f)
	pid, control := f.VMs[0].Entry.PID(), f.VMs[0].Control.PID()
	fmt.Printf("### Memory\n\n| streams open | entry, MiB | control, MiB |\n|---|---|---|\n")
	row := func(n int) {
		fmt.Printf("| %d | %.1f | %.1f |\n", n, residentMiB(pid), residentMiB(control))
	}
	row(0)
	var open []*http.Response
	defer func() {
		for _, r := range open {
			r.Body.Close()
		}
	}()
	for _, n := range []int{250, 500, openStreams} {
		for len(open) < n {
			resp, err := routed.post(ctx, 100_000, true)
			if err != nil {
				return err
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, 64)); err != nil {
				return err
			}
			open = append(open, resp)
		}
		row(n)
	}
	fmt.Println()
	return nil
}

// residentMiB returns the resident memory of a process.
func residentMiB(pid int) float64 { return float64(residentBytes(pid)) / float64(1<<20) }
