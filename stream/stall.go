// Package stream handles streamed responses: it splits them into events,
// detects stalls and decides how to recover a broken stream.
// The package does no I/O and reads no clock: its callers pass in the time.
package stream

import (
	"cmp"
	"time"
)

// StallOptions configure the detection of stalls.
type StallOptions struct {
	// MaxGap is the gap between two chunks of a stream after which every stream counts as stalled.
	// A zero MaxGap means 10 s.
	MaxGap time.Duration
	// MinGap is the gap between two chunks below which no stream counts as stalled.
	// A zero MinGap means 400 ms.
	MinGap time.Duration
	// Deviations sets the threshold for a stall:
	// the mean gap plus Deviations times the mean deviation of the gaps.
	// A zero Deviations means 16.
	Deviations float64
	// FirstChunk is the time limit for the first chunk. Zero means MaxGap.
	FirstChunk time.Duration
}

// Default values of StallOptions, and parameters of the threshold.
const (
	defaultMaxGap     = 10 * time.Second
	defaultMinGap     = 400 * time.Millisecond
	defaultDeviations = 16.0
	// minGaps is how many gaps between chunks are measured
	// before the threshold for a stall adapts to the gaps.
	minGaps = 4
	// minMeanMultiple is the lowest threshold for a stall, as a multiple of the mean gap.
	minMeanMultiple = 8
	// gapWeight is the weight of the newest gap in the mean gap and the deviation.
	gapWeight = 0.15
)

// StallDetector measures the gaps between the chunks of one stream
// and sets a deadline for the next chunk.
// A stream that is slow throughout is healthy; a stream
// that pauses for much longer than its usual gaps is stalled.
type StallDetector struct {
	opts      StallOptions
	lastChunk time.Time
	gaps      int     // number of gaps measured so far; -1 before the first chunk
	mean      float64 // seconds
	deviation float64 // mean absolute deviation from the mean gap, in seconds
}

// NewStallDetector returns a StallDetector for a stream that starts now.
func NewStallDetector(opts StallOptions, now time.Time) *StallDetector {
	opts.MaxGap = cmp.Or(opts.MaxGap, defaultMaxGap)
	opts.MinGap = cmp.Or(opts.MinGap, defaultMinGap)
	opts.Deviations = cmp.Or(opts.Deviations, defaultDeviations)
	opts.FirstChunk = cmp.Or(opts.FirstChunk, opts.MaxGap)
	return &StallDetector{opts: opts, lastChunk: now, gaps: -1}
}

// RecordChunk records that a chunk has arrived.
func (d *StallDetector) RecordChunk(now time.Time) {
	gap := now.Sub(d.lastChunk).Seconds()
	d.lastChunk = now
	d.gaps++
	switch {
	case d.gaps < 1: // the wait for the first chunk is not a gap
	case d.gaps == 1:
		d.mean, d.deviation = gap, gap/2
	default:
		diff := gap - d.mean
		d.mean += gapWeight * diff
		d.deviation += gapWeight * (max(diff, -diff) - d.deviation)
	}
}

// Deadline returns the deadline for the next chunk.
// After the deadline, the stream counts as stalled.
func (d *StallDetector) Deadline() time.Time {
	if d.gaps < 0 {
		return d.lastChunk.Add(d.opts.FirstChunk)
	}
	if d.gaps < minGaps {
		return d.lastChunk.Add(d.opts.MaxGap)
	}
	allowed := time.Duration((d.mean + d.opts.Deviations*d.deviation) * float64(time.Second))
	return d.lastChunk.Add(min(max(allowed, time.Duration(minMeanMultiple*d.mean*float64(time.Second)), d.opts.MinGap), d.opts.MaxGap))
}
