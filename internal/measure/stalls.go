package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"woaddoor/internal/measure/model"
	"woaddoor/stream"
)

// Settings of the stall measurement.
const (
	streamCount     = 20_000
	chunksPerStream = 200
	resumeDelay     = 60 * time.Millisecond
)

// stallDetector tells by when the next chunk has to come.
type stallDetector interface {
	Chunk(now time.Time)
	Due() time.Time
}

// fixedTimeout is a timeout that is the same for every stream.
type fixedTimeout struct {
	timeout time.Duration
	last    time.Time
}

// Chunk notes that a chunk has come.
func (f *fixedTimeout) Chunk(now time.Time) { f.last = now }

// Due returns by when the next one has to come.
func (f *fixedTimeout) Due() time.Time { return f.last.Add(f.timeout) }

// meanGaps are the mean gaps of healthy streams: of a quick model, a loaded one,
// and a slow one.
var meanGaps = []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond}

// gapSigma is the standard deviation of the logarithm of a gap.
const gapSigma = 0.5

func randomGap(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(r.NormFloat64()*gapSigma-gapSigma*gapSigma/2))
}

// stalls measures how soon a stalled stream is noticed, and false alarms.
func stalls(seed uint64) []*table {
	t := &table{
		title:       "Stalled streams",
		description: fmt.Sprintf("%d streams of %d chunks, gaps log-normal (sigma %.1f) about 30, 200 or 1500 ms; one in ten stalls for good at a random chunk; a resume takes %v; seed %d.", streamCount, chunksPerStream, gapSigma, resumeDelay, seed),
		columns:     []string{"way", "longest wait of a caller p50 ms", "p95", "p99", "false alarms per 1000 healthy streams"},
	}
	for _, way := range []struct {
		name string
		make func(now time.Time) stallDetector
	}{
		{"fixed 30 s", func(now time.Time) stallDetector { return &fixedTimeout{30 * time.Second, now} }},
		{"fixed 2 s", func(now time.Time) stallDetector { return &fixedTimeout{2 * time.Second, now} }},
		{"woaddoor", func(now time.Time) stallDetector { return stream.NewPace(stream.PaceOptions{}, now) }},
	} {
		waits, alarms, healthy := runStreams(seed, way.make)
		q := model.QuantilesOf(waits)
		t.addRow(way.name, q.P50, q.P95, q.P99, 1000*float64(alarms)/float64(healthy))
	}
	return []*table{t}
}

// runStreams returns, of the streams that stalled, how long the caller waited at
// the stall, and how many healthy streams were taken for stalled.
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
		d := make(now)
		alarm := false
		for n := range chunksPerStream {
			if n == stallAt {
				waits = append(waits, d.Due().Sub(now)+resumeDelay)
				break
			}
			next := now.Add(randomGap(r, mean))
			if n > 0 && !next.Before(d.Due()) {
				alarm = true
			}
			d.Chunk(next)
			now = next
		}
		if alarm && stallAt < 0 {
			alarms++
		}
	}
	return waits, alarms, healthy
}
