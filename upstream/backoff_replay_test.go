package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// backoffFleet simulates requests to plain upstreams, some of which reject all requests for a
// while and request a back-off from each VM whose request they reject.
type backoffFleet struct {
	vms    []*Table
	now    time.Time
	random *rand.Rand
	events replayEvents
	// rejectedRequests counts the requests that upstreams rejected. arrivalsAfterReturn holds
	// when requests arrived at each formerly rejecting upstream once it accepted them again.
	rejectedRequests    int
	arrivalsAfterReturn map[contract.UpstreamID][]time.Time
}

// maxWithin returns the maximum number of requests within a time span at one upstream that
// accepts requests again.
func (f *backoffFleet) maxWithin(span time.Duration) int {
	most := 0
	for _, times := range f.arrivalsAfterReturn {
		for i, from := range times {
			n, _ := slices.BinarySearchFunc(times[i:], from.Add(span), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

// Load of a backoffFleet: 40 upstreams with 8 slots each, 8 of which reject requests.
const (
	backoffUpstreams     = 40
	backoffRejecting     = 8
	backoffSlots         = 8
	backoffRejectionTime = 5 * time.Second
	backoffRequested     = 3 * time.Second
	backoffRate          = 600 // requests per second of all VMs
	backoffServiceTime   = 50 * time.Millisecond
	// backoffReportDelay is how long the report of a back-off takes to reach another VM.
	backoffReportDelay = 30 * time.Millisecond
)

func newBackoffFleet(vms int) *backoffFleet {
	f := &backoffFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 3)), arrivalsAfterReturn: make(map[contract.UpstreamID][]time.Time)}
	var entries []Entry
	for n := range backoffUpstreams {
		e := listEntry(fmt.Sprintf("u%02d", n), "d", 1)
		e.Slots = backoffSlots
		entries = append(entries, e)
	}
	for range vms {
		tb := NewTable(Options{Listed: true})
		applyList(tb, f.now, entries...)
		f.vms = append(f.vms, tb)
	}
	return f
}

// schedule runs do after the duration d of simulated time.
func (f *backoffFleet) schedule(d time.Duration, do func()) {
	heap.Push(&f.events, replayEvent{f.now.Add(d), do})
}

// runDue runs the scheduled actions that are due.
func (f *backoffFleet) runDue() {
	for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
		heap.Pop(&f.events).(replayEvent).do()
	}
}

// play simulates ten seconds of requests; gossip lets VMs report back-offs to each other.
func (f *backoffFleet) play(gossip bool) {
	start := f.now
	for f.now.Sub(start) < 10*time.Second {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / backoffRate * float64(time.Second)))
		f.runDue()
		f.send(f.vms[f.random.IntN(len(f.vms))], start, nil, gossip)
	}
}

// send sends a request, and sends it again to another upstream each time it is rejected.
func (f *backoffFleet) send(tb *Table, start time.Time, exclude []contract.UpstreamID, gossip bool) {
	q := engineQuery
	q.Exclude = exclude
	id, err := tb.Pick(q, f.now, f.random)
	if err != nil {
		return
	}
	tb.RecordSent(id)
	elapsed := f.now.Sub(start)
	rejecting := id < contract.UpstreamID(fmt.Sprintf("u%02d", backoffRejecting))
	if rejecting && elapsed < backoffRejectionTime {
		f.rejectedRequests++
		tb.RecordDone(id, Rejected, 0, f.now)
		tb.ApplyNotices(tb.Instance(id), Notices{Backoff: backoffRequested}, f.now)
		if gossip {
			f.schedule(backoffReportDelay, func() {
				for _, other := range f.vms {
					if other != tb {
						other.RecordPeerBackoff(id, backoffRequested-backoffReportDelay, f.now)
					}
				}
			})
		}
		f.send(tb, start, append(exclude, id), gossip)
		return
	}
	if rejecting && elapsed < backoffRejectionTime+backoffRequested {
		f.arrivalsAfterReturn[id] = append(f.arrivalsAfterReturn[id], f.now)
	}
	tb.RecordAccepted(id)
	f.schedule(backoffServiceTime, func() { tb.RecordDone(id, Succeeded, backoffServiceTime, f.now) })
}

// TestBackoffReportsReduceRejections simulates 600 requests per second to 40 upstreams, 8 of
// which reject all requests for 5 s. If 60 VMs each find out by themselves, 451 requests are
// rejected; with a report from the first VM that is rejected, 24 are. A reported back-off does
// not bind other VMs: the eight upstreams get requests again, but no more at a time than they
// have slots.
func TestBackoffReportsReduceRejections(t *testing.T) {
	for _, vms := range []int{6, 60} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			withoutGossip, withGossip := newBackoffFleet(vms), newBackoffFleet(vms)
			withoutGossip.play(false)
			withGossip.play(true)
			t.Logf("%d VMs: %d rejected without gossip, %d with; requests returned to %d and %d of %d upstreams, at most %d and %d at one within %v", vms,
				withoutGossip.rejectedRequests, withGossip.rejectedRequests, len(withoutGossip.arrivalsAfterReturn), len(withGossip.arrivalsAfterReturn), backoffRejecting, withoutGossip.maxWithin(backoffServiceTime), withGossip.maxWithin(backoffServiceTime), backoffServiceTime)
			is.True(3*withGossip.rejectedRequests <= withoutGossip.rejectedRequests || vms < 10)
			is.True(withGossip.rejectedRequests <= withoutGossip.rejectedRequests)
			is.Equal(len(withGossip.arrivalsAfterReturn), backoffRejecting)
			is.True(withGossip.maxWithin(backoffServiceTime) <= backoffSlots)
		})
	}
}
