package site

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/vm"
)

// counter is a kind of objects of which only the newest revision counts.
type counter struct {
	// mu guards the fields below.
	mu     sync.Mutex
	at     contract.Revision
	pulled int // how often it was handed over whole
}

func (c *counter) status() (Have, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Have{Kind: "k", Last: c.at, At: c.at}, true
}

func (c *counter) compare(h Have) Compared {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Compared{Lacks: h.Last > c.at, Wanted: Wanted{Kind: "k", After: c.at, Holds: true}}
}

func (c *counter) since(contract.Revision, bool) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Delta{Kind: "k", At: c.at}
}

func (c *counter) feed(d Delta, _ Have, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = max(c.at, d.At)
	c.pulled++
}

func (c *counter) asks() bool { return false }

// spreadFleet is VMs of two data centres that keep in touch over loopback.
type spreadFleet struct {
	peers    []*Peers
	counters []*counter
}

func startSpread(t *testing.T, ctx context.Context, each int) *spreadFleet {
	t.Helper()
	f := &spreadFleet{}
	var members []vm.Member
	for _, dc := range []contract.DataCentreID{"d", "e"} {
		for i := range each {
			p, h, m := testPeers(t, fmt.Sprintf("%s%02d", dc, i), dc)
			go func() { // nobody asks what is told of prompts
				for {
					select {
					case <-ctx.Done():
						return
					case <-h.sent:
					case <-h.opinions:
					}
				}
			}()
			c := &counter{at: 1}
			p.share("k", c)
			f.peers, f.counters, members = append(f.peers, p), append(f.counters, c), append(members, m)
		}
	}
	for _, p := range f.peers {
		p.meetAll(members)
		go p.Run(ctx)
	}
	return f
}

// spreadWithin bounds the wait for a change: far beyond what it takes, so that a busy
// machine does not decide.
const spreadWithin = 20 * time.Second

// until waits until all VMs but some know a revision.
func (f *spreadFleet) until(t *testing.T, at contract.Revision, but map[int]bool) {
	t.Helper()
	for end := time.Now().Add(spreadWithin); ; time.Sleep(10 * time.Millisecond) {
		lacks := 0
		for i, c := range f.counters {
			if have, _ := c.status(); have.Last < at && !but[i] {
				lacks++
			}
		}
		if lacks == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d VMs do not know revision %d", lacks, at)
		}
	}
}

// TestChangeReachesAll has one VM learn of changes: all others get them, over two
// levels and a border between data centres, also after all hubs of a data centre but one
// have gone without a word.
func TestChangeReachesAll(t *testing.T) {
	is := is.New(t)
	const each = 12
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startSpread(t, ctx, each)
	change := func(from int, at contract.Revision) {
		f.counters[from].mu.Lock()
		f.counters[from].at = at
		f.counters[from].mu.Unlock()
		f.peers[from].News(ctx)
	}
	change(0, 2)
	f.until(t, 2, nil)
	gone := make(map[int]bool)
	hubs := f.peers[each].look().hubs
	is.Equal(len(hubs), leastHubsHere)
	for i, p := range f.peers {
		if p.Watcher().VM == hubs[0].VM {
			gone[i] = true
			is.NoErr(p.endpoint.Close())
		}
	}
	change(0, 3)
	f.until(t, 3, gone)
}

// leastHubsHere is how many hubs a data centre of twelve VMs has.
const leastHubsHere = 2

// TestOneHandOverAtATime checks that a list is asked for once while it comes, however
// many words tell of it, and of another VM when the first has been silent for a while.
func TestOneHandOverAtATime(t *testing.T) {
	is := is.New(t)
	p, now := quietPeers(t, vm.Member{VM: "a", DataCentre: "d", ControlLink: "10.0.0.1:1"})
	is.True(p.beginPull("k", "hub"))
	is.True(!p.beginPull("k", "hub"))
	is.True(!p.beginPull("k", "other"))
	is.True(p.beginPull("l", "hub"))
	p.now = func() time.Time { return now.Add(pullPatience) }
	is.True(!p.beginPull("k", "hub"))
	is.True(p.beginPull("k", "other"))
	p.endPull("k", "hub") // too late to end the other's
	is.True(!p.beginPull("k", "other"))
	p.endPull("k", "other")
	is.True(p.beginPull("k", "hub"))
}
