package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"woaddoor/contract"
)

// brittleReplay replays VMs and the brittle upstreams of one service, without network and clock.
type brittleReplay struct {
	random    *rand.Rand
	now       time.Time
	enforced  bool
	tables    []*Table
	upstreams []*replayedBrittle
	reports   []limitReport // on their way to all VMs
	ends      []replayedEnd
	work      time.Duration
	// falls counts instances that failed, and listed the instances so far.
	falls, listed int
	served        int
}

// replayedBrittle is the current instance of an upstream; the ID is empty while it is gone.
type replayedBrittle struct {
	id         contract.UpstreamID
	listedAs   contract.UpstreamID // its entry remains until the next instance starts
	dataCentre contract.DataCentreID
	running    int
	rejected   []time.Time
	backAt     time.Time
}

// replayedEnd is when a request ends: at the VM that has sent it, or at its upstream only.
type replayedEnd struct {
	at       time.Time
	vm       int // -1: no VM waits for it any more
	upstream *replayedBrittle
	id       contract.UpstreamID
}

const (
	replayedSlots  = 6
	replayedBears  = 2
	replayedGone   = 3 * time.Second // how long a failed upstream is gone
	replayedCentre = 3               // data centres
)

func newBrittleReplay(vms, upstreams int, work time.Duration) *brittleReplay {
	r := &brittleReplay{random: rand.New(rand.NewPCG(3, 4)), now: time.Unix(100, 0), work: work}
	names := make(map[int][]contract.VMID)
	for n := range vms {
		names[n%replayedCentre] = append(names[n%replayedCentre], contract.VMID(fmt.Sprintf("vm%d", n)))
	}
	for n := range vms {
		t := NewTable(Options{Listed: true})
		t.SetOwners(r.centre(n), Owners{Self: contract.VMID(fmt.Sprintf("vm%d", n)), VMs: names[n%replayedCentre]})
		t.SetVMs(vms)
		r.tables = append(r.tables, t)
	}
	for n := range upstreams {
		r.upstreams = append(r.upstreams, &replayedBrittle{dataCentre: r.centre(n)})
	}
	for _, u := range r.upstreams {
		r.start(u)
	}
	return r
}

func (r *brittleReplay) centre(n int) contract.DataCentreID {
	return contract.DataCentreID(fmt.Sprintf("d%d", n%replayedCentre))
}

// start starts a new instance of an upstream, which all VMs list at once.
func (r *brittleReplay) start(u *replayedBrittle) {
	r.listed++
	former := u.listedAs
	u.id, u.running, u.rejected = contract.UpstreamID(fmt.Sprintf("u%d", r.listed)), 0, nil
	u.listedAs = u.id
	changed := List{Entries: []Entry{r.entry(u)}, Connections: func(contract.ServiceID) int { return 100 }, Now: r.now}
	for _, t := range r.tables {
		t.ApplyListChanges(changed, []contract.UpstreamID{former})
	}
}

// end ends the instance of an upstream. Its entry is gone once the next instance starts.
func (r *brittleReplay) end(u *replayedBrittle) {
	u.id, u.backAt = "", r.now.Add(replayedGone)
}

func (r *brittleReplay) entry(u *replayedBrittle) Entry {
	return Entry{ID: u.id, Service: "s", Address: string(u.id), DataCentre: u.dataCentre, Release: "v1", Slots: replayedSlots, Incarnation: 1}
}

// step advances the time by a millisecond.
func (r *brittleReplay) step() {
	r.now = r.now.Add(time.Millisecond)
	for _, u := range r.upstreams {
		if u.id == "" && !r.now.Before(u.backAt) {
			r.start(u)
		}
	}
	for len(r.reports) > 0 && !r.now.Before(r.reports[0].arrives) {
		for _, t := range r.tables {
			t.MergeLimit(r.reports[0].update, true, r.now)
		}
		r.reports = r.reports[1:]
	}
	left := r.ends[:0]
	for _, e := range r.ends {
		if r.now.Before(e.at) {
			left = append(left, e)
			continue
		}
		if e.upstream != nil && e.upstream.id == e.id {
			e.upstream.running--
		}
		if e.vm >= 0 {
			r.tables[e.vm].RecordDone(e.id, Succeeded, r.work, r.now)
			r.answer(e.vm, e.id)
			r.served++
		}
	}
	r.ends = left
}

// answer applies an answer that says that the upstream is brittle.
func (r *brittleReplay) answer(vm int, id contract.UpstreamID) {
	stated := RateLimit{Brittle: LimitStated, Rejections: replayedBears}
	change := r.tables[vm].ApplyLimitAnswer(contract.UpstreamInstance{Upstream: id, Incarnation: 1}, stated, r.now, r.now)
	if change.Report {
		r.reports = append(r.reports, limitReport{change.Update, r.now.Add(reportDelay)})
	}
}

// send sends a request of a VM, if the VM may send one.
func (r *brittleReplay) send(vm int) {
	t := r.tables[vm]
	id, err := t.Pick(listedQuery, r.now, r.random)
	if err != nil {
		return
	}
	t.RecordSent(id)
	for _, u := range r.upstreams {
		if u.id != id {
			continue
		}
		if u.running < replayedSlots || !r.enforced {
			u.running++
			r.ends = append(r.ends, replayedEnd{r.now.Add(r.work), vm, u, id})
			return
		}
		t.RecordDone(id, Rejected, 0, r.now)
		r.answer(vm, id)
		r.reject(u)
		return
	}
	t.RecordDone(id, ConnectionRefused, 0, r.now)
}

func (r *brittleReplay) reject(u *replayedBrittle) {
	for len(u.rejected) > 0 && r.now.Sub(u.rejected[0]) >= rejectionWindow {
		u.rejected = u.rejected[1:]
	}
	if u.rejected = append(u.rejected, r.now); len(u.rejected) > replayedBears {
		r.falls++
		r.end(u)
	}
}

// run sends requests of random VMs for a while; each step may begin with a fault.
func (r *brittleReplay) run(lasts time.Duration, perStep int, fault func(elapsed time.Duration)) {
	began := r.now
	for r.now.Before(began.Add(lasts)) {
		if fault != nil {
			fault(r.now.Sub(began))
		}
		r.step()
		for range perStep {
			r.send(r.random.IntN(len(r.tables)))
		}
	}
}

// TestNewInstanceOfBrittleService guards against VMs that take a new instance of a brittle service for
// one without a bound: it got the requests of all VMs at once and failed under what it had to reject.
func TestNewInstanceOfBrittleService(t *testing.T) {
	for _, vms := range []int{6, 30, 61} {
		for _, upstreams := range []int{6, 24} {
			t.Run(fmt.Sprintf("%d VMs, %d upstreams", vms, upstreams), func(t *testing.T) {
				r := newBrittleReplay(vms, upstreams, 60*time.Millisecond)
				r.run(3*time.Second, 1, nil) // the VMs hear that the upstreams are brittle
				r.enforced, r.served = true, 0
				ended := 0
				r.run(16*time.Second, max(1, upstreams/6), func(elapsed time.Duration) {
					if elapsed < 9*time.Second && elapsed%time.Second == 0 {
						if u := r.upstreams[ended%upstreams]; u.id != "" {
							r.end(u)
						}
						ended++
					}
				})
				t.Logf("%d of %d upstreams failed, %d served", r.falls, upstreams, r.served)
				if r.falls > 2+upstreams/10 {
					t.Errorf("%d upstreams failed under what they rejected, %d may", r.falls, 2+upstreams/10)
				}
			})
		}
	}
}
