package workspace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestNoLostPlace draws arrivals, ends, expiries and abandonments, and checks
// that places are neither lost nor given twice, and that every request ends in
// exactly one way.
func TestNoLostPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		q := NewQueue(Options{Capacity: capacity, MaxQueue: 5})
		r := random()
		now := time.Unix(0, 0)
		waiting := make(map[ID]bool)
		var running []contract.WorkspaceID
		started := func(items []Item) {
			for _, i := range items {
				if !waiting[i.ID] {
					t.Fatalf("started %d, which does not wait", i.ID)
				}
				delete(waiting, i.ID)
				running = append(running, i.Workspace)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(50 * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "done", "expire", "abandon"}).Draw(t, "event") {
			case "offer":
				item := Item{
					ID: ID(n), Workspace: contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "w")),
					Share: rapid.IntRange(1, 3).Draw(t, "share"), Class: Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond),
				}
				switch v, after := q.Offer(item, now, r); v {
				case Run:
					running = append(running, item.Workspace)
				case Wait:
					waiting[item.ID] = true
				case Refuse:
					if after < minRetryAfter {
						t.Fatalf("refused with retry after %v", after)
					}
				}
			case "done":
				if len(running) > 0 {
					w := running[0]
					running = running[1:]
					started(q.Done(w, time.Second))
				}
			case "expire":
				for _, i := range q.Expire(now) {
					delete(waiting, i.ID)
				}
			case "abandon":
				id := ID(rapid.IntRange(0, n).Draw(t, "id"))
				if q.Abandon(id) != waiting[id] {
					t.Fatalf("abandon %d: waiting was %v", id, waiting[id])
				}
				delete(waiting, id)
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) || len(running) > capacity {
				t.Fatalf("running %d of %d, waiting %d of %d", q.Running(), len(running), q.Waiting(), len(waiting))
			}
		}
	})
}

// TestQuietWorkspaceIsNotHeldUp shows a neighbour that fills a first-come
// queue, behind which a quiet workspace waits, and that Queue lets it run.
func TestQuietWorkspaceIsNotHeldUp(t *testing.T) {
	is := is.New(t)
	const capacity = 10
	now := time.Unix(0, 0)
	naiveFree := capacity
	q := NewQueue(Options{Capacity: capacity})
	for i := range 100 { // ten times its share
		if naiveFree > 0 {
			naiveFree--
		}
		q.Offer(Item{ID: ID(i), Workspace: "loud", Deadline: now.Add(time.Hour)}, now, random())
	}
	is.Equal(naiveFree, 0) // first come, first served: the quiet one waits
	v, _ := q.Offer(Item{ID: 1000, Workspace: "quiet", Deadline: now.Add(time.Second)}, now, random())
	is.Equal(v, Run)
}

// TestRefusedAtOnce shows that a request that would wait past its deadline is
// refused when it comes, and that the returns are spread.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := NewQueue(Options{Capacity: 1})
	r := random()
	far := now.Add(time.Hour)
	for i := range 50 {
		q.Offer(Item{ID: ID(i), Workspace: "a", Deadline: far}, now, r)
	}
	seen := make(map[time.Duration]bool)
	for i := range 20 {
		v, after := q.Offer(Item{ID: ID(100 + i), Workspace: "a", Deadline: now.Add(time.Second)}, now, r)
		is.Equal(v, Refuse)
		seen[after] = true
	}
	is.Equal(len(seen), 20)
}

// TestSharesByWeight checks that two workspaces with work waiting all the time
// get places in the ratio of their weights.
func TestSharesByWeight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := NewQueue(Options{Capacity: 8, MaxQueue: 100_000})
	ran := make(map[contract.WorkspaceID]int)
	var running []contract.WorkspaceID
	for i := range 4000 {
		w, share := contract.WorkspaceID("one"), 1
		if i%2 == 0 {
			w, share = "three", 3
		}
		if v, _ := q.Offer(Item{ID: ID(i), Workspace: w, Share: share, Deadline: now.Add(time.Hour)}, now, random()); v == Run {
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
