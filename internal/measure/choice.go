package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/internal/measure/model"
	"woaddoor/upstream"
)

// Sizes of the choice measurement: those of the Consorcio.
const (
	engines          = 20
	vms              = 7
	slots            = 8
	perToken         = 20 * time.Millisecond
	prefillCold      = 300 * time.Millisecond
	prefillWarm      = 30 * time.Millisecond
	meanTokens       = 40
	distinctPrefixes = 400
	cachedPrefixes   = 24
	loadDuration     = 120 * time.Second
	warmUpDuration   = 20 * time.Second
	drainDuration    = 20 * time.Minute // until the last request has ended
	reportInterval   = 500 * time.Millisecond
	version          = contract.VersionID("m@1")
)

func engineOptions() model.EngineOptions {
	return model.EngineOptions{Slots: slots, PerToken: perToken, Prefill: prefillCold, CachedPrefill: prefillWarm, CacheCapacity: cachedPrefixes}
}

// uncachedServiceTime is the mean time of a request whose prefix is not cached; a load
// of 100% is what the engines carry at that.
const uncachedServiceTime = prefillCold + meanTokens*perToken

// site is engines, and VMs that choose among them.
type site struct {
	clock   *model.Clock
	random  *rand.Rand
	engines []*model.Engine
	vms     []chooser
	// silentEngines is how many engines, the first ones, send no reports.
	silentEngines int
}

// chooser is one VM's way to choose.
type chooser interface {
	pick(now time.Time, prefix uint64) int
	sent(i int, prefix uint64)
	done(i int, took time.Duration, failed bool, now time.Time)
	report(i, running, waiting int, age time.Duration, now time.Time)
}

// woaddoorChooser chooses by upstream.Table.
type woaddoorChooser struct {
	table  *upstream.Table
	random *rand.Rand
	index  map[contract.UpstreamID]int
}

func newWoaddoorChooser(n int, random *rand.Rand) chooser {
	p := &config.Pool{ID: "p", Kind: config.EnginePool, DataCentre: "d", Slots: slots}
	o := &woaddoorChooser{table: upstream.NewTable(upstream.Options{}), random: random, index: make(map[contract.UpstreamID]int)}
	for i := range n {
		id := model.UpstreamID(i)
		o.index[id] = i
		p.Upstreams = append(p.Upstreams, config.Upstream{ID: id, URL: "http://" + string(id)})
	}
	o.table.Configure(map[contract.PoolID]*config.Pool{"p": p})
	return o
}

func (o *woaddoorChooser) pick(now time.Time, prefix uint64) int {
	id, err := o.table.Pick(upstream.Query{Kind: config.EnginePool, DataCentre: "d", Version: version, Prefix: prefix}, now, o.random)
	if err != nil {
		return -1
	}
	return o.index[id]
}

func (o *woaddoorChooser) sent(i int, _ uint64) { o.table.Sent(model.UpstreamID(i)) }

func (o *woaddoorChooser) done(i int, took time.Duration, failed bool, now time.Time) {
	result := upstream.Good
	if failed {
		result = upstream.Failed
	}
	o.table.Done(model.UpstreamID(i), result, took, now)
}

func (o *woaddoorChooser) report(i, running, waiting int, age time.Duration, now time.Time) {
	o.table.Reported(model.UpstreamID(i), contract.Load{
		Incarnation: 1, Running: running, Waiting: waiting, AgeMillis: age.Milliseconds(), Versions: []contract.VersionID{version},
	}, now)
}

// roundRobin takes the engines in turn.
type roundRobin struct{ n, next int }

func (r *roundRobin) pick(time.Time, uint64) int {
	r.next = (r.next + 1) % r.n
	return r.next
}
func (*roundRobin) sent(int, uint64)                               {}
func (*roundRobin) done(int, time.Duration, bool, time.Time)       {}
func (*roundRobin) report(int, int, int, time.Duration, time.Time) {}

// leastInFlight takes the engine with the fewest own requests.
type leastInFlight struct {
	inFlight []int
	random   *rand.Rand
}

func (l *leastInFlight) pick(time.Time, uint64) int {
	best, start := -1, l.random.IntN(len(l.inFlight))
	for k := range l.inFlight {
		i := (start + k) % len(l.inFlight)
		if best < 0 || l.inFlight[i] < l.inFlight[best] {
			best = i
		}
	}
	return best
}
func (l *leastInFlight) sent(i int, _ uint64)                             { l.inFlight[i]++ }
func (l *leastInFlight) done(i int, _ time.Duration, _ bool, _ time.Time) { l.inFlight[i]-- }
func (*leastInFlight) report(int, int, int, time.Duration, time.Time)     {}

// leastReported takes the engine that last reported the shortest line.
type leastReported struct{ load []int }

func (l *leastReported) pick(time.Time, uint64) int {
	best := 0
	for i := range l.load {
		if l.load[i] < l.load[best] {
			best = i
		}
	}
	return best
}
func (*leastReported) sent(int, uint64)                         {}
func (*leastReported) done(int, time.Duration, bool, time.Time) {}
func (l *leastReported) report(i, running, waiting int, _ time.Duration, _ time.Time) {
	l.load[i] = running + waiting
}

// newSite returns a site of n engines and m VMs. slow makes the first engine
// slower by that factor.
func newSite(seed uint64, n, m, slow int, lag time.Duration, make func(n int, r *rand.Rand) chooser) *site {
	s := &site{clock: model.NewClock(), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		opts := engineOptions()
		if i == 0 {
			opts.Slowdown = slow
		}
		s.engines = append(s.engines, model.NewEngine(s.clock, opts))
	}
	for i := range m {
		s.vms = append(s.vms, make(n, rand.New(rand.NewPCG(seed, uint64(i)+2))))
	}
	s.sendReports(lag)
	s.clock.Every(reportInterval, func() bool { s.sendReports(lag); return true })
	return s
}

func (s *site) sendReports(lag time.Duration) {
	for i, e := range s.engines {
		if i < s.silentEngines {
			continue
		}
		running, waiting := e.Load(lag)
		for _, vm := range s.vms {
			vm.report(i, running, waiting, lag, s.clock.Now())
		}
	}
}

// sendRequest sends a request through a VM and calls done with its answer.
func (s *site) sendRequest(vm chooser, preferred bool, done func(first, whole time.Duration, a model.Result)) {
	// A few prefixes are common, most are rare.
	prefix := uint64(float64(distinctPrefixes)*s.random.Float64()*s.random.Float64()) + 1
	w := model.Request{Prefix: prefix, Tokens: 1 + s.random.IntN(2*meanTokens-1), Priority: 1}
	if preferred {
		w.Priority = 0
	}
	began := s.clock.Now()
	i := vm.pick(began, prefix)
	if i < 0 {
		done(0, 0, model.Result{Failed: true, Done: began})
		return
	}
	vm.sent(i, prefix)
	s.engines[i].Submit(w, func(a model.Result) {
		now := s.clock.Now()
		vm.done(i, now.Sub(began), a.Failed, now)
		done(a.FirstToken.Sub(began), now.Sub(began), a)
	})
}

// offerLoad offers requests at a rate and returns what came of those that began
// after the warm-up.
func (s *site) offerLoad(rate float64) (first, whole []time.Duration, hits float64) {
	begin := s.clock.Now().Add(warmUpDuration)
	count, cached := 0, 0
	model.Arrivals(s.clock, s.random, rate, loadDuration, func() {
		counts := s.clock.Now().After(begin)
		s.sendRequest(s.vms[s.random.IntN(len(s.vms))], false, func(f, w time.Duration, a model.Result) {
			if !counts {
				return
			}
			first, whole = append(first, f), append(whole, w)
			count++
			if a.Cached {
				cached++
			}
		})
	})
	s.clock.Run(loadDuration + drainDuration)
	return first, whole, float64(cached) / float64(max(count, 1))
}

// uncachedCapacity is the rate at which the engines are full when no prefix is cached.
func uncachedCapacity(n int) float64 { return float64(n*slots) / uncachedServiceTime.Seconds() }

var choosers = []struct {
	name string
	make func(n int, r *rand.Rand) chooser
}{
	{"round robin", func(n int, r *rand.Rand) chooser { return &roundRobin{n: n, next: r.IntN(n)} }},
	{"least in flight", func(n int, r *rand.Rand) chooser { return &leastInFlight{make([]int, n), r} }},
	{"least reported", func(n int, _ *rand.Rand) chooser { return &leastReported{make([]int, n)} }},
	{"woaddoor", newWoaddoorChooser},
}

// choice measures the choice of upstream.
func choice(seed uint64) []*table {
	head := []string{"way", "first token p50 ms", "p95", "p99", "whole p95 ms", "prefix hits", "worst queue"}
	var tables []*table
	measure := func(title string, load float64, slow int, lag time.Duration) {
		t := &table{title: title, columns: head, description: fmt.Sprintf("%d engines of %d places, %d VMs, load %.0f%% of the rate that is carried uncached, reports %v old, slow engine x%d, seed %d.", engines, slots, vms, load*100, lag, slow, seed)}
		for _, w := range choosers {
			s := newSite(seed, engines, vms, slow, lag, w.make)
			first, whole, hits := s.offerLoad(load * uncachedCapacity(engines))
			worst := 0
			for _, e := range s.engines {
				worst = max(worst, e.MaxQueue)
			}
			q := model.QuantilesOf(first)
			t.addRow(w.name, q.P50, q.P95, q.P99, model.QuantilesOf(whole).P95, fmt.Sprintf("%.0f%%", hits*100), worst)
		}
		tables = append(tables, t)
	}
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		measure(fmt.Sprintf("Choice of upstream at %.0f%%", load*100), load, 1, time.Second)
	}
	for _, lag := range []time.Duration{0, 5 * time.Second} {
		measure(fmt.Sprintf("Choice of upstream, reports %v old", lag), 0.8, 1, lag)
	}
	measure("Choice of upstream, one engine at a tenth of its speed", 0.8, 10, time.Second)
	return tables
}
