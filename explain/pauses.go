package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// streamLateCause returns why a stream that began in time was late, or "" if it was not.
// A stream with both causes counts as paused.
func streamLateCause(delivered *Line) string {
	switch {
	case pausedTooLong(delivered):
		return causePaused
	case millisField(delivered, "forward_ms") > lateEvent:
		return causeForwarded
	}
	return ""
}

// pausedTooLong reports whether the longest pause of a delivered stream exceeded its target.
func pausedTooLong(delivered *Line) bool {
	target := millisField(delivered, "pause_target_ms")
	return target > 0 && millisField(delivered, "pause_ms") > target
}

// upstreamPauses counts the delivered streams whose longest pause was at an upstream, and those
// among them that paused for longer than their target.
type upstreamPauses struct{ streams, late int }

// lateShare returns the share of the streams that paused for too long.
func (p *upstreamPauses) lateShare() float64 { return float64(p.late) / float64(p.streams) }

// pauseUpstream returns the upstream at which the longest pause of a stream was. If the stream
// was resumed elsewhere during the pause, this is the upstream that had fallen silent.
func pauseUpstream(delivered *Line) string {
	return cmp.Or(delivered.Value("paused_from"), delivered.Value("paused_at"))
}

// latePauses returns the counts of the upstreams. Each stream with a target counts once.
func latePauses(requests map[string]*requestLog) map[string]*upstreamPauses {
	upstreams := make(map[string]*upstreamPauses)
	for _, r := range requests {
		if r.outcome == nil || r.outcome.Event != "delivered" || millisField(r.outcome, "pause_target_ms") == 0 {
			continue
		}
		id := pauseUpstream(r.outcome)
		if upstreams[id] == nil {
			upstreams[id] = &upstreamPauses{}
		}
		upstreams[id].streams++
		if pausedTooLong(r.outcome) {
			upstreams[id].late++
		}
	}
	return upstreams
}

// writeLatePauses prints the table of late pauses by upstream. Upstreams whose streams pause
// too long most often come first. The table is omitted if no stream paused for too long.
func writeLatePauses(w io.Writer, requests map[string]*requestLog) error {
	upstreams := latePauses(requests)
	total := 0
	for _, p := range upstreams {
		total += p.late
	}
	if total == 0 {
		return nil
	}
	ids := sortedKeys(upstreams)
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(upstreams[b].lateShare(), upstreams[a].lateShare())
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, id := range ids {
		p := upstreams[id]
		if _, err := fmt.Fprintf(t, "upstream %s\tstreams %d\tlate pauses %d\t%s\n", id, p.streams, p.late, percentage(p.late, p.streams)); err != nil {
			return err
		}
	}
	return t.Flush()
}
