package workspace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// newRandom returns a random source with a fixed seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestSlotAccounting draws offers, completions, expiries and cancellations. No slot
// may be lost or used twice, and every request must end in exactly one way.
func TestSlotAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		q := NewQueue(Options{Capacity: capacity, MaxQueue: 5})
		r := newRandom()
		now := time.Unix(0, 0)
		waiting := make(map[ID]bool)
		var running []contract.WorkspaceID
		markStarted := func(items []Request) {
			for _, i := range items {
				if !waiting[i.ID] {
					t.Fatalf("started request %d, which was not waiting", i.ID)
				}
				delete(waiting, i.ID)
				running = append(running, i.Workspace)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(50 * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "done", "expire", "cancel"}).Draw(t, "event") {
			case "offer":
				item := Request{
					ID: ID(n), Workspace: contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "w")),
					Weight: rapid.IntRange(1, 3).Draw(t, "weight"), Class: Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond),
				}
				switch v, after := q.Offer(item, now, r); v {
				case Admitted:
					running = append(running, item.Workspace)
				case Queued:
					waiting[item.ID] = true
				case Rejected:
					if after < minRetryAfter {
						t.Fatalf("rejected with retry after %v", after)
					}
				}
			case "done":
				if len(running) > 0 {
					w := running[0]
					running = running[1:]
					markStarted(q.Done(w, time.Second))
				}
			case "expire":
				for _, i := range q.Expire(now) {
					delete(waiting, i.ID)
				}
			case "cancel":
				id := ID(rapid.IntRange(0, n).Draw(t, "id"))
				if q.Cancel(id) != waiting[id] {
					t.Fatalf("Cancel of request %d did not return %v", id, waiting[id])
				}
				delete(waiting, id)
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) || len(running) > capacity {
				t.Fatalf("running: got %d, want %d; waiting: got %d, want %d", q.Running(), len(running), q.Waiting(), len(waiting))
			}
		}
	})
}

// TestReserveAdmitsQuietWorkspace fills the capacity from one workspace. A
// first-come, first-served queue would make another workspace wait; Queue must
// start its request at once.
func TestReserveAdmitsQuietWorkspace(t *testing.T) {
	is := is.New(t)
	const capacity = 10
	now := time.Unix(0, 0)
	fifoFree := capacity
	q := NewQueue(Options{Capacity: capacity})
	for i := range 100 { // ten times the capacity
		if fifoFree > 0 {
			fifoFree--
		}
		q.Offer(Request{ID: ID(i), Workspace: "busy", Deadline: now.Add(time.Hour)}, now, newRandom())
	}
	is.Equal(fifoFree, 0) // first come, first served: no slot is left
	v, _ := q.Offer(Request{ID: 1000, Workspace: "quiet", Deadline: now.Add(time.Second)}, now, newRandom())
	is.Equal(v, Admitted)
}

// TestRejectsRequestThatWouldMissDeadline checks that a request that would wait
// past its deadline is rejected when it arrives, and that retry times are spread.
func TestRejectsRequestThatWouldMissDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := NewQueue(Options{Capacity: 1})
	r := newRandom()
	distant := now.Add(time.Hour)
	for i := range 50 {
		q.Offer(Request{ID: ID(i), Workspace: "a", Deadline: distant}, now, r)
	}
	retryAfters := make(map[time.Duration]bool)
	for i := range 20 {
		v, after := q.Offer(Request{ID: ID(100 + i), Workspace: "a", Deadline: now.Add(time.Second)}, now, r)
		is.Equal(v, Rejected)
		retryAfters[after] = true
	}
	is.Equal(len(retryAfters), 20)
}

// TestSlotsProportionalToWeight checks that two workspaces with a constant backlog
// get slots in the ratio of their weights.
func TestSlotsProportionalToWeight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := NewQueue(Options{Capacity: 8, MaxQueue: 100_000})
	ran := make(map[contract.WorkspaceID]int)
	var running []contract.WorkspaceID
	for i := range 4000 {
		w, weight := contract.WorkspaceID("one"), 1
		if i%2 == 0 {
			w, weight = "three", 3
		}
		if v, _ := q.Offer(Request{ID: ID(i), Workspace: w, Weight: weight, Deadline: now.Add(time.Hour)}, now, newRandom()); v == Admitted {
			running = append(running, w)
		}
	}
	for range 1000 {
		w := running[0]
		running = running[1:]
		for _, i := range q.Done(w, time.Second) {
			ran[i.Workspace]++
			running = append(running, i.Workspace)
		}
	}
	ratio := float64(ran["three"]) / float64(ran["one"])
	is.True(ratio > 2.7 && ratio < 3.3)
}
