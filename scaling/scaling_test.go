package scaling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

const service = contract.ServiceID("s")

// testLimits offer preemptible upstreams at about a seventh of the standard price.
var testLimits = Limits{Min: 1, Max: 46, BootTime: 4 * time.Second, PreemptiblePrice: 0.15}

var dataCentres = []contract.DataCentreID{"a", "b", "c", "d"}

// fakeCloud simulates the platform. Ordered upstreams of both kinds serve after the boot time;
// removals take effect at once. Tests change input to take preemptible upstreams away.
type fakeCloud struct {
	input Input
	// booting holds the times at which ordered upstreams start to serve.
	booting map[Group][]time.Time
	now     time.Time
	orders  int
	cost    float64 // accumulated, in seconds of one standard upstream
}

// newFakeCloud returns a platform that runs a number of standard upstreams in each data centre.
func newFakeCloud(perDataCentre int, limits Limits) *fakeCloud {
	c := &fakeCloud{booting: make(map[Group][]time.Time), now: time.Unix(0, 0)}
	c.input = Input{
		Service: service, Limits: limits, Baseline: make(map[contract.DataCentreID]int),
		Running: make(map[contract.DataCentreID]UpstreamCounts), InProgress: make(map[Group]int),
	}
	for _, dc := range dataCentres {
		c.input.Baseline[dc] = perDataCentre
		c.input.Running[dc] = UpstreamCounts{Standard: perDataCentre}
	}
	return c
}

// advance moves the time forward by half a second and applies the orders that Plan returns.
func (c *fakeCloud) advance() {
	const interval = 500 * time.Millisecond
	c.now = c.now.Add(interval)
	for _, dc := range dataCentres {
		for _, preemptible := range []bool{false, true} {
			c.finishBooting(Group{service, dc, preemptible})
		}
		counts := c.input.Running[dc]
		c.cost += interval.Seconds() * (float64(counts.Standard) + c.input.Limits.PreemptiblePrice*float64(counts.Preemptible))
	}
	for _, o := range Plan(c.input) {
		c.orders++
		c.apply(o)
	}
}

// finishBooting makes booted upstreams serve. The order is complete once none are left.
func (c *fakeCloud) finishBooting(group Group) {
	readyTimes := c.booting[group]
	for len(readyTimes) > 0 && !readyTimes[0].After(c.now) {
		c.adjust(group, 1)
		readyTimes = readyTimes[1:]
	}
	c.booting[group] = readyTimes
	if len(readyTimes) == 0 {
		delete(c.input.InProgress, group)
	}
}

// adjust adds n to the number of running upstreams of a group.
func (c *fakeCloud) adjust(group Group, n int) {
	counts := c.input.Running[group.DataCentre]
	if group.Preemptible {
		counts.Preemptible += n
	} else {
		counts.Standard += n
	}
	c.input.Running[group.DataCentre] = counts
}

// apply removes upstreams or starts to boot new ones, as a scaling order demands.
func (c *fakeCloud) apply(o Order) {
	current := c.input.Running[o.DataCentre].countOf(o.Preemptible)
	if o.Count < current {
		c.booting[o.Group] = nil
		c.adjust(o.Group, o.Count-current)
		return
	}
	for range o.Count - current - len(c.booting[o.Group]) {
		c.booting[o.Group] = append(c.booting[o.Group], c.now.Add(c.input.Limits.BootTime))
	}
	c.input.InProgress[o.Group] = o.Count
}

// serving returns how many upstreams serve requests.
func (c *fakeCloud) serving() int {
	n := 0
	for _, counts := range c.input.Running {
		n += counts.Standard + counts.Preemptible
	}
	return n
}

// runFor advances the time by d and returns the lowest number of serving upstreams meanwhile.
func (c *fakeCloud) runFor(d time.Duration) (fewest int) {
	fewest = c.serving()
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance()
		fewest = min(fewest, c.serving())
	}
	return fewest
}

// TestPreemptibleReplacesStandard starts with standard upstreams only. Preemptible
// ones must replace them without the number of serving upstreams ever falling, and no
// orders may follow once they run.
func TestPreemptibleReplacesStandard(t *testing.T) {
	is := is.New(t)
	c := newFakeCloud(22, testLimits)
	is.Equal(c.runFor(20*time.Second), 88)
	for _, dc := range dataCentres {
		is.Equal(c.input.Running[dc], UpstreamCounts{Standard: 1, Preemptible: 21})
	}
	before, orders := c.cost, c.orders
	c.runFor(time.Minute)
	is.Equal(c.orders, orders) // no flapping
	is.True(c.cost-before < 0.25*88*60)
}

// TestPreemptibleLossInTwoDataCentres takes away the preemptible upstreams of two data centres
// at once, under a load that was known before. The remaining upstreams must keep up, and the
// lost ones must be ordered again.
func TestPreemptibleLossInTwoDataCentres(t *testing.T) {
	is := is.New(t)
	c := newFakeCloud(22, testLimits)
	c.input.Need = 80
	c.runFor(30 * time.Second)
	for _, dc := range dataCentres[:toleratedDataCentreLosses] {
		counts := c.input.Running[dc]
		counts.Preemptible = 0
		c.input.Running[dc] = counts
	}
	is.True(float64(c.serving()) >= minCapacityRatio*c.input.Need)
	is.True(!c.input.lacksCapacity())
	standard := 0
	c.runFor(20 * time.Second)
	for _, counts := range c.input.Running {
		standard += counts.Standard
	}
	is.Equal(standard, len(dataCentres)) // no extra standard upstreams, because the capacity suffices
	is.True(float64(c.serving()) >= c.input.Need)
}

// TestScaleOut raises the load above the running capacity. More upstreams must be ordered,
// within the limits, with and without preemptible ones.
func TestScaleOut(t *testing.T) {
	is := is.New(t)
	for _, limits := range []Limits{testLimits, {Min: 1, Max: 46, BootTime: 4 * time.Second}} {
		c := newFakeCloud(10, limits)
		c.runFor(20 * time.Second)
		c.input.Need = 100
		c.runFor(20 * time.Second)
		is.True(c.serving() >= 100)
		c.input.Need = 10_000
		c.runFor(20 * time.Second)
		is.True(c.serving() <= len(dataCentres)*limits.Max)
	}
}

// TestNoOrdersDuringRelease checks that no scaling order is placed while the upstreams of a release
// run beside the old ones, because it would remove some of them. An order is still placed if
// the load requires it, but none after the release rollout.
func TestNoOrdersDuringRelease(t *testing.T) {
	is := is.New(t)
	c := newFakeCloud(22, testLimits)
	c.input.ReleaseInProgress = true
	is.Equal(len(Plan(c.input)), 0)
	c.input.Need = 1000
	is.True(len(Plan(c.input)) > 0)
	c.input.ReleaseDone = true
	is.Equal(len(Plan(c.input)), 0)
}

// TestOrdersStayWithinLimits draws inputs and checks that scaling orders stay within the limits
// for both kinds together, and that each changes the number of upstreams.
func TestOrdersStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Input{
			Service: service, Baseline: make(map[contract.DataCentreID]int), Running: make(map[contract.DataCentreID]UpstreamCounts), InProgress: make(map[Group]int),
			Need: rapid.Float64Range(0, 300).Draw(t, "need"), ReleaseInProgress: rapid.Bool().Draw(t, "release in progress"),
		}
		s.Limits = Limits{Min: rapid.IntRange(0, 3).Draw(t, "min"), Max: rapid.IntRange(3, 40).Draw(t, "max"), PreemptiblePrice: rapid.Float64Range(0, 1.5).Draw(t, "price")}
		for _, dc := range dataCentres[:rapid.IntRange(1, 4).Draw(t, "data centres")] {
			s.Baseline[dc] = rapid.IntRange(0, 40).Draw(t, "baseline")
			s.Running[dc] = UpstreamCounts{Standard: rapid.IntRange(0, 20).Draw(t, "standard"), Preemptible: rapid.IntRange(0, 20).Draw(t, "preemptible")}
			if rapid.Bool().Draw(t, "ordered") {
				s.InProgress[Group{service, dc, true}] = rapid.IntRange(0, 20).Draw(t, "count")
			}
		}
		for _, o := range Plan(s) {
			if o.Count < 0 || o.Count > s.Limits.Max {
				t.Fatalf("order %+v is outside 0 to %d", o, s.Limits.Max)
			}
			if o.Count == s.provisioned(o.Group) {
				t.Fatalf("order %+v changes nothing", o)
			}
			if o.Preemptible && o.Count > s.provisioned(o.Group) && o.Count+s.provisioned(Group{service, o.DataCentre, false}) > s.Limits.Max {
				t.Fatalf("order %+v exceeds the limit together with %d standard upstreams", o, s.provisioned(Group{service, o.DataCentre, false}))
			}
		}
	})
}

// TestNeed uses prompts that take 0.2 s of prefill, at 50 per second, with responses due to
// begin within 4 s. Ten upstreams would be busy all the time; with 14, prompts wait as long as
// the objective permits.
func TestNeed(t *testing.T) {
	is := is.New(t)
	w := Load{Prefill: 5, PromptRate: 25}.Add(Load{Prefill: 5, PromptRate: 25})
	is.Equal(w.Need(64, 4*time.Second), 10/(0.5/0.7))
	is.Equal(w.Need(64, 0), 20.0)
	is.True(w.Need(64, time.Second) > 20) // a shorter objective requires more upstreams
	w.SlotsInUse = 640
	is.Equal(w.Need(64, 4*time.Second), 20.0)
}

// TestPeak checks that a peak counts for a minute and is then replaced by the largest recent need.
func TestPeak(t *testing.T) {
	is := is.New(t)
	var p Peak
	at := time.Unix(0, 0)
	is.Equal(p.Record(10, at), 10.0)
	is.Equal(p.Record(3, at.Add(20*time.Second)), 10.0)
	is.Equal(p.Record(5, at.Add(40*time.Second)), 10.0)
	is.Equal(p.Record(4, at.Add(61*time.Second)), 5.0)
	is.Equal(p.Record(12, at.Add(62*time.Second)), 12.0)
}
