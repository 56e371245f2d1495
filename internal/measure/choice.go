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

// Parameters of the choice measurement.
// These sizes are those of the deployment in examples/consorcio.ini.
const (
	engines          = 20
	vms              = 7
	slots            = 8
	perToken         = 20 * time.Millisecond
	prefillCold      = 300 * time.Millisecond // of a prompt whose prefix is not cached
	prefillWarm      = 30 * time.Millisecond  // of a prompt whose prefix is cached
	meanTokens       = 40                     // of an answer
	distinctPrefixes = 400                    // prefixes among all prompts
	cachedPrefixes   = 24                     // prefixes that an engine can cache
	loadDuration     = 120 * time.Second
	warmUpDuration   = 20 * time.Second
	drainDuration    = 20 * time.Minute // long enough for every request to end
	reportInterval   = 500 * time.Millisecond
	version          = contract.VersionID("m@1")
)

// engineOptions returns the options of an engine at full speed.
func engineOptions() model.EngineOptions {
	return model.EngineOptions{Slots: slots, PerToken: perToken, Prefill: prefillCold, CachedPrefill: prefillWarm, CacheCapacity: cachedPrefixes}
}

// uncachedServiceTime is the mean service time of a request whose prefix is not
// cached. A load of 100% is the rate that the engines carry at this service time.
const uncachedServiceTime = prefillCold + meanTokens*perToken

// site models engines and the VMs that choose among them.
type site struct {
	clock   *model.Clock
	random  *rand.Rand
	engines []*model.Engine
	vms     []chooser
	// silentEngines is the number of engines, counted from the first, that send no load reports.
	silentEngines int
}

// chooser is the strategy by which one VM chooses an engine. Engines are numbered from 0.
type chooser interface {
	// pick returns the engine for a request with a prompt prefix, or -1 if no engine can be chosen.
	pick(now time.Time, prefix uint64) int
	// sent records that a request was sent to engine i.
	sent(i int, prefix uint64)
	// done records that a request to engine i ended after the duration took.
	done(i int, took time.Duration, failed bool, now time.Time)
	// report records a load report of engine i that is age old.
	report(i, running, waiting int, age time.Duration, now time.Time)
}

// woaddoorChooser chooses with the product's upstream.Table.
type woaddoorChooser struct {
	table  *upstream.Table
	random *rand.Rand
	index  map[contract.UpstreamID]int
}

// newWoaddoorChooser returns a chooser among n engines in one pool.
func newWoaddoorChooser(n int, random *rand.Rand) chooser {
	pool := &config.Pool{ID: "p", Kind: config.EnginePool, DataCentre: "d", Slots: slots}
	chooser := &woaddoorChooser{table: upstream.NewTable(upstream.Options{}), random: random, index: make(map[contract.UpstreamID]int)}
	for i := range n {
		id := model.UpstreamID(i)
		chooser.index[id] = i
		pool.Upstreams = append(pool.Upstreams, config.Upstream{ID: id, URL: "http://" + string(id)})
	}
	chooser.table.Configure(map[contract.PoolID]*config.Pool{"p": pool})
	return chooser
}

func (c *woaddoorChooser) pick(now time.Time, prefix uint64) int {
	id, err := c.table.Pick(upstream.Query{Kind: config.EnginePool, DataCentre: "d", Version: version, Prefix: prefix}, now, c.random)
	if err != nil {
		return -1
	}
	return c.index[id]
}

func (c *woaddoorChooser) sent(i int, _ uint64) { c.table.RecordSent(model.UpstreamID(i)) }

func (c *woaddoorChooser) done(i int, took time.Duration, failed bool, now time.Time) {
	result := upstream.Succeeded
	if failed {
		result = upstream.Failed
	}
	c.table.RecordDone(model.UpstreamID(i), result, took, now)
}

func (c *woaddoorChooser) report(i, running, waiting int, age time.Duration, now time.Time) {
	c.table.ApplyReport(model.UpstreamID(i), contract.LoadReport{
		Incarnation: 1, Running: running, Waiting: waiting, AgeMillis: age.Milliseconds(), Versions: []contract.VersionID{version},
	}, now)
}

// roundRobin chooses the engines in turn.
type roundRobin struct{ n, next int }

func (r *roundRobin) pick(time.Time, uint64) int {
	r.next = (r.next + 1) % r.n
	return r.next
}
func (*roundRobin) sent(int, uint64)                               {}
func (*roundRobin) done(int, time.Duration, bool, time.Time)       {}
func (*roundRobin) report(int, int, int, time.Duration, time.Time) {}

// leastInFlight chooses the engine to which this VM has the fewest requests in flight.
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

// leastReported chooses the engine that last reported the fewest running and waiting requests.
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

// newSite returns a site of n engines and m VMs. The first engine is slower by the
// factor slow. Load reports reach the VMs with a delay of lag.
// make returns a VM's chooser among n engines.
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

// sendReports delivers to every VM the load that each engine had lag ago.
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

// sendRequest sends a request through a VM and calls done with the time to the first
// token, the total time and the result. Engines take preferred requests from their queues first.
func (s *site) sendRequest(vm chooser, preferred bool, done func(first, total time.Duration, result model.Result)) {
	// The product of two random numbers makes a few prefixes common and most rare.
	prefix := uint64(float64(distinctPrefixes)*s.random.Float64()*s.random.Float64()) + 1
	request := model.Request{Prefix: prefix, Tokens: 1 + s.random.IntN(2*meanTokens-1), Priority: 1}
	if preferred {
		request.Priority = 0
	}
	began := s.clock.Now()
	i := vm.pick(began, prefix)
	if i < 0 {
		done(0, 0, model.Result{Failed: true, Done: began})
		return
	}
	vm.sent(i, prefix)
	s.engines[i].Submit(request, func(result model.Result) {
		now := s.clock.Now()
		vm.done(i, now.Sub(began), result.Failed, now)
		done(result.FirstToken.Sub(began), now.Sub(began), result)
	})
}

// offerLoad sends requests at the given rate. It returns the times to the first token,
// the total times and the cache hit ratio of the requests that began after the warm-up.
func (s *site) offerLoad(rate float64) (first, total []time.Duration, hitRatio float64) {
	begin := s.clock.Now().Add(warmUpDuration)
	count, cached := 0, 0
	model.Arrivals(s.clock, s.random, rate, loadDuration, func() {
		measured := s.clock.Now().After(begin)
		s.sendRequest(s.vms[s.random.IntN(len(s.vms))], false, func(toFirst, toEnd time.Duration, result model.Result) {
			if !measured {
				return
			}
			first, total = append(first, toFirst), append(total, toEnd)
			count++
			if result.Cached {
				cached++
			}
		})
	})
	s.clock.Run(loadDuration + drainDuration)
	return first, total, float64(cached) / float64(max(count, 1))
}

// uncachedCapacity returns the request rate, per second,
// that n engines carry when no prefix is cached.
func uncachedCapacity(n int) float64 { return float64(n*slots) / uncachedServiceTime.Seconds() }

// choosers are the strategies that are compared.
var choosers = []struct {
	name string
	make func(n int, r *rand.Rand) chooser
}{
	{"round robin", func(n int, r *rand.Rand) chooser { return &roundRobin{n: n, next: r.IntN(n)} }},
	{"least in flight", func(n int, r *rand.Rand) chooser { return &leastInFlight{make([]int, n), r} }},
	{"least reported", func(n int, _ *rand.Rand) chooser { return &leastReported{make([]int, n)} }},
	{"woaddoor", newWoaddoorChooser},
}

// choice compares strategies for choosing an upstream.
func choice(seed uint64) []*table {
	columns := []string{"way", "first token p50 ms", "p95", "p99", "whole p95 ms", "prefix hits", "worst queue"}
	var tables []*table
	measure := func(title string, load float64, slow int, lag time.Duration) {
		t := &table{title: title, columns: columns, description: fmt.Sprintf("%d engines of %d places, %d VMs, load %.0f%% of the rate that is carried uncached, reports %v old, slow engine x%d, seed %d.", engines, slots, vms, load*100, lag, slow, seed)}
		for _, strategy := range choosers {
			s := newSite(seed, engines, vms, slow, lag, strategy.make)
			first, total, hitRatio := s.offerLoad(load * uncachedCapacity(engines))
			worst := 0
			for _, e := range s.engines {
				worst = max(worst, e.MaxQueue)
			}
			q := model.QuantilesOf(first)
			t.addRow(strategy.name, q.P50, q.P95, q.P99, model.QuantilesOf(total).P95, fmt.Sprintf("%.0f%%", hitRatio*100), worst)
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
