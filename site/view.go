package site

import (
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// view is what a VM makes of the VMs that it knows, at one moment. It is never
// changed once made.
type view struct {
	at time.Time
	// live is how many VMs live, vms how many there are at the most.
	live, vms int
	// ranked are the live VMs of the own data centre, this one among them, in the
	// order in which they would watch the store, without those that do not answer
	// this VM; hubs are the first of them.
	ranked, hubs []vm.Member
	// near are the other live VMs of the own data centre, by name, and digest
	// tells two VMs whether they know of the same ones.
	near   []vm.Member
	digest uint64
	// far are those of each other data centre that speak for it, those that do
	// not answer this VM last.
	far map[contract.DataCentreID][]vm.Member
	// place is where this VM stands, and isHub whether it is a hub.
	place Place
	isHub bool
	group upstream.Group
}

// Ages of views.
const (
	// viewFor is how old a view may be: who lives changes over seconds.
	viewFor = 250 * time.Millisecond
	// viewLeast is the age up to which a view holds though something has changed:
	// at a start, words of dozens of VMs come within milliseconds.
	viewLeast = 20 * time.Millisecond
)

// look returns the view of this moment. The caller does not hold mu.
func (p *Peers) look() *view {
	if v := p.seen.Load(); v != nil {
		age := p.now().Sub(v.at)
		if age < viewLeast || age < viewFor && !p.changed.Load() {
			return v
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Store(false)
	v := p.makeView(p.now())
	p.seen.Store(v)
	return v
}

// makeView looks at all that is known. The caller holds mu.
func (p *Peers) makeView(now time.Time) *view {
	self := p.table.Self()
	live := p.table.Live(now)
	v := &view{at: now, live: len(live), far: make(map[contract.DataCentreID][]vm.Member)}
	own := []vm.Member{self}
	for _, m := range live {
		if m.DataCentre == p.dc && m.VM != self.VM {
			v.near = append(v.near, m)
			own = append(own, m)
		}
	}
	v.digest = vm.DigestOf(own)
	v.ranked = p.answering(vm.Ranked(own, p.dc), now)
	v.hubs = vm.Hubs(v.ranked)
	v.isHub = slices.ContainsFunc(v.hubs, func(m vm.Member) bool { return m.VM == self.VM })
	for _, m := range p.table.Far(speakers+spareSpeakers, now) {
		v.far[m.DataCentre] = append(v.far[m.DataCentre], m)
	}
	for dc, members := range v.far {
		v.far[dc] = p.answeringFirst(members, now)
	}
	v.place = p.placeIn(v)
	v.vms = max(p.countAll(len(own), now), v.live, len(p.listed)+1)
	v.group = upstream.Group{Region: v.vms <= regionMost, VMs: len(own)}
	if v.group.Region {
		v.group.VMs = v.vms
	}
	return v
}

// Owners returns the VMs that share the cold upstreams of this data centre: those
// that live and those that fell silent of late, which may only be cut off from this
// one and go on sending. A VM that has just started may not know them all yet; one
// that nobody of its own data centre has answered sends none at first.
func (p *Peers) Owners() upstream.Owners {
	v := p.look()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	self := p.table.Self().VM
	o := upstream.Owners{Self: self, Unsure: p.Expected() && now.Sub(p.started) < settleFor}
	if p.Expected() && !p.settled {
		if o.Unsure {
			return o
		}
		o.Unsure = true
	}
	o.VMs = append(o.VMs, self)
	for _, m := range append(slices.Clone(v.near), p.silentNear(ownersKept, now)...) {
		o.VMs = append(o.VMs, m.VM)
	}
	slices.Sort(o.VMs)
	return o
}

// ownersKept is how long a silent VM counts as one that shares cold upstreams: as long
// as a cut between VMs of a data centre is likely to last. A VM that is gone leaves its
// part unused meanwhile.
const ownersKept = time.Minute

// placeIn returns where this VM stands among those that could watch the store for
// its region. The caller holds mu.
func (p *Peers) placeIn(v *view) Place {
	self := p.table.Self().VM
	place := Place{Alone: len(v.near) == 0 && p.Expected(), Near: slices.IndexFunc(v.ranked, func(m vm.Member) bool { return m.VM == self })}
	for dc := range v.far {
		if dc < p.dc && p.sameRegion(dc) {
			place.DataCentre++
		}
	}
	if !p.settled && p.firstStart {
		place.Near = max(place.Near, unsettledPlace) // its place is not known yet
	}
	return place
}

// answering leaves out the VMs that have not answered this one of late. The caller
// holds mu.
func (p *Peers) answering(members []vm.Member, now time.Time) []vm.Member {
	return slices.DeleteFunc(members, func(m vm.Member) bool { return p.shunned(m.ControlLink, now) })
}

// answeringFirst puts the VMs that have not answered this one of late last. The
// caller holds mu.
func (p *Peers) answeringFirst(members []vm.Member, now time.Time) []vm.Member {
	var first, last []vm.Member
	for _, m := range members {
		if p.shunned(m.ControlLink, now) {
			last = append(last, m)
		} else {
			first = append(first, m)
		}
	}
	return append(first, last...)[:min(speakers, len(members))]
}
