package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// brittleUpstream is an upstream that lets none wait from the end of a period of notice on.
type brittleUpstream struct {
	slots    int
	running  []time.Time // when the running requests end
	rejected []time.Time
	most     int // largest number of rejections within rejectionWindow
}

func (u *brittleUpstream) take(queue int, now time.Time) bool {
	for len(u.running) > 0 && !now.Before(u.running[0]) {
		u.running = u.running[1:]
	}
	if len(u.running) < u.slots+queue {
		u.running = append(u.running, now.Add(100*time.Millisecond))
		return true
	}
	for len(u.rejected) > 0 && now.Sub(u.rejected[0]) >= rejectionWindow {
		u.rejected = u.rejected[1:]
	}
	u.rejected = append(u.rejected, now)
	u.most = max(u.most, len(u.rejected))
	return false
}

// limitReport is a report of an upstream's statement to all VMs, and when it arrives.
type limitReport struct {
	update  LimitUpdate
	arrives time.Time
}

// reportDelay is how long a report takes.
const reportDelay = 300 * time.Millisecond

// TestRejectionsOfBrittleUpstreamStayWithinBound checks that VMs which send as much as they may
// cause no more rejections together than a brittle upstream bears, and use it all the same.
func TestRejectionsOfBrittleUpstreamStayWithinBound(t *testing.T) {
	const notice, bears = 3 * time.Second, 2
	for _, vms := range []int{1, 6, 61} {
		for _, slots := range []int{4, 32} {
			t.Run(fmt.Sprintf("%d VMs, %d slots", vms, slots), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(1, 2))
				var names []contract.VMID
				for n := range vms {
					names = append(names, contract.VMID(fmt.Sprintf("vm%d", n)))
				}
				tables := make([]*Table, vms)
				for n := range tables {
					tables[n] = NewTable(Options{Listed: true})
					tables[n].ApplyList(List{
						Entries:     []Entry{{ID: "u", Service: "s", Address: "u", DataCentre: "d", Release: "v1", Slots: slots}},
						Connections: func(contract.ServiceID) int { return 100 },
					})
					tables[n].SetOwners("d", Owners{Self: names[n], VMs: names})
					tables[n].SetVMs(vms)
				}
				start := time.Unix(100, 0)
				u := &brittleUpstream{slots: slots}
				ends := make([][]time.Time, vms)
				var reports []limitReport // on their way to all VMs
				served := 0
				for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(time.Millisecond) {
					enforced := now.Sub(start) >= notice
					queue := 2 * slots
					if enforced {
						queue = 0
					}
					for len(reports) > 0 && !now.Before(reports[0].arrives) {
						for _, tb := range tables {
							tb.MergeLimit(reports[0].update, true, now)
						}
						reports = reports[1:]
					}
					for range 4 {
						n := random.IntN(vms)
						tb := tables[n]
						for len(ends[n]) > 0 && !now.Before(ends[n][0]) {
							ends[n] = ends[n][1:]
							tb.RecordDone("u", Succeeded, 0, now)
						}
						if _, err := tb.Pick(listedQuery, now, random); err != nil {
							continue
						}
						tb.RecordSent("u")
						ok := u.take(queue, now)
						stated := RateLimit{Brittle: LimitStated, Rejections: bears}
						if change := tb.ApplyLimitAnswer(contract.UpstreamInstance{Upstream: "u"}, stated, now, now); change.Report {
							reports = append(reports, limitReport{change.Update, now.Add(reportDelay)})
						}
						if !ok {
							tb.RecordDone("u", Rejected, 0, now)
							continue
						}
						ends[n] = append(ends[n], now.Add(100*time.Millisecond))
						if enforced {
							served++
						}
					}
					if !enforced {
						u.rejected, u.most = nil, 0
					}
				}
				t.Logf("%d served, %d rejected within a second at most", served, u.most)
				is.True(u.most <= bears)
				is.True(served > slots*9*10/4) // a quarter of what the slots can serve in 9 s
			})
		}
	}
}

// TestBrittleStatementEnds checks that a statement ends with an answer that does not repeat it, but
// not with an earlier request's answer nor with a rejection, that a rate limit outlasts it, and that
// a VM which may send nothing learns of the end through one request after a while.
func TestBrittleStatementEnds(t *testing.T) {
	is := is.New(t)
	tb, _ := newListedTable(1)
	tb.SetOwners("d", Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}})
	tb.SetVMs(100) // more than the slots: this VM may send nothing to another data centre
	now := time.Unix(100, 0)
	instance := contract.UpstreamInstance{Upstream: "e0"}
	s := tb.states["e0"]
	tb.ApplyLimitAnswer(instance, RateLimit{Statement: LimitStated, PerSecond: 8, Brittle: LimitStated, Rejections: 3}, now, now)
	is.True(!tb.withinRoom(s, now))
	tb.ApplyLimitAnswer(instance, RateLimit{Statement: LimitNone, Brittle: LimitNone}, now.Add(-time.Millisecond), now)
	is.True(!tb.withinRoom(s, now))
	tb.ApplyLimitAnswer(instance, RateLimit{}, now, now)
	is.True(!tb.withinRoom(s, now))
	late := now.Add(remoteProbeDelay + 10*probeStagger)
	is.True(tb.withinRoom(s, late))
	tb.claimShare(s, late)
	is.True(!tb.withinRoom(s, late))
	tb.ApplyLimitAnswer(instance, RateLimit{Brittle: LimitNone}, late, late)
	is.True(tb.withinRoom(s, late))
	is.True(tb.HasLimit(instance))
}

// TestDivideRoom checks that the shares of all VMs together never exceed the slots of an upstream, and
// that each slot-holding VM has a share.
func TestDivideRoom(t *testing.T) {
	is := is.New(t)
	for slots := 1; slots <= 40; slots++ {
		for local := 1; local <= 61; local++ {
			for _, remote := range []int{0, 1, 4, 20, 240} {
				r := divideRoom(slots, local, remote)
				is.True(r.local*r.localSenders+r.extra+r.remote*remote <= slots)
				is.True(r.extra < r.localSenders)
				is.True(r.local > 0 && r.localSenders > 0)
			}
		}
	}
	is.Equal(divideRoom(32, 2, 4), room{senders: 6, local: 8, localSenders: 2, remote: 4})
	is.Equal(divideRoom(6, 2, 4), room{senders: 6, local: 1, localSenders: 2, remote: 1})
	is.Equal(divideRoom(6, 3, 4), room{senders: 3, local: 2, localSenders: 3})
}

// TestRejectionPause checks the pauses after a rejection, by the number of VMs and what is borne.
func TestRejectionPause(t *testing.T) {
	is := is.New(t)
	is.Equal(rejectionPause(20, 6), rejectionWindow)
	is.Equal(rejectionPause(3, 6), 2500*time.Millisecond)
	is.Equal(rejectionPause(3, 600), maxRejectionPause)
	is.Equal(rejectionPause(0, 6), maxRejectionPause)
}

// TestBrittleStatementIsInherited checks that a new instance has the bound of its service until its own
// answer says otherwise, which all VMs hear, and that a statement is forgotten after a while, also if
// VMs go on telling it to each other.
func TestBrittleStatementIsInherited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	list := func(tb *Table, ids ...contract.UpstreamID) {
		var entries []Entry
		for _, id := range ids {
			entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: "d", Release: "v1", Slots: 4, Incarnation: 1})
		}
		tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }, Now: now})
	}
	instance := func(id contract.UpstreamID) contract.UpstreamInstance {
		return contract.UpstreamInstance{Upstream: id, Incarnation: 1}
	}
	stated, none := RateLimit{Brittle: LimitStated, Rejections: 2}, RateLimit{Statement: LimitNone, Brittle: LimitNone}
	tb, other := NewTable(Options{Listed: true}), NewTable(Options{Listed: true})
	list(tb, "u1", "u2")
	list(other, "u3")
	change := tb.ApplyLimitAnswer(instance("u1"), stated, now, now)
	is.True(tb.states["u2"].notices.isBrittle()) // has not stated it yet
	other.LearnService(change.Update, now)       // does not list the instance that stated it
	is.True(other.states["u3"].notices.isBrittle())

	list(tb) // all are gone
	started := NewTable(Options{Listed: true})
	is.True(tb.LimitsDigest() != started.LimitsDigest()) // a VM that starts hears of it
	for _, k := range tb.Limits(10, now) {
		started.LearnService(k, now)
	}
	list(started, "u4")
	is.True(started.states["u4"].notices.isBrittle())

	tb.ApplyListChanges(List{
		Entries:     []Entry{{ID: "u4", Service: "s", Address: "u4", DataCentre: "d", Release: "v1", Slots: 4, Incarnation: 1}},
		Connections: func(contract.ServiceID) int { return 100 }, Now: now,
	}, nil)
	tb.SetOwners("d", Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}})
	is.Equal(fill(tb, tb.states["u4"], now), 4)
	now = now.Add(time.Second)
	change = tb.ApplyLimitAnswer(instance("u4"), none, now, now)
	is.True(change.Report && change.ReportRemote)
	is.True(!tb.states["u4"].notices.isBrittle())
	started.MergeLimit(change.Update, true, now)
	is.True(!started.states["u4"].notices.isBrittle())

	for range 2 { // each VM hears of it from the other
		now = now.Add(brittleServiceTTL * 3 / 4)
		tb.CompareUpstreams("d", now)
		for _, k := range tb.Limits(10, now) {
			started.LearnService(k, now)
		}
		for _, k := range started.Limits(10, now) {
			tb.LearnService(k, now)
		}
		started.CompareUpstreams("d", now)
	}
	list(started, "u5")
	is.True(!started.states["u5"].notices.isBrittle())
}

// TestOrphansUseRoom guards against a VM that takes the slot of a request whose caller has left for free,
// while the upstream still works on the request.
func TestOrphansUseRoom(t *testing.T) {
	const work = 100 * time.Millisecond
	now := time.Unix(100, 0)
	left := now.Add(work / 2)
	for name, c := range map[string]struct {
		deadline, free time.Time
	}{
		"until it should have ended": {now.Add(time.Minute), now.Add(orphanFactor * work)},
		"until its deadline":         {now.Add(work), now.Add(work)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, s := brittleTable(now)
			tb.RecordWorkTime("d0", work)
			is.Equal(fill(tb, s, now), s.slots)
			tb.RecordOrphan("d0", now, c.deadline, left)
			tb.RecordDone("d0", Abandoned, 0, left)
			is.True(!tb.withinRoom(s, left))
			is.True(!tb.withinRoom(s, c.free.Add(-time.Millisecond)))
			is.True(tb.withinRoom(s, c.free))
		})
	}
}

// brittleTable returns a table with one brittle upstream of the VM's own data centre, and its state.
func brittleTable(now time.Time) (*Table, *state) {
	tb := NewTable(Options{Listed: true})
	tb.ApplyList(List{
		Entries:     []Entry{{ID: "d0", Service: "s", Address: "d0", DataCentre: "d", Release: "v1", Slots: 16}},
		Connections: func(contract.ServiceID) int { return 100 }, Now: now,
	})
	tb.SetOwners("d", Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}})
	tb.ApplyLimitAnswer(contract.UpstreamInstance{Upstream: "d0"}, RateLimit{Brittle: LimitStated, Rejections: 2}, now, now)
	return tb, tb.states["d0"]
}

// fill sends as many requests as there is room for and returns their number.
func fill(tb *Table, s *state, now time.Time) (sent int) {
	for tb.withinRoom(s, now) {
		tb.RecordSent(s.upstream.ID)
		sent++
	}
	return sent
}

// TestStartingVMLeavesRoom guards against a VM that has just started, knows no other VM yet and takes all
// slots of a brittle upstream for its own.
func TestStartingVMLeavesRoom(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		owners Owners
		most   int
	}{
		"no other VM known yet":      {Owners{Self: "vm1", Incomplete: true}, 0},
		"there may be more VMs":      {Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}, Incomplete: true}, 1},
		"there are no other VMs":     {Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}}, 16},
		"the other VMs are known":    {Owners{Self: "vm1", VMs: []contract.VMID{"vm1", "vm2", "vm3", "vm4"}}, 4},
		"some of the VMs are known":  {Owners{Self: "vm1", VMs: []contract.VMID{"vm1", "vm2"}, Incomplete: true}, 1},
		"this VM knows nothing else": {Owners{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, s := brittleTable(now)
			tb.SetOwners("d", c.owners)
			is.Equal(fill(tb, s, now), c.most)
		})
	}
}

// TestShareGrowsLate guards against two VMs that use the same slots of a brittle upstream, because one
// knows earlier than the other that they have changed hands.
func TestShareGrowsLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, s := brittleTable(now)
	four := Owners{Self: "vm1", VMs: []contract.VMID{"vm1", "vm2", "vm3", "vm4"}}
	tb.SetOwners("d", four)
	is.Equal(fill(tb, s, now), 4)
	tb.SetOwners("d", Owners{Self: "vm1", VMs: []contract.VMID{"vm1"}})
	is.Equal(fill(tb, s, now), 0)
	is.Equal(fill(tb, s, now.Add(shareGrowthDelay-time.Millisecond)), 0)
	is.Equal(fill(tb, s, now.Add(shareGrowthDelay)), 12)
	tb.SetOwners("d", four)
	is.True(!tb.withinRoom(s, now.Add(shareGrowthDelay)))
}

// TestStartedVMUsesItsShare guards against refusing callers for whom there are slots: a VM that has known
// all others since soon after its start waited again for its share to grow once it was sure of that.
func TestStartedVMUsesItsShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, s := brittleTable(now)
	all := Owners{Self: "vm1", VMs: []contract.VMID{"vm1", "vm2", "vm3", "vm4"}, Incomplete: true}
	tb.SetOwners("d", all)
	is.Equal(fill(tb, s, now), 1)
	all.Incomplete = false
	tb.SetOwners("d", all)
	is.Equal(fill(tb, s, now), 3) // four in all
}

// TestFewVMsHoldRoom checks that the VMs of a data centre agree on the few that hold the slots of a
// service with less than a few slots for each of them, that all slots are held and none twice, and that
// another VM takes over from one that is gone, late.
func TestFewVMsHoldRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var names []contract.VMID
	for n := range 20 {
		names = append(names, contract.VMID(fmt.Sprintf("vm%d", n)))
	}
	// sendAll fills the upstream from all VMs but those that are gone, and returns who sent.
	tables := make(map[contract.VMID]*Table)
	sendAll := func(gone []contract.VMID, now time.Time) (senders []contract.VMID, sent int) {
		for _, id := range names {
			if slices.Contains(gone, id) {
				continue
			}
			tables[id].SetOwners("d", Owners{Self: id, VMs: names, Gone: gone})
			if n := fill(tables[id], tables[id].states["d0"], now); n > 0 {
				senders, sent = append(senders, id), sent+n
			}
		}
		return senders, sent
	}
	for _, id := range names {
		tables[id], _ = brittleTable(now)
	}
	holders, sent := sendAll(nil, now)
	slices.Sort(holders)
	is.Equal(len(holders), 16/slotsPerHolder)
	is.Equal(sent, 16)
	for _, id := range names {
		known := tables[id].RoomHolders("s")
		if slices.Contains(holders, id) {
			known = append(known, id)
		}
		slices.Sort(known)
		is.Equal(known, holders)
	}
	gone := holders[:1]
	_, sent = sendAll(gone, now)
	is.Equal(sent, 0) // the others wait until its requests have ended
	_, sent = sendAll(gone, now.Add(shareGrowthDelay))
	is.True(sent >= 16/len(holders) && sent <= 16/len(holders)+1)
}
