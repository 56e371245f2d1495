package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// machineSecond is what the VM with the most callers used in one second.
type machineSecond struct {
	at            time.Time
	vm            string
	used, held    time.Duration
	linkBytes, mb int
}

// observeMachines records each second what the VM with the most callers used, until ctx ends.
func (c *entryCallers) observeMachines(ctx context.Context) {
	for ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(time.Second))
		var most machineSecond
		for _, v := range c.fleet.limited {
			used, held := v.takeUsage()
			s := machineSecond{at: time.Now(), vm: v.name, used: used, held: held, linkBytes: v.link.takeBytes()}
			if s.linkBytes >= most.linkBytes {
				most = s
				most.mb = residentMB(v.process())
			}
		}
		c.mu.Lock()
		c.seconds = append(c.seconds, most)
		c.mu.Unlock()
	}
}

// process returns the id of the VM's current process.
func (v *vm) process() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command.Process.Pid
}

// entryShares are counts of requests.
type entryShares struct {
	sent, firstRead, served int
	ends                    [numberOfEnds]int // of all tries
	took                    []time.Duration   // of the requests that were served
}

func (s *entryShares) add(r entryResult) {
	s.sent++
	for _, t := range r.tries {
		s.ends[t.end]++
	}
	if n := slices.IndexFunc(r.tries, func(t entryTry) bool { return t.end.wasRead() }); n >= 0 && r.tries[n].end == tryServed {
		s.firstRead++
	}
	if r.tries[len(r.tries)-1].end == tryServed {
		s.served++
		s.took = append(s.took, r.took)
	}
}

// first returns the share of the requests that were served at the first try that a VM has read.
func (s *entryShares) first() float64 { return float64(s.firstRead) / float64(max(s.sent, 1)) }

func (s *entryShares) String() string {
	slices.Sort(s.took)
	var median, late time.Duration
	if n := len(s.took); n > 0 {
		median, late = s.took[n/2], s.took[n*95/100]
	}
	var ends []string
	for e, n := range s.ends {
		if n > 0 {
			ends = append(ends, fmt.Sprintf("%s %d", entryEnd(e), n))
		}
	}
	return fmt.Sprintf("%d sent, %.4f served at the first try read, %.4f at any, took %v (median) %v (95%%); tries: %s", s.sent, s.first(),
		float64(s.served)/float64(max(s.sent, 1)), median.Round(time.Millisecond), late.Round(time.Millisecond), strings.Join(ends, ", "))
}

// report prints a trial second by second, and returns whether too few requests were served while the entry
// was uneven.
func (c *entryCallers) report(args arguments, unevenAt, evenAt time.Time) (failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, during, after entryShares
	bySecond := make(map[int]*entryShares)
	for _, r := range c.results {
		second := int(r.at.Sub(unevenAt).Seconds()+1000) - 1000
		if bySecond[second] == nil {
			bySecond[second] = &entryShares{}
		}
		bySecond[second].add(r)
		switch since := r.at.Sub(unevenAt); {
		case since < 0 && since > -entryBefore:
			before.add(r)
		case since > entryCounted && r.at.Before(evenAt):
			during.add(r)
		case r.at.After(evenAt.Add(entryCounted)):
			after.add(r)
		}
	}
	for _, m := range c.seconds {
		second := int(m.at.Sub(unevenAt).Seconds()+1000) - 1001
		if s := bySecond[second]; s != nil {
			fmt.Printf("%4d s: %s; most callers: %s, processor %.3f, stopped %.2f, link %.1f Mbit/s, %d MB\n", second, s, m.vm, m.used.Seconds(), m.held.Seconds(), float64(m.linkBytes)*8/1e6, m.mb)
		}
	}
	ratio := during.first() / max(before.first(), 0.001)
	fmt.Printf("before: %s\nuneven: %s\nafter:  %s\n", &before, &during, &after)
	fmt.Printf("entry: %d VMs, %s, %d a second: %.4f of before at the first try read (%.2f wanted)\n", args.VMs, args.Entry.Scope, args.Entry.PerSecond, ratio, args.Entry.Wanted)
	return ratio < args.Entry.Wanted
}
