package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/vm"
)

// leaf is a VM that has this one as its hub.
type leaf struct {
	member vm.Member
	at     time.Time // when it last said so
}

// Timings of hubs and leaves.
const (
	// leafFor is how long a VM counts as a leaf of this one after it has said so: a
	// word of it may be lost, or two.
	leafFor = 3 * time.Second
	// shunFor is how long a VM that did not answer is passed over.
	shunFor = 5 * time.Second
	// graveEvery is the least time between two rounds that pass on bad answers of a
	// release on trial: a release is to be left everywhere within seconds of the
	// last of them.
	graveEvery = 300 * time.Millisecond
	// hubsTried is how many hubs a leaf asks at a beat until one answers.
	hubsTried = 3
)

// count is how many VMs a data centre has, as one of them has counted.
type count struct {
	n  int
	at time.Time
	// most is the largest count of late, and mostAt when it was heard.
	most   int
	mostAt time.Time
}

// countFor is how long a count stands in for a later one that is smaller: a budget
// that is split by too few is overspent, and VMs that are away are mostly back
// within a minute.
const countFor = time.Minute

// counted takes in how many VMs a data centre has. The caller holds mu.
func (p *Peers) counted(dc contract.DataCentreID, n int, at, now time.Time) {
	c := p.counts[dc]
	if c.n > 0 && !at.After(c.at) {
		return
	}
	c.n, c.at = n, at
	if n >= c.most || now.Sub(c.mostAt) > countFor {
		c.most, c.mostAt = n, now
	}
	p.counts[dc] = c
}

// countAll returns how many VMs there are in all, near of them in this data centre.
// The caller holds mu.
func (p *Peers) countAll(near int, now time.Time) int {
	p.counted(p.dc, near, now, now)
	total := 0
	for _, c := range p.counts {
		total += c.most
	}
	return total
}

// shunned tells whether a VM has not answered of late. The caller holds mu.
func (p *Peers) shunned(address string, now time.Time) bool { return now.Before(p.shun[address]) }

// answered notes whether a VM has answered, and logs when that changes.
func (p *Peers) answered(address string, err error) {
	p.mu.Lock()
	now := p.now()
	was := p.shunned(address, now)
	if err == nil {
		delete(p.shun, address)
	} else {
		p.shun[address] = now.Add(shunFor)
	}
	p.mu.Unlock()
	switch {
	case err != nil && !was:
		p.changed.Store(true)
		p.log.Info("peer-passed-over", append(logs.Failure(err), zap.Duration("for", shunFor))...)
	case err == nil && was:
		p.changed.Store(true)
		p.log.Info("peer-answers", zap.String("peer", address))
	}
}

// mesh returns the hubs that this hub speaks with at a beat: a word and its answer
// tell both, so one of two begins, and the other when it hears nothing.
func (p *Peers) mesh(v *view) []vm.Member {
	self := p.Watcher().VM
	return slices.DeleteFunc(p.otherHubs(v), func(m vm.Member) bool { return self > m.VM && m.Age < 3*beatEvery })
}

// otherHubs returns the hubs of this data centre but this VM.
func (p *Peers) otherHubs(v *view) []vm.Member {
	self := p.Watcher().VM
	return slices.DeleteFunc(slices.Clone(v.hubs), func(m vm.Member) bool { return m.VM == self })
}

// hubOf returns the hubs that this leaf asks, best first.
func (p *Peers) hubOf(v *view) []vm.Member {
	hubs := vm.HubsFor(p.Watcher().VM, p.otherHubs(v))
	return hubs[:min(hubsTried, len(hubs))]
}

// beatHub speaks with this leaf's hub, or with the next one when it says nothing.
func (p *Peers) beatHub(ctx context.Context, v *view) {
	work := p.ownWork()
	for _, m := range p.hubOf(v) {
		w := p.wordToHub()
		w.Work = work
		var mark uint64
		w.Usage, mark = p.usageFor(lifeOf(m))
		if p.tell(ctx, m.ControlLink, nearTimeout, w) {
			p.usageAnswered(lifeOf(m), mark)
			return
		}
	}
}

// joining tells whether this VM still looks for others to speak with.
func (p *Peers) joining(now time.Time) bool {
	if !p.Expected() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.settled || now.Sub(p.started) < settleFor
}

// join asks a VM that may know others, drawn from the seeds.
func (p *Peers) join(ctx context.Context) {
	w := p.word(hearsFar)
	w.Joins = true
	go func() {
		if p.tell(ctx, p.seedToAsk(), farTimeout, w) && !p.Settled() {
			notify(p.introduce) // its hub is known now
		}
	}()
}

// seedToAsk returns a seed, drawn: one of this data centre where some are known to live
// there, since an answer holds all that is known of the VMs here. With any seed, 281
// VMs that started together sent 2 MB of such answers between data centres in 3 s.
func (p *Peers) seedToAsk() string {
	seeds := p.seeds
	if near := p.nearOf(seeds); len(near) > 0 {
		seeds = near
	}
	return seeds[rand.IntN(len(seeds))]
}

// nearOf returns those of some link addresses at which a VM of this data centre lives.
func (p *Peers) nearOf(addresses []string) []string {
	v := p.look()
	var near []string
	for _, m := range v.near {
		if slices.Contains(addresses, m.ControlLink) {
			near = append(near, m.ControlLink)
		}
	}
	return near
}

// Settled tells whether this VM knows where it stands.
func (p *Peers) Settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled
}

// strangers returns addresses at which a VM is said to be, and nobody is heard of:
// a few, drawn, and only where this VM is a hub or knows nobody. Seeds come first,
// since VMs that start ask there.
func (p *Peers) strangers() []string {
	v := p.look()
	if !v.isHub && v.live > 1 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	known := make(map[string]bool)
	for _, m := range p.table.Live(now) {
		known[m.ControlLink] = true
	}
	for _, l := range p.leaves {
		known[l.member.ControlLink] = true
	}
	var seeds, others []string
	for _, s := range p.seeds {
		if !known[s] {
			seeds = append(seeds, s)
			known[s] = true
		}
	}
	for _, m := range p.silentNear(strangeFor, now) {
		if !known[m.ControlLink] {
			others = append(others, m.ControlLink)
			known[m.ControlLink] = true
		}
	}
	for a := range p.listed {
		if !known[a] && v.vms <= listedMost {
			others = append(others, a)
		}
	}
	for _, s := range [][]string{seeds, others} {
		rand.Shuffle(len(s), func(a, b int) { s[a], s[b] = s[b], s[a] })
	}
	return append(seeds[:min(1, len(seeds))], others[:min(strangersAtOnce, len(others))]...)
}

// strangeFor is how long a hub looks for a VM that was heard of before: after it,
// the VM itself has found another one, or is gone for good. listedMost is up to how
// many VMs those are looked for too that only the store lists: where there are more,
// each hub would try all of the other data centres, whom it never hears of.
const (
	strangeFor = time.Minute
	listedMost = regionMost
)

// silentNear returns the VMs of this data centre that count as gone and were heard of
// within an age. The caller holds mu.
func (p *Peers) silentNear(within time.Duration, now time.Time) []vm.Member {
	return slices.DeleteFunc(p.table.Silent(within, now), func(m vm.Member) bool { return m.DataCentre != p.dc })
}

// hasLeaves tells whether any VM has this one as its hub.
func (p *Peers) hasLeaves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, l := range p.leaves {
		if now.Sub(l.at) <= leafFor {
			return true
		}
	}
	return false
}

// children returns this VM's leaves, by name.
func (p *Peers) children() []vm.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.childrenLocked(p.now())
}

func (p *Peers) childrenLocked(now time.Time) []vm.Member {
	var out []vm.Member
	for _, id := range slices.Sorted(maps.Keys(p.leaves)) {
		l := p.leaves[id]
		if now.Sub(l.at) > leafFor {
			delete(p.leaves, id)
			continue
		}
		m := l.member
		m.Age = now.Sub(l.at)
		out = append(out, m)
	}
	return out
}

// silent logs that a VM did not answer.
func (p *Peers) silent(err error) { p.log.Debug("peer-silent", logs.Failure(err)...) }
