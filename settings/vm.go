package settings

import (
	"cmp"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"woaddoor/cascade"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/upstream"
)

// VM is the settings of woaddoor-vm, the one process of a VM on the users'
// platform. Every bound of the deployment stands here; none has a figure in
// the code.
type VM struct {
	Name       contract.VMID
	DataCentre contract.DataCentreID
	// Regions names the region of each data centre.
	Regions map[contract.DataCentreID]string
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	Listen     Listen
	// Store is the TCP address of the platform's store.
	Store   string
	Machine Machine
	Bounds  Bounds
	// Duties is what one VM does for all.
	Duties Duties
	// Policy says which mechanisms of the policy are left out: none, but to
	// measure what one is worth.
	Policy upstream.Policy
	// WorthOfCost is what a request of the first rank is worth against what the
	// dearest model's answer costs, and RepeatPrice what a repeat costs at most, in
	// parts of what a request is worth.
	WorthOfCost, RepeatPrice float64
}

// PolicyKeys are the keys of [policy].
var PolicyKeys = []string{keyWithout, keyWorthOfCost, keyRepeatPrice}

const (
	keyWithout     = "without"
	keyWorthOfCost = "worth-of-cost"
	keyRepeatPrice = "repeat-price"
)

// Bounds of [policy].
const (
	leastWorthOfCost, mostWorthOfCost = 0.1, 1000
	mostRepeatPrice                   = 10
)

// CheckPolicy checks lines of [policy].
func CheckPolicy(lines string) error {
	f, err := config.ReadFile("policy", []byte("[policy]\n"+lines+"\n"))
	if err != nil {
		return err
	}
	var faults config.Faults
	readPolicy(&VM{}, config.NewReader(f, "policy", &faults))
	return faults.Err()
}

func readPolicy(v *VM, r *config.Reader) {
	var err error
	if v.Policy, err = upstream.NewPolicy(r.List(keyWithout)); err != nil {
		r.Fault(keyWithout, "%v", err)
	}
	v.WorthOfCost = r.Number(keyWorthOfCost, cascade.DefaultWorthOfCost, leastWorthOfCost, mostWorthOfCost)
	v.RepeatPrice = r.Number(keyRepeatPrice, cascade.DefaultRepeatPrice, 0, mostRepeatPrice)
}

// Machine is what the machine gives the process. Zero means no bound.
type Machine struct {
	Memory      contract.Bytes
	Descriptors int
	// Share is the part of its cores that the process gets, times the cores, and
	// Link how fast its link is.
	Share    float64
	LinkMbps float64
}

// Parts of the descriptors.
const (
	// forFiles are descriptors that the platform keeps for files.
	forFiles = 200
	// callersShare is the part of the rest that callers' connections may take;
	// upstreams' connections and links have the other.
	callersShare = 0.5
)

// Units of Strength: the smallest machines known so far.
const (
	strengthShare = 0.1  // of a core
	strengthLink  = 10.0 // megabits a second
)

// Strength returns how much a machine can do for others, by what it has least of,
// in whole units; 0 when that is not told.
func (m Machine) Strength() int { return int(min(m.Share/strengthShare, m.LinkMbps/strengthLink)) }

// Callers returns how many connections callers may have.
func (m Machine) Callers() int {
	if m.Descriptors == 0 {
		return 0
	}
	return max(int(callersShare*float64(m.Descriptors-forFiles)), 1)
}

// Listen holds the addresses of a VM.
type Listen struct {
	// Callers and Ready are TCP addresses for requests and for the balancer's
	// question whether the VM is ready.
	Callers, Ready string
	// Links is the UDP address for other VMs.
	Links string
	// Seeds are link addresses at which VMs may be found, this one's among them
	// where it is one that others ask; they may be down or stale.
	Seeds []string
	// Metrics is the TCP address at which metrics are served.
	Metrics string
}

// Bounds are what the deployment promises its users.
type Bounds struct {
	// Drain is how soon after the store's word an upstream that leaves gets no
	// more requests.
	Drain time.Duration
	// Grace is the time between the word to stop and the end of the process.
	Grace time.Duration
	// Apply is how soon a configuration is in force.
	Apply time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeated sends of all
	// VMs together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// CanaryShare bounds the part of requests that a bad release gets.
	CanaryShare float64
	// LongestRest bounds for how long an upstream is obeyed that asks for a rest.
	LongestRest time.Duration
	// Evacuation is how soon the upstreams of a data centre that is evacuated get
	// nothing more; zero where no data centre ever is.
	Evacuation time.Duration
	// ColdOvershoot and ColdSlack bound what a cold upstream gets from all VMs
	// together in any second: so many times what it bears, and so many requests more.
	ColdOvershoot, ColdSlack float64
}

// Defaults, where a deployment leaves a bound out: the smallest that the
// deployments known so far have.
const (
	defaultDrainBound  = 2 * time.Second
	defaultGrace       = 8 * time.Second
	defaultApply       = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultCanaryShare = 0.1
	// defaultColdOvershoot allows a cold upstream what it bears and no more.
	defaultColdOvershoot = 1
	maxPort              = 65535
)

// LoadVM reads and checks the settings file of woaddoor-vm.
func LoadVM(path string) (*VM, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, contract.Fail(contract.StepSettings, path, err)
	}
	return ParseVM(path, text)
}

// ParseVM reads and checks a text. Sections and keys that are not known are
// left out: the deployment may add some.
func ParseVM(path string, text []byte) (*VM, error) {
	f, err := config.ReadFile(path, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	section := func(name string) *config.Reader { return config.NewReader(f, name, &faults) }
	v := &VM{}
	readName(v, section("vm"))
	v.Regions = make(map[contract.DataCentreID]string)
	regions := section("regions")
	for _, dc := range regions.Keys() {
		v.Regions[contract.DataCentreID(dc)] = regions.Text(dc, "")
	}
	readListen(v, section("listen"))
	v.Store = address(section("store"), "address")
	m := section("machine")
	v.Machine = Machine{
		Memory:      contract.Bytes(m.Int("memory-mb", 0, 0, most)) * contract.MiB,
		Descriptors: m.Int("descriptors", 0, 0, most),
		Share:       m.Number("cpu-share", 0, 0, math.MaxInt32) * m.Number("cores", 1, 0, math.MaxInt32),
		LinkMbps:    m.Number("link-mbps", 0, 0, math.MaxInt32),
	}
	readBounds(v, section("bounds"))
	readPolicy(v, section("policy"))
	readDuties(v, section("duties"))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

func readName(v *VM, r *config.Reader) {
	v.Name = contract.VMID(r.Need("name", "the VM's name"))
	v.DataCentre = contract.DataCentreID(r.Need("data-centre", "the name of its data centre"))
	v.FirstStart = r.Text("first-start", "") == "true"
}

func readListen(v *VM, r *config.Reader) {
	v.Listen = Listen{Callers: address(r, "callers"), Ready: address(r, "ready"), Links: address(r, "links")}
	v.Listen.Seeds = seeds(r, v.Listen.Links)
	port := r.Int("metrics-port", 0, 0, maxPort)
	host, _, err := net.SplitHostPort(v.Listen.Ready)
	if port > 0 && err == nil { // a fault of the address is noted already
		v.Listen.Metrics = net.JoinHostPort(host, strconv.Itoa(port))
	}
}

// seeds reads the addresses of other VMs. A deployment may tell them with the
// port of another listener: links have the same port at all VMs.
func seeds(r *config.Reader, links string) []string {
	_, port, err := net.SplitHostPort(links)
	if err != nil {
		return nil // a fault of links, noted already
	}
	var out []string
	for _, s := range r.List("seeds") {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			r.Fault("seeds", "has %q: expected an address with a port, such as 10.0.0.1:8080", s)
			continue
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

func readBounds(v *VM, r *config.Reader) {
	v.Bounds = Bounds{
		Drain:       cmp.Or(r.Duration("drain", 0), defaultDrainBound),
		Grace:       cmp.Or(r.Duration("grace", 0), defaultGrace),
		Apply:       cmp.Or(r.Duration("apply", 0), defaultApply),
		RetryRatio:  r.Number("retry-ratio", defaultRetryRatio, 0, math.MaxInt32),
		RetryWindow: cmp.Or(r.Duration("retry-window", 0), defaultRetryWindow),
		RetrySlack:  r.Number("retry-slack", 0, 0, math.MaxInt32),
		CanaryShare: r.Number("canary-share", defaultCanaryShare, 0, 1),
		Evacuation:  r.Duration("evacuation", 0),
		LongestRest: cmp.Or(r.Duration("longest-rest", 0), upstream.DefaultLongestRest),

		ColdOvershoot: r.Number("cold-overshoot", defaultColdOvershoot, 1, math.MaxInt32),
		ColdSlack:     r.Number("cold-slack", 0, 0, math.MaxInt32),
	}
}
