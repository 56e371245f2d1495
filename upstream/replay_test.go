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
	"woaddoor/prefill"
)

// Prefill seconds per token of the simulated models.
const (
	replaySmallTokenSeconds = 13e-6
	replayLargeTokenSeconds = 80e-6
)

// replay simulates requests at VMs, each with its own Table, and engines that prefill prompts one
// after another and cache them.
type replay struct {
	t       *testing.T
	policy  Policy
	vms     []*Table
	engines map[contract.UpstreamID]*replayEngine
	random  *rand.Rand
	now     time.Time
	events  replayEvents
	// late and total count requests by kind; prefilledTokens counts the tokens without a
	// cache hit.
	late, total     map[string]int
	prefilledTokens int
}

// replayEngine is an engine that prefills prompts one after another.
type replayEngine struct {
	freeAt      time.Time
	prefixCache *prefill.PrefixCache
}

// replayRequest is one request of the simulated load.
type replayRequest struct {
	kind      string
	arrival   time.Duration
	prompt    prefill.Prompt
	objective time.Duration
}

// replayEvent is an action at a simulated time.
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

func newReplay(t *testing.T, vms, engines int, disabled ...string) *replay {
	policy, err := NewPolicy(disabled)
	if err != nil {
		t.Fatal(err)
	}
	r := &replay{
		t: t, policy: policy, engines: make(map[contract.UpstreamID]*replayEngine), random: rand.New(rand.NewPCG(7, 7)),
		now: time.Unix(100, 0), late: make(map[string]int), total: make(map[string]int),
	}
	const cacheTokens = 460000
	var entries []Entry
	for i := range engines {
		id := contract.UpstreamID(fmt.Sprintf("e%02d", i))
		entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: "d", Release: "v1", Slots: 64, CacheTokens: cacheTokens})
		r.engines[id] = &replayEngine{prefixCache: prefill.NewPrefixCache(cacheTokens)}
	}
	for range vms {
		tb := NewTable(Options{Listed: true, Policy: policy})
		tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }})
		tb.SetModelPrices(map[contract.ModelID]float64{"small": 0.008, "large": 0.12})
		tb.SetGossipScope(GossipScope{Region: true})
		r.vms = append(r.vms, tb)
	}
	return r
}

func (r *replay) schedule(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now.Add(d), do})
}

// run simulates the requests, each at a random VM, until the last answer.
func (r *replay) run(requests []replayRequest) {
	end := time.Duration(0)
	for _, q := range requests {
		end = max(end, q.arrival)
		r.schedule(q.arrival, func() { r.send(q) })
	}
	for at := time.Duration(0); at < end; at += 250 * time.Millisecond {
		r.schedule(at, func() {
			for _, tb := range r.vms {
				tb.CompareUpstreams("d", r.now)
			}
		})
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
}

// replayGossipDelay is how long the report of a prompt takes from one VM to another.
const replayGossipDelay = 20 * time.Millisecond

func (r *replay) send(q replayRequest) {
	sender := r.random.IntN(len(r.vms))
	tb := r.vms[sender]
	tb.RecordPrompt(q.objective, 1, len(r.vms), r.now)
	w := Work{Prompt: q.prompt, Objective: q.objective}
	id, err := tb.Pick(Query{Kind: config.EnginePool, DataCentre: "d", Prefix: q.prompt.Parts[0].Key, Work: w}, r.now, r.random)
	if err != nil {
		r.t.Fatal(err)
	}
	tb.RecordSent(id)
	expected, queueID := tb.RecordExpected(id, w, "d", r.now)
	for i, other := range r.vms {
		if i != sender && r.policy.Has(Gossip) {
			token := tb.PrefillTokenTime(q.prompt.Model)
			r.schedule(replayGossipDelay, func() { other.RecordPeerPrompt(id, q.prompt, expected.Prefill, token, r.now) })
		}
	}
	sent := r.now
	r.schedule(r.engines[id].prefill(r, q.prompt), func() {
		took := r.now.Sub(sent)
		tb.RecordAnswerBegin(id, queueID, w, expected, took, r.now)
		tb.RecordDone(id, Succeeded, took, r.now)
		r.total[q.kind]++
		if took > q.objective {
			r.late[q.kind]++
		}
	})
}

// prefill lets an engine prefill a prompt and returns the time until the answer begins.
func (e *replayEngine) prefill(r *replay, p prefill.Prompt) time.Duration {
	token := replaySmallTokenSeconds
	if p.Model == "large" {
		token = replayLargeTokenSeconds
	}
	uncached := p.Tokens - e.prefixCache.CachedTokens(p)
	e.prefixCache.Insert(p)
	r.prefilledTokens += uncached
	if e.freeAt.Before(r.now) {
		e.freeAt = r.now
	}
	e.freeAt = e.freeAt.Add(time.Duration(token * float64(uncached) * float64(time.Second)))
	return e.freeAt.Sub(r.now) + prefill.BaseLatency
}

// lateFraction returns the fraction of a kind's requests that were late.
func (r *replay) lateFraction(kind string) float64 {
	return float64(r.late[kind]) / float64(max(r.total[kind], 1))
}

// request returns a request whose prompt has a shared prefix and a unique remainder.
func (r *replay) request(kind string, at time.Duration, m contract.ModelID, prefix uint64, shared, unique int, objective time.Duration) replayRequest {
	parts := []prefill.Part{{Key: prefix, Tokens: shared}, {Key: r.random.Uint64(), Tokens: unique}}
	return replayRequest{kind: kind, arrival: at, objective: objective, prompt: prefill.Prompt{Model: m, Tokens: shared + unique, Parts: parts}}
}

// steady returns requests of a kind at a mean rate, each with one of a number of shared prefixes.
func (r *replay) steady(kind string, from, to time.Duration, rate float64, m contract.ModelID, prefixes uint64, shared, unique int, objective time.Duration) []replayRequest {
	var out []replayRequest
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)) {
		prefix := uint64(len(kind))<<32 + 1 + r.random.Uint64N(prefixes)
		out = append(out, r.request(kind, at, m, prefix, shared, unique, objective))
	}
	return out
}

// TestReplayBurstOfLongPrompts simulates a burst of long prompts for the largest model among
// short prompts for the smallest. Engines prefill one prompt after another, so a short prompt
// behind a long one is late. VMs that know only their own requests send every fourth short prompt
// to an engine that still has a long one to prefill.
func TestReplayBurstOfLongPrompts(t *testing.T) {
	is := is.New(t)
	play := func(disabled ...string) *replay {
		r := newReplay(t, 6, 12, disabled...)
		load := r.steady("chat", 0, 20*time.Second, 20, "small", 80, 300, 900, 500*time.Millisecond)
		load = append(load, r.steady("menu", 0, 20*time.Second, 3, "large", 50, 13000, 3700, 4*time.Second)...)
		load = append(load, r.steady("menu", 6*time.Second, 10*time.Second, 6, "large", 50, 13000, 3700, 4*time.Second)...)
		r.run(load)
		return r
	}
	withoutGossip, withGossip := play("telling"), play()
	t.Logf("late chats: %.3f without gossip, %.3f with; late menus: %.3f, %.3f", withoutGossip.lateFraction("chat"), withGossip.lateFraction("chat"), withoutGossip.lateFraction("menu"), withGossip.lateFraction("menu"))
	is.True(withoutGossip.lateFraction("chat") > 0.15)
	is.True(withGossip.lateFraction("chat") < 0.05)
	is.True(withGossip.lateFraction("menu") <= withoutGossip.lateFraction("menu")+0.02)
}

// TestReplayHotPrefix simulates one prefix with a third of all requests. Its prompts must go to
// engines that have cached it, as few engines as its load requires.
func TestReplayHotPrefix(t *testing.T) {
	is := is.New(t)
	play := func(disabled ...string) *replay {
		r := newReplay(t, 6, 12, disabled...)
		load := r.steady("menu", 0, 30*time.Second, 4, "large", 50, 9000, 1500, 4*time.Second)
		load = append(load, r.steady("hot!", 0, 30*time.Second, 2, "large", 1, 9000, 1500, 4*time.Second)...)
		r.run(load)
		return r
	}
	withoutCache, withCache := play("kept", "homes"), play()
	t.Logf("prefilled tokens: %d without the cache estimate, %d with; late %.3f, %.3f", withoutCache.prefilledTokens, withCache.prefilledTokens, withoutCache.lateFraction("hot!"), withCache.lateFraction("hot!"))
	is.True(float64(withCache.prefilledTokens) < 0.6*float64(withoutCache.prefilledTokens))
	is.True(withCache.lateFraction("hot!") <= withoutCache.lateFraction("hot!"))
	is.True(withCache.lateFraction("hot!") < 0.05)
}

// TestReplayAllVMsRestart simulates VMs that all lose their state while engines are busy. Each VM
// then knows its own requests, and gossip must restore what it knew about the requests of other
// VMs, including the measured prefill times, within seconds.
func TestReplayAllVMsRestart(t *testing.T) {
	is := is.New(t)
	play := func(disabled ...string) *replay {
		r := newReplay(t, 6, 12, disabled...)
		load := r.steady("before", 0, 10*time.Second, 10, "large", 50, 9000, 1500, 1500*time.Millisecond)
		load = append(load, r.steady("after", 10*time.Second, 30*time.Second, 10, "large", 50, 9000, 1500, 1500*time.Millisecond)...)
		fresh := newReplay(t, 6, 12, disabled...)
		r.schedule(10*time.Second, func() { r.vms = slices.Clone(fresh.vms) })
		r.run(load)
		return r
	}
	withoutGossip, withGossip := play("telling"), play()
	t.Logf("late before and after the restart: %.3f, %.3f without gossip; %.3f, %.3f with", withoutGossip.lateFraction("before"), withoutGossip.lateFraction("after"), withGossip.lateFraction("before"), withGossip.lateFraction("after"))
	is.True(withoutGossip.lateFraction("after") > 2*withGossip.lateFraction("after"))
	is.True(withGossip.lateFraction("after") < 0.1)
}
