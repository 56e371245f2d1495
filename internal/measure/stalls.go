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
	streamsMeasured = 20_000
	chunks          = 200
	resumeTakes     = 60 * time.Millisecond
)

// detector tells by when the next chunk has to come.
type detector interface {
	Chunk(now time.Time)
	Due() time.Time
}

// fixedGap is a timeout that is the same for every stream.
type fixedGap struct {
	gap  time.Duration
	last time.Time
}

// Chunk notes that a chunk has come.
func (f *fixedGap) Chunk(now time.Time) { f.last = now }

// Due returns by when the next one has to come.
func (f *fixedGap) Due() time.Time { return f.last.Add(f.gap) }

// paces are the mean gaps of healthy streams: of a quick model, a loaded one,
// and a slow one.
var paces = []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond}

// spreadOf is the standard deviation of the logarithm of a gap.
const spreadOf = 0.5

func gapOf(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(r.NormFloat64()*spreadOf-spreadOf*spreadOf/2))
}

// stalls measures how soon a stalled stream is noticed, and false alarms.
func stalls(seed uint64) []*table {
	t := &table{
		title: "Stalled streams",
		about: fmt.Sprintf("%d streams of %d chunks, gaps log-normal (sigma %.1f) about 30, 200 or 1500 ms; one in ten stalls for good at a random chunk; a resume takes %v; seed %d.", streamsMeasured, chunks, spreadOf, resumeTakes, seed),
		head:  []string{"way", "longest wait of a caller p50 ms", "p95", "p99", "false alarms per 1000 healthy streams"},
	}
	for _, way := range []struct {
		name string
		make func(now time.Time) detector
	}{
		{"fixed 30 s", func(now time.Time) detector { return &fixedGap{30 * time.Second, now} }},
		{"fixed 2 s", func(now time.Time) detector { return &fixedGap{2 * time.Second, now} }},
		{"woaddoor", func(now time.Time) detector { return stream.NewPace(stream.PaceOptions{}, now) }},
	} {
		waits, alarms, healthy := stallRun(seed, way.make)
		q := model.QuantilesOf(waits)
		t.add(way.name, q.P50, q.P95, q.P99, 1000*float64(alarms)/float64(healthy))
	}
	return []*table{t}
}

// stallRun returns, of the streams that stalled, how long the caller waited at
// the stall, and how many healthy streams were taken for stalled.
func stallRun(seed uint64, make func(now time.Time) detector) (waits []time.Duration, alarms, healthy int) {
	r := rand.New(rand.NewPCG(seed, 70))
	for i := range streamsMeasured {
		mean := paces[i%len(paces)]
		stallAt := -1
		if r.IntN(10) == 0 {
			stallAt = 1 + r.IntN(chunks-1)
		} else {
			healthy++
		}
		now := time.Unix(0, 0)
		d := make(now)
		alarm := false
		for n := range chunks {
			if n == stallAt {
				waits = append(waits, d.Due().Sub(now)+resumeTakes)
				break
			}
			next := now.Add(gapOf(r, mean))
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
