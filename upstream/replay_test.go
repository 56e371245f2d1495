package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/reading"
)

// Seconds a token of the models of a replay.
const (
	replaySmall = 13e-6
	replayLarge = 80e-6
)

// replay plays requests through VMs that decide with a Table each, before engines
// that read prompts in turn and keep what they have read.
type replay struct {
	t       *testing.T
	policy  Policy
	vms     []*Table
	engines map[contract.UpstreamID]*replayEngine
	random  *rand.Rand
	now     time.Time
	events  replayEvents
	// late and all count the requests by kind; read is how many tokens were read.
	late, all map[string]int
	read      int
}

// replayEngine reads in turn.
type replayEngine struct {
	free time.Time
	kept *reading.Kept
}

// replayRequest is one request of a load pattern.
type replayRequest struct {
	kind      string
	at        time.Duration
	prompt    reading.Prompt
	objective time.Duration
}

// replayEvent is something that happens at a time.
type replayEvent struct {
	at time.Time
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newReplay(t *testing.T, vms, engines int, without ...string) *replay {
	policy, err := NewPolicy(without)
	if err != nil {
		t.Fatal(err)
	}
	r := &replay{
		t: t, policy: policy, engines: make(map[contract.UpstreamID]*replayEngine), random: rand.New(rand.NewPCG(7, 7)),
		now: time.Unix(100, 0), late: make(map[string]int), all: make(map[string]int),
	}
	const memory = 460000
	var entries []Entry
	for i := range engines {
		id := contract.UpstreamID(fmt.Sprintf("e%02d", i))
		entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: "d", Release: "v1", Slots: 64, Memory: memory})
		r.engines[id] = &replayEngine{kept: reading.NewKept(memory)}
	}
	for range vms {
		tb := NewTable(Options{Listed: true, Policy: policy})
		tb.ConfigureList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }})
		tb.SetCosts(map[contract.ModelID]float64{"small": 0.008, "large": 0.12})
		tb.SetGroup(Group{Region: true})
		r.vms = append(r.vms, tb)
	}
	return r
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now.Add(d), do})
}

// run plays the requests, each at a VM that is drawn, to the last answer.
func (r *replay) run(requests []replayRequest) {
	end := time.Duration(0)
	for _, q := range requests {
		end = max(end, q.at)
		r.after(q.at, func() { r.send(q) })
	}
	for at := time.Duration(0); at < end; at += 250 * time.Millisecond {
		r.after(at, func() {
			for _, tb := range r.vms {
				tb.Level("d", r.now)
			}
		})
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
}

// told is how long a word takes from one VM to another.
const replayTold = 20 * time.Millisecond

func (r *replay) send(q replayRequest) {
	at := r.random.IntN(len(r.vms))
	tb := r.vms[at]
	tb.Came(q.objective, 1, len(r.vms), r.now)
	w := Work{Prompt: q.prompt, Objective: q.objective}
	id, err := tb.Pick(Query{Kind: config.EnginePool, DataCentre: "d", Prefix: q.prompt.Parts[0].Key, Work: w}, r.now, r.random)
	if err != nil {
		r.t.Fatal(err)
	}
	tb.Sent(id)
	expected, ticket := tb.Expect(id, w, "d", r.now)
	for i, other := range r.vms {
		if i != at && r.policy.Has(Telling) {
			token := tb.TokenTime(q.prompt.Model)
			r.after(replayTold, func() { other.Told(id, q.prompt, expected.Reading, token, r.now) })
		}
	}
	sent := r.now
	r.after(r.engines[id].reads(r, q.prompt), func() {
		took := r.now.Sub(sent)
		tb.Begun(id, ticket, w, expected, took, r.now)
		tb.Done(id, Good, took, r.now)
		r.all[q.kind]++
		if took > q.objective {
			r.late[q.kind]++
		}
	})
}

// reads has an engine read a prompt, and returns in how long its answer begins.
func (e *replayEngine) reads(r *replay, p reading.Prompt) time.Duration {
	token := replaySmall
	if p.Model == "large" {
		token = replayLarge
	}
	unread := p.Tokens - e.kept.Of(p)
	e.kept.Read(p)
	r.read += unread
	if e.free.Before(r.now) {
		e.free = r.now
	}
	e.free = e.free.Add(time.Duration(token * float64(unread) * float64(time.Second)))
	return e.free.Sub(r.now) + reading.Base
}

// part returns which part of a kind's requests was late.
func (r *replay) part(kind string) float64 {
	return float64(r.late[kind]) / float64(max(r.all[kind], 1))
}

// request returns one of a kind about a subject; what is its own differs.
func (r *replay) request(kind string, at time.Duration, m contract.ModelID, subject uint64, shared, own int, objective time.Duration) replayRequest {
	parts := []reading.Part{{Key: subject, Tokens: shared}, {Key: r.random.Uint64(), Tokens: own}}
	return replayRequest{kind: kind, at: at, objective: objective, prompt: reading.Prompt{Model: m, Tokens: shared + own, Parts: parts}}
}

// steady returns requests of a kind at a rate, about one of a number of subjects
// each.
func (r *replay) steady(kind string, from, to time.Duration, rate float64, m contract.ModelID, subjects uint64, shared, own int, objective time.Duration) []replayRequest {
	var out []replayRequest
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)) {
		subject := uint64(len(kind))<<32 + 1 + r.random.Uint64N(subjects)
		out = append(out, r.request(kind, at, m, subject, shared, own, objective))
	}
	return out
}

// TestReplayBurstOfLongPrompts replays long prompts of the largest model that
// come in a burst among short ones of the smallest: an engine reads in turn, so a
// short prompt behind a long one is late. VMs that know of their own sends alone
// send every fourth of them there.
func TestReplayBurstOfLongPrompts(t *testing.T) {
	is := is.New(t)
	play := func(without ...string) *replay {
		r := newReplay(t, 6, 12, without...)
		load := r.steady("chat", 0, 20*time.Second, 20, "small", 80, 300, 900, 500*time.Millisecond)
		load = append(load, r.steady("menu", 0, 20*time.Second, 3, "large", 50, 13000, 3700, 4*time.Second)...)
		load = append(load, r.steady("menu", 6*time.Second, 10*time.Second, 6, "large", 50, 13000, 3700, 4*time.Second)...)
		r.run(load)
		return r
	}
	alone, told := play("telling"), play()
	t.Logf("chats late: %.3f alone, %.3f told; menus %.3f, %.3f", alone.part("chat"), told.part("chat"), alone.part("menu"), told.part("menu"))
	is.True(alone.part("chat") > 0.15)
	is.True(told.part("chat") < 0.05)
	is.True(told.part("menu") <= alone.part("menu")+0.02)
}

// TestReplayHotSubject replays one subject that gets a third of all requests: its
// part is read where it is kept, on as few engines as its load needs.
func TestReplayHotSubject(t *testing.T) {
	is := is.New(t)
	play := func(without ...string) *replay {
		r := newReplay(t, 6, 12, without...)
		load := r.steady("menu", 0, 30*time.Second, 4, "large", 50, 9000, 1500, 4*time.Second)
		load = append(load, r.steady("hot!", 0, 30*time.Second, 2, "large", 1, 9000, 1500, 4*time.Second)...)
		r.run(load)
		return r
	}
	blind, kept := play("kept", "homes"), play()
	t.Logf("tokens read: %d blind, %d by what is kept; late %.3f, %.3f", blind.read, kept.read, blind.part("hot!"), kept.part("hot!"))
	is.True(float64(kept.read) < 0.6*float64(blind.read))
	is.True(kept.part("hot!") <= blind.part("hot!"))
	is.True(kept.part("hot!") < 0.05)
}

// TestReplayAllVMsStartAnew replays VMs that all forget what they know while
// engines are busy. Each knows its own sends from then on; what they tell each
// other is right again within seconds, also the times that engines take.
func TestReplayAllVMsStartAnew(t *testing.T) {
	is := is.New(t)
	play := func(without ...string) *replay {
		r := newReplay(t, 6, 12, without...)
		load := r.steady("before", 0, 10*time.Second, 10, "large", 50, 9000, 1500, 1500*time.Millisecond)
		load = append(load, r.steady("after", 10*time.Second, 30*time.Second, 10, "large", 50, 9000, 1500, 1500*time.Millisecond)...)
		fresh := newReplay(t, 6, 12, without...)
		r.after(10*time.Second, func() { r.vms = slices.Clone(fresh.vms) })
		r.run(load)
		return r
	}
	alone, told := play("telling"), play()
	t.Logf("late: %.3f, %.3f after alone; %.3f, %.3f after told", alone.part("before"), alone.part("after"), told.part("before"), told.part("after"))
	is.True(alone.part("after") > 2*told.part("after"))
	is.True(told.part("after") < 0.1)
}
