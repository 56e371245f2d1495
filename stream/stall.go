// Package stream handles streamed responses: it splits them into events, detects
// stalls and decides how to recover a broken stream. It is pure: its callers pass in
// the time.
package stream

import (
	"cmp"
	"time"
)

// StallOptions configure the detection of stalls.
type StallOptions struct {
	// MaxGap is the gap between chunks after which every stream counts as stalled.
	// Zero means 10 s.
	MaxGap time.Duration
	// MinGap is the gap below which no stream counts as stalled.
	// Zero means 400 ms.
	MinGap time.Duration
	// Deviations is how many mean deviations above the mean gap the threshold for a
	// stall is. Zero means 16.
	Deviations float64
	// FirstChunk is the time limit for the first chunk. Zero means Longest.
	FirstChunk time.Duration
}

// Default values of PaceOptions, and parameters of the threshold.
const (
	defaultLongest    = 10 * time.Second
	defaultShortest   = 400 * time.Millisecond
	defaultDeviations = 16.0
	// minGaps is how many gaps are measured before the threshold adapts to them.
	minGaps = 4
	// minMeanMultiple is the lowest threshold, as a multiple of the mean gap.
	minMeanMultiple = 8
	// gapWeight is the weight of the newest gap in the mean gap and the deviation.
	gapWeight = 0.15
)

// StallDetector measures the gaps between the chunks of one stream and sets a deadline for
// the next chunk. A stream that is slow throughout is healthy; a stream that pauses
// for much longer than its usual gaps is stalled.
type StallDetector struct {
	opts      StallOptions
	lastChunk time.Time
	gaps      int
	mean      float64 // seconds
	deviation float64 // seconds, mean absolute
}

// NewStallDetector returns a Pace for a stream that starts now.
func NewStallDetector(opts StallOptions, now time.Time) *StallDetector {
	opts.MaxGap = cmp.Or(opts.MaxGap, defaultLongest)
	opts.MinGap = cmp.Or(opts.MinGap, defaultShortest)
	opts.Deviations = cmp.Or(opts.Deviations, defaultDeviations)
	opts.FirstChunk = cmp.Or(opts.FirstChunk, opts.MaxGap)
	return &StallDetector{opts: opts, lastChunk: now, gaps: -1}
}

// RecordChunk records that a chunk has arrived.
func (p *StallDetector) RecordChunk(now time.Time) {
	gap := now.Sub(p.lastChunk).Seconds()
	p.lastChunk = now
	p.gaps++
	switch {
	case p.gaps < 1: // the wait for the first chunk is not a gap
	case p.gaps == 1:
		p.mean, p.deviation = gap, gap/2
	default:
		diff := gap - p.mean
		p.mean += gapWeight * diff
		p.deviation += gapWeight * (max(diff, -diff) - p.deviation)
	}
}

// Deadline returns the deadline for the next chunk. After it, the stream counts as
// stalled.
func (p *StallDetector) Deadline() time.Time {
	if p.gaps < 0 {
		return p.lastChunk.Add(p.opts.FirstChunk)
	}
	if p.gaps < minGaps {
		return p.lastChunk.Add(p.opts.MaxGap)
	}
	allowed := time.Duration((p.mean + p.opts.Deviations*p.deviation) * float64(time.Second))
	return p.lastChunk.Add(min(max(allowed, time.Duration(minMeanMultiple*p.mean*float64(time.Second)), p.opts.MinGap), p.opts.MaxGap))
}
