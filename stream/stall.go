// Package stream watches over streamed answers: whether one has stalled, and
// how a broken one goes on. It is pure; the time is given.
package stream

import (
	"cmp"
	"time"
)

// PaceOptions tune the detection of stalls.
type PaceOptions struct {
	// Longest is the gap after which a stream counts as stalled, whatever its
	// own pace. Zero means 10 s.
	Longest time.Duration
	// Shortest is the gap below which none does. Zero means 400 ms.
	Shortest time.Duration
	// Deviations is how many mean deviations above the mean gap a gap has to
	// be. Zero means 16.
	Deviations float64
	// First is how long the first chunk may take. Zero means Longest.
	First time.Duration
}

// Defaults of PaceOptions.
const (
	defaultLongest    = 10 * time.Second
	defaultShortest   = 400 * time.Millisecond
	defaultDeviations = 16.0
	minGaps           = 4
	// meanFactor is how many times the mean gap a gap has to be at least.
	meanFactor = 8
	gapWeight  = 0.15
)

// Pace learns the gaps between the chunks of one stream and tells by when the
// next has to come. A stream that is slow all along is healthy; one that
// becomes silent against its own pace is not.
type Pace struct {
	opts      PaceOptions
	last      time.Time
	gaps      int
	mean      float64 // seconds
	deviation float64 // seconds, mean absolute
}

// NewPace returns the pace of a stream that starts now.
func NewPace(opts PaceOptions, now time.Time) *Pace {
	opts.Longest = cmp.Or(opts.Longest, defaultLongest)
	opts.Shortest = cmp.Or(opts.Shortest, defaultShortest)
	opts.Deviations = cmp.Or(opts.Deviations, defaultDeviations)
	opts.First = cmp.Or(opts.First, opts.Longest)
	return &Pace{opts: opts, last: now, gaps: -1}
}

// Chunk notes that a chunk has come.
func (p *Pace) Chunk(now time.Time) {
	gap := now.Sub(p.last).Seconds()
	p.last = now
	p.gaps++
	switch {
	case p.gaps < 1: // the wait for the first chunk is not a gap
	case p.gaps == 1:
		p.mean, p.deviation = gap, gap/2
	default:
		off := gap - p.mean
		p.mean += gapWeight * off
		p.deviation += gapWeight * (max(off, -off) - p.deviation)
	}
}

// Due returns by when the next chunk has to come, else the stream is stalled.
func (p *Pace) Due() time.Time {
	if p.gaps < 0 {
		return p.last.Add(p.opts.First)
	}
	if p.gaps < minGaps {
		return p.last.Add(p.opts.Longest)
	}
	allowed := time.Duration((p.mean + p.opts.Deviations*p.deviation) * float64(time.Second))
	return p.last.Add(min(max(allowed, time.Duration(meanFactor*p.mean*float64(time.Second)), p.opts.Shortest), p.opts.Longest))
}
