package upstream

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// The simulated region of an overflowReplay. Each data centre has the same mean traffic.
const (
	overflowVMs, overflowEngines = 8, 24 // of each data centre
	overflowTokens               = 3000  // of a prompt, none of them shared
	overflowObjective            = 1200 * time.Millisecond
	overflowLoad                 = 0.9 // mean traffic of each data centre, as a fraction of its capacity
	// overflowReportEvery and overflowReportDelay are those of package site: two delegates report
	// every 500 ms, and hubs forward reports within 100 ms.
	overflowReportEvery, overflowReportDelay = 250 * time.Millisecond, 100 * time.Millisecond
)

var overflowCentres = []contract.DataCentreID{"a", "b", "c"}

// overflowReplay simulates three data centres. The VMs of each learn of each other's prompts, and
// of other data centres only by their reports. The traffic of the third is out of phase.
type overflowReplay struct {
	*replay
	centreOf map[contract.UpstreamID]contract.DataCentreID
	// sent counts prompts by data centre of the VM, data centre of the engine and second.
	sent map[[2]contract.DataCentreID][]float64
	// bins counts the prompts of a data centre, and those sent elsewhere, between two reports.
	bins map[contract.DataCentreID][][2]float64
}

func newOverflowReplay(t *testing.T, disabled ...string) *overflowReplay {
	policy, err := NewPolicy(disabled)
	if err != nil {
		t.Fatal(err)
	}
	r := &overflowReplay{replay: &replay{
		t: t, policy: policy, engines: make(map[contract.UpstreamID]*replayEngine), random: rand.New(rand.NewPCG(7, 7)),
		now: time.Unix(100, 0), late: make(map[string]int), total: make(map[string]int),
	}, centreOf: make(map[contract.UpstreamID]contract.DataCentreID), sent: make(map[[2]contract.DataCentreID][]float64), bins: make(map[contract.DataCentreID][][2]float64)}
	var entries []Entry
	for _, dc := range overflowCentres {
		for i := range overflowEngines {
			id := contract.UpstreamID(fmt.Sprintf("%s%02d", dc, i))
			entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: dc, Release: "v1", Slots: 64, CacheTokens: 460000})
			r.engines[id], r.centreOf[id] = &replayEngine{prefixCache: prefill.NewPrefixCache(460000)}, dc
		}
	}
	for range len(overflowCentres) * overflowVMs {
		tb := NewTable(Options{Listed: true, Policy: policy})
		tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }})
		tb.SetModelPrices(map[contract.ModelID]float64{"large": 0.12})
		r.vms = append(r.vms, tb)
	}
	return r
}

// play simulates traffic that varies by an amplitude around its mean, with a period.
func (r *overflowReplay) play(amplitude float64, period, length time.Duration) {
	capacity := overflowEngines / (replayLargeTokenSeconds * overflowTokens)
	for i, dc := range overflowCentres {
		phase := 0.0
		if i == len(overflowCentres)-1 {
			phase = math.Pi
		}
		for at := time.Duration(0); at < length; {
			wave := 1 + amplitude*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()+phase)
			at += time.Duration(r.random.ExpFloat64() / (capacity * overflowLoad * wave) * float64(time.Second))
			q := r.request(string(dc), at, "large", 0, 0, overflowTokens, overflowObjective)
			r.schedule(at, func() { r.send(i, q) })
		}
	}
	for at := time.Duration(0); at < length; at += overflowReportEvery {
		r.schedule(at, r.report)
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
}

// report lets one VM of each data centre, in turn, report to the VMs of the other data centres.
func (r *overflowReplay) report() {
	for i, tb := range r.vms {
		dc := overflowCentres[i/overflowVMs]
		tb.CompareUpstreams(dc, r.now)
		if i%overflowVMs != 0 {
			continue
		}
		report := tb.OverflowReport(dc, r.now)
		report.From, report.MadeAt = contract.VMInstance{VM: contract.VMID(dc)}, r.now.UnixMilli()
		for k, other := range r.vms {
			if k/overflowVMs != i/overflowVMs {
				r.schedule(overflowReportDelay, func() { other.MergeOverflowReport(report, r.now) })
			}
		}
	}
}

// send sends a request through a random VM of a data centre.
func (r *overflowReplay) send(centre int, q replayRequest) {
	dc := overflowCentres[centre]
	vms := r.vms[centre*overflowVMs : (centre+1)*overflowVMs]
	sender := r.random.IntN(len(vms))
	tb := vms[sender]
	tb.RecordPrompt(q.objective, 1, len(vms), r.now)
	w := Work{Prompt: q.prompt, Objective: q.objective}
	id, err := tb.Pick(Query{Kind: config.EnginePool, DataCentre: dc, Work: w}, r.now, r.random)
	if err != nil {
		r.t.Fatal(err)
	}
	r.countSent(dc, r.centreOf[id])
	tb.RecordSent(id)
	expected, queueID := tb.RecordExpected(id, w, dc, r.now)
	for i, other := range vms {
		if i != sender {
			token := tb.PrefillTokenTime(q.prompt.Model)
			r.schedule(overflowReportDelay, func() { other.RecordPeerPrompt(id, q.prompt, expected.Prefill, token, r.now) })
		}
	}
	sent := r.now
	r.schedule(r.engines[id].prefill(r.replay, q.prompt), func() {
		took := r.now.Sub(sent)
		tb.RecordAnswerBegin(id, queueID, w, expected, took, r.now)
		tb.RecordDone(id, Succeeded, took, r.now)
		r.total[q.kind]++
		if took > q.objective {
			r.late[q.kind]++
		}
	})
}

func (r *overflowReplay) countSent(from, to contract.DataCentreID) {
	bin := int(r.now.Sub(time.Unix(100, 0)) / overflowReportEvery)
	for len(r.bins[from]) <= bin {
		r.bins[from] = append(r.bins[from], [2]float64{})
	}
	r.bins[from][bin][0]++
	if from != to {
		r.bins[from][bin][1]++
	}
	second := int(r.now.Sub(time.Unix(100, 0)) / time.Second)
	for _, dc := range overflowCentres {
		key := [2]contract.DataCentreID{from, dc}
		for len(r.sent[key]) <= second {
			r.sent[key] = append(r.sent[key], 0)
		}
	}
	r.sent[[2]contract.DataCentreID{from, to}][second]++
}

// share returns the fraction of a data centre's prompts sent to another, for each second.
func (r *overflowReplay) share(from, to contract.DataCentreID) []float64 {
	shares := make([]float64, len(r.sent[[2]contract.DataCentreID{from, to}]))
	for second := range shares {
		total := 0.0
		for _, dc := range overflowCentres {
			total += r.sent[[2]contract.DataCentreID{from, dc}][second]
		}
		shares[second] = r.sent[[2]contract.DataCentreID{from, to}][second] / max(total, 1)
	}
	return shares
}

// reversals counts the changes of direction of a series, without those of less than least.
func reversals(series []float64, least float64) int {
	n, direction, extreme := 0, 0, series[0]
	for _, x := range series {
		switch {
		case direction >= 0 && x > extreme, direction <= 0 && x < extreme:
			if direction == 0 && math.Abs(x-series[0]) >= least {
				direction = 1
				if x < series[0] {
					direction = -1
				}
			}
			if direction != 0 || math.Abs(x-series[0]) >= least {
				extreme = x
			}
		case direction > 0 && extreme-x >= least, direction < 0 && x-extreme >= least:
			n, direction, extreme = n+1, -direction, x
		}
	}
	return n
}

func (r *overflowReplay) lateShare() float64 {
	late, total := 0, 0
	for _, dc := range overflowCentres {
		late, total = late+r.late[string(dc)], total+r.total[string(dc)]
	}
	return float64(late) / float64(total)
}

// elsewhere returns the fraction of a data centre's prompts sent to the others, for each second.
func (r *overflowReplay) elsewhere(from contract.DataCentreID) []float64 {
	local := r.share(from, from)
	for i := range local {
		local[i] = 1 - local[i]
	}
	return local
}

// swing returns the mean squared difference of the share sent elsewhere between two successive
// reports, relative to the difference that independent choices with that share would have.
func (r *overflowReplay) swing(from contract.DataCentreID) float64 {
	actual, independent := 0.0, 0.0
	for i, b := range r.bins[from][1:] {
		a := r.bins[from][i]
		if a[0] == 0 || b[0] == 0 {
			continue
		}
		share := (a[1] + b[1]) / (a[0] + b[0])
		difference := a[1]/a[0] - b[1]/b[0]
		actual += difference * difference
		independent += share * (1 - share) * (1/a[0] + 1/b[0])
	}
	return actual / max(independent, 1e-9)
}

// meanDuring returns the mean of a series over the seconds for which the wave is at least least.
func meanDuring(series []float64, period time.Duration, least, most float64) float64 {
	total, n := 0.0, 0
	for second, x := range series {
		if wave := math.Sin(2 * math.Pi * (float64(second) + 0.5) / period.Seconds()); wave >= least && wave <= most {
			total, n = total+x, n+1
		}
	}
	return total / float64(n)
}

// TestReplayOverflowFollowsSlack simulates waves of traffic that are out of phase in one data
// centre. Without reports, each data centre keeps the prompts that it cannot serve in time, or
// spreads them over data centres at their own peak. The share that is sent elsewhere must follow
// the slack there, and must not swing between the data centres within a wave.
func TestReplayOverflowFollowsSlack(t *testing.T) {
	const waves = 4
	for _, wave := range []struct {
		amplitude float64
		period    time.Duration
		// maxLateRatio is the largest number of late prompts, relative to those without reports.
		// At 27%, queues last only for 0.3 s at the peak: few prompts are late in either case.
		maxLateRatio float64
	}{{0.27, 11 * time.Second, 1}, {0.55, 15 * time.Second, 0.5}} {
		t.Run(fmt.Sprint(wave.amplitude), func(t *testing.T) {
			is := is.New(t)
			off, on := newOverflowReplay(t, "overflow"), newOverflowReplay(t)
			off.play(wave.amplitude, wave.period, waves*wave.period)
			on.play(wave.amplitude, wave.period, waves*wave.period)
			peak, low := meanDuring(on.share("a", "c"), wave.period, 0.5, 1), meanDuring(on.share("a", "c"), wave.period, -1, -0.5)
			inPhase := meanDuring(on.share("a", "b"), wave.period, 0.5, 1)
			t.Logf("late: %.4f without reports, %.4f with; sent from a to c at a's peak: %.3f, %.3f, at its low: %.3f, %.3f; to b, in phase with a: %.3f, %.3f",
				off.lateShare(), on.lateShare(), meanDuring(off.share("a", "c"), wave.period, 0.5, 1), peak, meanDuring(off.share("a", "c"), wave.period, -1, -0.5), low,
				meanDuring(off.share("a", "b"), wave.period, 0.5, 1), inPhase)
			is.True(peak >= 0.03)      // overflow goes to the slack
			is.True(low <= peak/5)     // and ends with it
			is.True(inPhase <= peak/3) // and does not go where there is none
			is.True(on.lateShare() <= wave.maxLateRatio*off.lateShare())
			for _, dc := range overflowCentres {
				n := reversals(on.elsewhere(dc), overflowNoise)
				t.Logf("%s: the share sent elsewhere changes direction %d times in %d waves; swing %.2f", dc, n, waves, on.swing(dc))
				is.True(n <= 2*waves)
				is.True(on.swing(dc) <= maxSwing)
			}
		})
	}
}

// maxSwing bounds overflowReplay.swing. A share that alternated with each report between nothing and
// twice its mean of a quarter would have a swing of 16.
const maxSwing = 6

// overflowNoise is three standard deviations of the share of a hundred prompts a second.
const overflowNoise = 0.15
