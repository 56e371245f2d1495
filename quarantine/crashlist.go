package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// withCrashes returns the crashes of the record and a list that tell most, oldest first.
func (c *Record) withCrashes(others []Crash) []Crash {
	return c.trimmed(mergeCrashes(c.Crashes, others), c.maxCrashes())
}

// maxCrashes returns how many crashes the record keeps.
func (c *Record) maxCrashes() int {
	if c.IsPart() {
		return maxPartCrashesKept
	}
	return maxCrashesKept
}

// mergeCrashes returns the crashes of both lists, oldest first.
// An incarnation of an upstream
// crashes only once. Of several reports of one crash, the earliest is the most accurate,
// since gossip arrives with a delay. The shortest run tells when the content was sent last:
// a request that waited at the upstream for long does not hide a later one
// that was sent after the previous crash. Gossip delays do not change how long a run took.
func mergeCrashes(a, b []Crash) []Crash {
	out := slices.Clone(a)
	for _, e := range b {
		i := slices.IndexFunc(out, func(o Crash) bool { return o.sameInstance(e.UpstreamInstance) })
		if i < 0 {
			out = append(out, e)
			continue
		}
		if e.Incarnation == 0 {
			continue
		}
		if out[i].Incarnation == 0 {
			out[i] = e
			continue
		}
		shortest := min(out[i].ran(), e.ran())
		out[i].BrokenAt = earliest(out[i].BrokenAt, e.BrokenAt)
		out[i].SentAt = out[i].BrokenAt.Add(-shortest)
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(a.BrokenAt.Compare(b.BrokenAt), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// ran returns how long the request ran until the upstream crashed.
func (c Crash) ran() time.Duration { return c.BrokenAt.Sub(c.SentAt) }

// hasShorterRun reports whether any crash in the list has a shorter run than the same crash in
// the old list.
func hasShorterRun(old, crashes []Crash) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool {
		return slices.ContainsFunc(old, func(o Crash) bool { return o.UpstreamInstance == c.UpstreamInstance && c.ran() < o.ran() })
	})
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// trimmed returns the n crashes that tell most: of the others, those that came at the same time as
// another one are dropped first, then the oldest.
func (c *Record) trimmed(crashes []Crash, n int) []Crash {
	out := slices.Clone(crashes)
	for len(out) > n {
		drop, last := 0, out[0].BrokenAt
		for i, e := range out[1:] {
			if !c.follows(e, last) {
				drop = i + 1
				break
			}
			last = e.BrokenAt
		}
		out = slices.Delete(out, drop, drop+1)
	}
	return out
}
