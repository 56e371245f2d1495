package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"woaddoor/internal/measure/model"
	"woaddoor/stream"
)

// Parameters of the stall measurement.
const (
	streamCount     = 20_000
	chunksPerStream = 200
	resumeDelay     = 60 * time.Millisecond // time that it takes to resume a stream
)

// stallDetector decides when a stream counts as stalled.
type stallDetector interface {
	// RecordChunk records the arrival of a chunk.
	RecordChunk(now time.Time)
	// Deadline returns the time by which the next chunk must arrive.
	Deadline() time.Time
}

// fixedTimeout uses the same timeout between chunks for every stream.
type fixedTimeout struct {
	timeout time.Duration
	last    time.Time
}

// RecordChunk records the arrival of a chunk.
func (f *fixedTimeout) RecordChunk(now time.Time) { f.last = now }

// Deadline returns the time by which the next chunk must arrive.
func (f *fixedTimeout) Deadline() time.Time { return f.last.Add(f.timeout) }

// meanGaps are the mean times (gaps) between the chunks of healthy streams: of a fast model,
// of a loaded model, and of a slow model.
var meanGaps = []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond}

// gapSigma is the standard deviation of the logarithm of a gap.
const gapSigma = 0.5

// randomGap returns a log-normally distributed gap with the given mean.
func randomGap(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(r.NormFloat64()*gapSigma-gapSigma*gapSigma/2))
}

// stalls measures how long a stall detector takes to notice a stalled stream, and how
// often the detector takes a healthy stream for stalled.
func stalls(seed uint64) []*table {
	t := &table{
		title:       "Stalled streams",
		description: fmt.Sprintf("%d streams of %d chunks, gaps log-normal (sigma %.1f) about 30, 200 or 1500 ms; one in ten stalls for good at a random chunk; a resume takes %v; seed %d.", streamCount, chunksPerStream, gapSigma, resumeDelay, seed),
		columns:     []string{"way", "longest wait of a caller p50 ms", "p95", "p99", "false alarms per 1000 healthy streams"},
	}
	for _, strategy := range []struct {
		name string
		make func(now time.Time) stallDetector
	}{
		{"fixed 30 s", func(now time.Time) stallDetector { return &fixedTimeout{30 * time.Second, now} }},
		{"fixed 2 s", func(now time.Time) stallDetector { return &fixedTimeout{2 * time.Second, now} }},
		{"woaddoor", func(now time.Time) stallDetector { return stream.NewStallDetector(stream.StallOptions{}, now) }},
	} {
		waits, alarms, healthy := runStreams(seed, strategy.make)
		q := model.QuantilesOf(waits)
		t.addRow(strategy.name, q.P50, q.P95, q.P99, 1000*float64(alarms)/float64(healthy))
	}
	return []*table{t}
}

// runStreams simulates streams. It returns how long each caller of a stalled stream waited
// at the stall, how many healthy streams were taken for stalled, and how many streams were healthy.
func runStreams(seed uint64, make func(now time.Time) stallDetector) (waits []time.Duration, alarms, healthy int) {
	r := rand.New(rand.NewPCG(seed, 70))
	for i := range streamCount {
		mean := meanGaps[i%len(meanGaps)]
		stallAt := -1
		if r.IntN(10) == 0 {
			stallAt = 1 + r.IntN(chunksPerStream-1)
		} else {
			healthy++
		}
		now := time.Unix(0, 0)
		detector := make(now)
		alarm := false
		for n := range chunksPerStream {
			if n == stallAt {
				waits = append(waits, detector.Deadline().Sub(now)+resumeDelay)
				break
			}
			next := now.Add(randomGap(r, mean))
			if n > 0 && !next.Before(detector.Deadline()) {
				alarm = true
			}
			detector.RecordChunk(next)
			now = next
		}
		if alarm && stallAt < 0 {
			alarms++
		}
	}
	return waits, alarms, healthy
}
