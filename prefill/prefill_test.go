package prefill

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

var start = time.Unix(100, 0)

// TestQueueWait checks the expected wait of a prompt and how the
// beginning of an answer corrects it.
func TestQueueWait(t *testing.T) {
	const second = time.Second
	t.Run("waits for all earlier prompts", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, start)
		q.Add(2*second, false, start)
		is.Equal(q.Wait(start), 3*second)
		is.Equal(q.Wait(start.Add(second/2)), 5*second/2)
	})
	t.Run("answer begins early", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		first := q.Add(2*second, true, start)
		q.Add(second, true, start)
		q.AnswerBegan(first, start.Add(second))
		is.Equal(q.Wait(start.Add(second)), second) // all prompts before it are processed
	})
	t.Run("own prompt is overdue", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, start)
		is.Equal(q.Wait(start.Add(3*second/2)), second/2) // the engine has more work than is known
	})
	t.Run("prompt of another VM is due", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, false, start)
		is.Equal(q.Wait(start.Add(3*second/2)), time.Duration(0)) // this VM does not see the answers to prompts of other VMs
	})
	t.Run("prompt is dropped", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, start)
		dropped := q.Add(5*second, true, start)
		q.Add(second, true, start)
		q.Drop(dropped, start)
		is.Equal(q.Wait(start), 2*second)
	})
}

// TestQueueBusyIntervals checks that the time between two answers is reported as a busy
// interval if the engine had work throughout, and not if it was idle in between.
func TestQueueBusyIntervals(t *testing.T) {
	is := is.New(t)
	var q Queue
	first := q.Add(time.Second, true, start)
	q.Add(time.Second, false, start)
	third := q.Add(3*time.Second, true, start)
	is.Equal(q.AnswerBegan(first, start.Add(time.Second)), BusyInterval{}) // there is no previous answer
	is.Equal(q.AnswerBegan(third, start.Add(9*time.Second)), BusyInterval{Actual: 8 * time.Second, Expected: 4 * time.Second, Newest: 3 * time.Second})
	late := q.Add(time.Second, true, start.Add(20*time.Second))
	is.Equal(q.AnswerBegan(late, start.Add(21*time.Second)), BusyInterval{}) // the engine was idle before
}

// referenceQueue computes the wait by replaying all prompts from the start.
type referenceQueue struct {
	doneUntil time.Time // up to when prompts are processed
	prompts   []queuedPrompt
}

// advance removes the prompts whose prefill ends by now.
func (r *referenceQueue) advance(now time.Time) {
	for len(r.prompts) > 0 && now.Sub(r.doneUntil) >= r.prompts[0].duration {
		r.doneUntil = r.doneUntil.Add(r.prompts[0].duration)
		r.prompts = r.prompts[1:]
	}
	if len(r.prompts) == 0 {
		r.doneUntil = now
	}
}

// wait returns how long a prompt that arrives now would wait.
func (r *referenceQueue) wait(now time.Time) time.Duration {
	var sum time.Duration
	for _, p := range r.prompts {
		sum += p.duration
	}
	return sum - now.Sub(r.doneUntil)
}

// TestQueueMatchesReference is a property test: for random prompts whose prefill ends when
// expected, the wait equals that of a replay of all prompts.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		reference := referenceQueue{doneUntil: start}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "elapsed")) * time.Millisecond)
			duration := time.Duration(rapid.IntRange(1, 1500).Draw(t, "duration")) * time.Millisecond
			reference.advance(now)
			if got, want := q.Wait(now), reference.wait(now); got != want {
				t.Fatalf("wait %v, want %v", got, want)
			}
			q.Add(duration, false, now)
			reference.prompts = append(reference.prompts, queuedPrompt{duration: duration})
		}
	})
}

// TestQueueWaitIsNeverNegative is a property test over random events: no wait is negative,
// and the wait is zero once all prompts of this VM have ended and all others are due.
func TestQueueWaitIsNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var ids []QueueID
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"own prompt", "remote prompt", "began", "drop"}).Draw(t, "event") {
			case "own prompt":
				ids = append(ids, q.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "duration"))*time.Millisecond, true, now))
			case "remote prompt":
				q.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "duration"))*time.Millisecond, false, now)
			case "began":
				if len(ids) > 0 {
					q.AnswerBegan(ids[0], now)
					ids = ids[1:]
				}
			case "drop":
				if n := len(ids); n > 0 {
					q.Drop(ids[n-1], now)
					ids = ids[:n-1]
				}
			}
			if q.Wait(now) < 0 {
				t.Fatalf("negative wait %v", q.Wait(now))
			}
		}
		for _, id := range ids {
			q.Drop(id, now)
		}
		now = now.Add(time.Hour)
		if q.Wait(now) != 0 {
			t.Fatalf("wait %v with an empty queue", q.Wait(now))
		}
	})
}

// referenceCache is a prefix cache in the form of a plain list, newest entry last.
type referenceCache struct {
	capacity int
	entries  []cacheEntry
}

// use moves an entry to the end of the list, or adds it there.
func (r *referenceCache) use(key cacheKey, tokens int) {
	for i, e := range r.entries {
		if e.key == key && key != (cacheKey{}) {
			r.entries = append(append(r.entries[:i:i], r.entries[i+1:]...), e)
			return
		}
	}
	r.entries = append(r.entries, cacheEntry{key, tokens})
}

// insert adds the parts of a prompt and evicts the oldest entries beyond the capacity.
func (r *referenceCache) insert(p Prompt) {
	shared := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 1)] {
		shared += part.Tokens
		r.use(cacheKey{p.Model, part.Key}, part.Tokens)
	}
	if unshared := max(p.Tokens-shared, 0); len(r.entries) > 0 && r.entries[len(r.entries)-1].key == (cacheKey{}) {
		r.entries[len(r.entries)-1].tokens += unshared
	} else {
		r.entries = append(r.entries, cacheEntry{tokens: unshared})
	}
	for r.total() > r.capacity {
		r.entries = r.entries[1:]
	}
}

// total returns the number of cached tokens.
func (r *referenceCache) total() int {
	sum := 0
	for _, e := range r.entries {
		sum += e.tokens
	}
	return sum
}

// cachedPrefix returns the number of tokens in the contiguous cached
// parts at the start of a prompt.
func (r *referenceCache) cachedPrefix(p Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		found := false
		for _, e := range r.entries {
			found = found || e.key == cacheKey{p.Model, part.Key}
		}
		if !found {
			break
		}
		sum += part.Tokens
	}
	return min(sum, p.Tokens)
}

// TestPrefixCacheMatchesReference is a property test that compares PrefixCache with a plain list
// for random prompts of two models.
func TestPrefixCacheMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(500, 4000).Draw(t, "capacity")
		cache, reference := NewPrefixCache(capacity), referenceCache{capacity: capacity}
		for i := range rapid.IntRange(1, 60).Draw(t, "prompts") {
			subject := rapid.Uint64Range(1, 8).Draw(t, "subject")
			parts := []Part{
				{Key: subject % 2, Tokens: 100}, {Key: 10 + subject, Tokens: 100 * int(subject)}, {Key: uint64(1000 + i), Tokens: 60},
			}
			p := Prompt{Model: contract.ModelID(rapid.SampledFrom([]string{"small", "large"}).Draw(t, "model")), Tokens: 160 + 100*int(subject), Parts: parts}
			if got, want := cache.CachedTokens(p), reference.cachedPrefix(p); got != want {
				t.Fatalf("%d cached tokens, want %d", got, want)
			}
			cache.Insert(p)
			reference.insert(p)
			if cache.cachedTokens > capacity {
				t.Fatalf("%d cached tokens exceed the capacity of %d", cache.cachedTokens, capacity)
			}
		}
	})
}

// TestPrefixCacheNeedsEarlierParts checks that a cached part saves nothing if an earlier
// part is missing, and that models do not share cache entries.
func TestPrefixCacheNeedsEarlierParts(t *testing.T) {
	is := is.New(t)
	cache := NewPrefixCache(0)
	cache.Insert(Prompt{Model: "large", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {3, 100}}})
	is.Equal(cache.CachedTokens(Prompt{Model: "large", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {4, 100}}}), 200)
	is.Equal(cache.CachedTokens(Prompt{Model: "large", Tokens: 300, Parts: []Part{{9, 100}, {2, 100}, {4, 100}}}), 0)
	is.Equal(cache.CachedTokens(Prompt{Model: "small", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {4, 100}}}), 0)
}

// TestRatesConverge checks that the rate converges from a prior that is far off, although
// some prompts waited in an unknown queue and others hit an unknown cache entry.
func TestRatesConverge(t *testing.T) {
	for _, c := range []struct{ microsPerToken, queuedPercent, cachedPercent int }{{5, 30, 0}, {90, 0, 30}, {400, 20, 20}, {13, 25, 25}} {
		t.Run(fmt.Sprintf("%d us per token", c.microsPerToken), func(t *testing.T) {
			for seed := range uint64(50) {
				random := rand.New(rand.NewPCG(seed, 1))
				r := NewRates(map[contract.ModelID]float64{"large": 0.1})
				for range 400 {
					tokens := minObservedTokens + random.IntN(20000)
					elapsed := BaseLatency + time.Duration(tokens*c.microsPerToken)*time.Microsecond
					exact := true
					switch kind := random.IntN(100); {
					case kind < c.queuedPercent:
						elapsed *= 3
					case kind < c.queuedPercent+c.cachedPercent:
						elapsed = BaseLatency + time.Duration(tokens*c.microsPerToken/4)*time.Microsecond
					case kind > 90:
						elapsed, exact = 5*elapsed, false
					}
					r.RecordSample("large", tokens, elapsed, exact)
				}
				ratio := r.PrefillTime("large", 10000).Seconds() / 0.01 / float64(c.microsPerToken)
				if ratio < 0.6 || ratio > 1.6 {
					t.Fatalf("seed %d: estimate is %.2f times the true prefill time", seed, ratio)
				}
			}
		})
	}
}

// TestOwnSamplesOverrideRemoteRate checks that a VM that has just started uses the rate of
// another VM, and its own rate once it has enough samples.
func TestOwnSamplesOverrideRemoteRate(t *testing.T) {
	is := is.New(t)
	r := NewRates(map[contract.ModelID]float64{"large": 0.1})
	r.SetRemoteRate("large", 100*time.Microsecond)
	is.True(r.PrefillTime("large", 10000) > 990*time.Millisecond)
	for range 20 {
		r.RecordSample("large", 10000, BaseLatency+500*time.Millisecond, true)
	}
	r.SetRemoteRate("large", 100*time.Microsecond)
	is.True(r.PrefillTime("large", 10000) < 600*time.Millisecond)
}

// TestRemoteRatesAreNotPassedOn guards against a feedback loop: VMs adopted rates that others had
// adopted before, each multiplied by a factor for slow engines, and the rates grew without bound.
// Only own samples may be passed on, and no rate may exceed the upper limit.
func TestRemoteRatesAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	a, b := NewRates(nil), NewRates(nil)
	a.SetRemoteRate("large", 100*time.Microsecond)
	for range 50 {
		for _, direction := range [][2]*Rates{{a, b}, {b, a}} {
			if perToken, ok := direction[0].OwnRate("large"); ok {
				direction[1].SetRemoteRate("large", 3*perToken)
			}
		}
	}
	is.True(a.PrefillTime("large", 1) <= 100*time.Microsecond)
	for range 100 {
		a.RecordSample("large", minObservedTokens, time.Hour, true)
	}
	is.True(a.PrefillTime("large", 1) <= 2*time.Millisecond)
}

// TestEquivalentTokens guards against estimates for long prompts that leave out attention: a prompt
// of 30,000 tokens takes a quarter longer than its tokens at the rate of short prompts.
func TestEquivalentTokens(t *testing.T) {
	is := is.New(t)
	is.Equal(EquivalentTokens(0, 1000), 0)
	is.Equal(EquivalentTokens(1000, 0), 1009)
	is.Equal(EquivalentTokens(30000, 0), 38490)
	is.True(EquivalentTokens(5000, 25000) > EquivalentTokens(5000, 0))
}

// TestBasePaceIgnoresDisturbances guards against a base pace that other work on the machine raises:
// the engine would get too few prompts after each disturbance.
func TestBasePaceIgnoresDisturbances(t *testing.T) {
	is, now := is.New(t), time.Unix(100, 0)
	var p Pace
	for i := range 200 {
		stated := 1.2
		if i%7 == 6 {
			stated = 3
		}
		p.RecordStated(stated, now)
		is.True(p.Base() >= 1.2 && p.Base() < 1.5)
	}
}

// TestPaceIsBounded guards against a wrong statement, such as 0.01 or 10,000, that makes an engine
// attract or lose all prompts.
func TestPaceIsBounded(t *testing.T) {
	is, now := is.New(t), time.Unix(100, 0)
	var low, high Pace
	low.RecordStated(0.0001, now)
	high.RecordStated(1e6, now)
	is.Equal(low.Current(now), minPace)
	is.Equal(high.Current(now), maxPace+0.0)
}
