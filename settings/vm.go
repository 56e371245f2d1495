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

// VM holds the settings of woaddoor-vm, the only process of a VM on the users'
// platform. It contains every limit that a deployment can set;
// the rest of the code has only defaults.
type VM struct {
	Name       contract.VMID
	DataCentre contract.DataCentreID
	// Regions maps each data centre to the name of its region.
	Regions map[contract.DataCentreID]string
	// FirstStart is true only when the whole system is started for the first time.
	FirstStart bool
	Listen     Listen
	// Store is the TCP address of the platform's object store.
	Store   string
	Machine Machine
	// Callers limits what callers may make the process hold.
	Callers Callers
	Bounds  Bounds
	// Duties configures the calls to the platform that one VM makes on behalf of all VMs.
	Duties Duties
	// Policy is the upstream selection policy. It lists the disabled mechanisms: no mechanism
	// is disabled, except in experiments that measure the benefit of one mechanism.
	Policy upstream.Policy
	// ValueCostRatio is the value of a request of the highest rank divided by the
	// cost of an answer from the most expensive model. MaxEscalationPrice is the price
	// of an escalation when the retry budget is almost used up,
	// as a fraction of the value of the request.
	ValueCostRatio, MaxEscalationPrice float64
}

// PolicyKeys lists the keys of the [policy] section.
var PolicyKeys = []string{keyWithout, keyValueCostRatio, keyEscalationPrice}

const (
	keyWithout         = "without"
	keyValueCostRatio  = "worth-of-cost"
	keyEscalationPrice = "repeat-price"
)

// Limits of the values in the [policy] section.
const (
	minValueCostRatio, maxValueCostRatio = 0.1, 1000
	maxEscalationPriceSetting            = 10
)

// CheckPolicy validates the lines of a [policy] section. Each line has the form "key = value".
func CheckPolicy(lines string) error {
	f, err := config.ParseINI("policy", []byte("[policy]\n"+lines+"\n"))
	if err != nil {
		return err
	}
	var faults config.Faults
	readPolicy(&VM{}, config.NewReader(f, "policy", &faults))
	return faults.Err()
}

// readPolicy reads the [policy] section into v.
func readPolicy(v *VM, r *config.SectionReader) {
	var err error
	if v.Policy, err = upstream.NewPolicy(r.List(keyWithout)); err != nil {
		r.Fault(keyWithout, "%v", err)
	}
	v.ValueCostRatio = r.Number(keyValueCostRatio, cascade.DefaultValueCostRatio, minValueCostRatio, maxValueCostRatio)
	v.MaxEscalationPrice = r.Number(keyEscalationPrice, cascade.DefaultMaxEscalationPrice, 0, maxEscalationPriceSetting)
}

// Machine holds the resources that the machine gives the process. Zero means
// that a resource is not limited or not known.
type Machine struct {
	Memory          contract.Bytes
	FileDescriptors int
	// CPUCores is the number of cores times the fraction of them that the process
	// may use. LinkMbps is the speed of the network link in megabits per second.
	CPUCores float64
	LinkMbps float64
}

// Resources of one capacity unit. The smallest known machines have these resources.
const (
	coresPerCapacityUnit    = 0.1  // cores
	linkMbpsPerCapacityUnit = 10.0 // megabits per second
)

// CapacityUnits returns the capacity of the machine, in whole units, for work on
// behalf of other VMs. The scarcer of CPU time and link speed determines the capacity. 0 means
// that the capacity is not known.
func (m Machine) CapacityUnits() int {
	return int(min(m.CPUCores/coresPerCapacityUnit, m.LinkMbps/linkMbpsPerCapacityUnit))
}

// Listen holds the addresses on which a VM listens, and the addresses of other VMs to contact.
type Listen struct {
	// Callers is the TCP address for requests, and Ready the TCP address for the load
	// balancer's readiness checks.
	Callers, Ready string
	// Links is the UDP address for links from other VMs.
	Links string
	// Seeds are link addresses of VMs to contact at the start. Some of these addresses may be
	// down or no longer belong to a VM. If this VM is a seed itself,
	// its own address is one of the Seeds.
	Seeds []string
	// Metrics is the TCP address that serves metrics. Empty means none.
	Metrics string
}

// Bounds holds the limits that the deployment guarantees to its users.
type Bounds struct {
	// UpstreamDrain is the longest time that an upstream may still receive requests after
	// the platform's object store has listed the upstream as leaving (about to stop).
	UpstreamDrain time.Duration
	// ShutdownGrace is the time from the signal to stop until the process must end.
	ShutdownGrace time.Duration
	// ConfigurationApply is the longest time until a new configuration is in force.
	ConfigurationApply time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the retries of all VMs together.
	// In each window of length RetryWindow, the number of retries may be at most
	// RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// CanaryShare is the maximum fraction of requests that a bad release
	// of the upstreams' software may receive.
	CanaryShare float64
	// CanarySlack is how many requests such a release may receive beyond that share.
	CanarySlack float64
	// MaxBackoff is the longest back-off that a VM grants
	// to an upstream which asks the VM for a back-off.
	MaxBackoff time.Duration
	// Evacuation is the longest time that upstreams of a data centre may still receive
	// requests after the evacuation of the data centre is ordered. Zero disables evacuations.
	Evacuation time.Duration
	// ColdOvershoot and ColdSlack limit the requests that all VMs together send to a cold
	// (recently started) upstream in any second: ColdOvershoot times the rate that the
	// upstream can handle, plus ColdSlack requests.
	ColdOvershoot, ColdSlack float64
}

// Defaults of omitted bounds. Each default is the smallest value in the known deployments.
const (
	defaultUpstreamDrain      = 2 * time.Second
	defaultShutdownGrace      = 8 * time.Second
	defaultConfigurationApply = 2 * time.Second
	defaultRetryWindow        = 10 * time.Second
	defaultRetryRatio         = 0.1
	defaultCanaryShare        = 0.1
	// defaultColdOvershoot limits the requests to a cold (recently started) upstream to
	// exactly the rate that the upstream can handle.
	defaultColdOvershoot = 1
	maxPort              = 65535
)

// LoadVM reads and validates the settings file of woaddoor-vm.
func LoadVM(path string) (*VM, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, contract.WrapStep(contract.StepSettings, path, err)
	}
	return ParseVM(path, text)
}

// ParseVM parses and validates the text of the settings file at path. Unknown
// sections and keys are ignored, because the deployment may add some.
func ParseVM(path string, text []byte) (*VM, error) {
	f, err := config.ParseINI(path, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	section := func(name string) *config.SectionReader { return config.NewReader(f, name, &faults) }
	v := &VM{}
	readIdentity(v, section("vm"))
	v.Regions = make(map[contract.DataCentreID]string)
	regions := section("regions")
	for _, dc := range regions.Keys() {
		v.Regions[contract.DataCentreID(dc)] = regions.String(dc, "")
	}
	readListen(v, section("listen"))
	v.Store = readAddress(section("store"), "address")
	m := section("machine")
	v.Machine = Machine{
		Memory:          contract.Bytes(m.Int("memory-mb", 0, 0, maxIntSetting)) * contract.MiB,
		FileDescriptors: m.Int("descriptors", 0, 0, maxIntSetting),
		CPUCores:        m.Number("cpu-share", 0, 0, math.MaxInt32) * m.Number("cores", 1, 0, math.MaxInt32),
		LinkMbps:        m.Number("link-mbps", 0, 0, math.MaxInt32),
	}
	readCallers(v, section("callers"))
	readBounds(v, section("bounds"))
	readPolicy(v, section("policy"))
	readDuties(v, section("duties"))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

// readIdentity reads the [vm] section: the VM's name and data centre.
func readIdentity(v *VM, r *config.SectionReader) {
	v.Name = contract.VMID(r.Required("name", "the VM's name"))
	v.DataCentre = contract.DataCentreID(r.Required("data-centre", "the name of its data centre"))
	v.FirstStart = r.String("first-start", "") == "true"
}

// readListen reads the [listen] section. The metrics address is the host of the
// readiness address with the port of the metrics.
func readListen(v *VM, r *config.SectionReader) {
	v.Listen = Listen{Callers: readAddress(r, "callers"), Ready: readAddress(r, "ready"), Links: readAddress(r, "links")}
	v.Listen.Seeds = readSeeds(r, v.Listen.Links)
	port := r.Int("metrics-port", 0, 0, maxPort)
	host, _, err := net.SplitHostPort(v.Listen.Ready)
	if port > 0 && err == nil { // an invalid address is already reported
		v.Listen.Metrics = net.JoinHostPort(host, strconv.Itoa(port))
	}
}

// readSeeds returns the link addresses of the seeds. A deployment may list them with
// the port of another listener, so each port is replaced by the port of this VM's own
// links address. All VMs use the same port for links.
func readSeeds(r *config.SectionReader, links string) []string {
	_, port, err := net.SplitHostPort(links)
	if err != nil {
		return nil // an invalid links address is already reported
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

// readBounds reads the [bounds] section, with defaults for omitted keys.
func readBounds(v *VM, r *config.SectionReader) {
	v.Bounds = Bounds{
		UpstreamDrain:      cmp.Or(r.Duration("drain", 0), defaultUpstreamDrain),
		ShutdownGrace:      cmp.Or(r.Duration("grace", 0), defaultShutdownGrace),
		ConfigurationApply: cmp.Or(r.Duration("apply", 0), defaultConfigurationApply),
		RetryRatio:         r.Number("retry-ratio", defaultRetryRatio, 0, math.MaxInt32),
		RetryWindow:        cmp.Or(r.Duration("retry-window", 0), defaultRetryWindow),
		RetrySlack:         r.Number("retry-slack", 0, 0, math.MaxInt32),
		CanaryShare:        r.Number("canary-share", defaultCanaryShare, 0, 1),
		CanarySlack:        r.Number("canary-slack", 0, 0, math.MaxInt32),
		Evacuation:         r.Duration("evacuation", 0),
		MaxBackoff:         cmp.Or(r.Duration("longest-rest", 0), upstream.DefaultMaxBackoff),

		ColdOvershoot: r.Number("cold-overshoot", defaultColdOvershoot, 1, math.MaxInt32),
		ColdSlack:     r.Number("cold-slack", 0, 0, math.MaxInt32),
	}
}
