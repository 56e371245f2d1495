// Package settings reads the settings file of a daemon: its addresses, its data
// centre, its keys and its peers. The file is read once, at the start, and all
// errors in the file are reported together. Values that may change while a daemon
// runs are part of the configuration instead; see package config.
package settings

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Settings holds the settings of woaddoor-entry and woaddoor-control, the two
// daemons of one VM, which share a settings file.
type Settings struct {
	VM         contract.VMID
	DataCentre contract.DataCentreID
	Entry      Entry
	Control    Control
	Keys       Keys
	Platform   Platform
	Peers      []Peer
}

// Entry holds the settings of woaddoor-entry.
type Entry struct {
	// Callers is the TCP address that accepts callers' requests.
	Callers string
	// Health is the TCP address that serves health, readiness and metrics.
	Health string
	// LinkAddress is the UDP address for links from other daemons of the system.
	LinkAddress string
	// AdvertisedLink is the link address announced to other daemons. Empty means LinkAddress.
	AdvertisedLink string
	// MaxBody is the maximum size of a request body. Zero means 1 MiB.
	MaxBody contract.Bytes
	// MaxInFlight is the maximum number of concurrent requests. Zero means 4096.
	MaxInFlight int
	// MaxQueue is the maximum number of queued requests. Zero means 1024.
	MaxQueue int
	// MaxConnections is the maximum number of open connections from callers. Zero means twice as many as
	// requests may run and wait.
	MaxConnections int
	// CallerMemory is how much memory heads, bodies and answers may take, beyond AllowancePerConnection each.
	// Zero means 64 KiB for each request that may run, and room for four of the largest bodies at least.
	CallerMemory contract.Bytes
	// MaxTickets is the maximum number of tickets whose state this VM stores as an
	// arbiter (a VM that votes on a ticket). Zero means 200000.
	MaxTickets int
	// MaxBills is the maximum number of bill records kept in memory until they are
	// filed with the platform. Zero means 100000.
	MaxBills int
	// DrainTimeout is the longest time that a planned shutdown waits
	// for requests in flight. Zero means 1 h.
	DrainTimeout time.Duration
	// StallAfter is the gap between two chunks of a stream after which the
	// upstream counts as stalled, regardless of the stream's usual pace. Zero means 10 s.
	StallAfter time.Duration
}

// Control holds the settings of woaddoor-control.
type Control struct {
	// Health is the TCP address that serves health, readiness and metrics.
	Health string
	// LinkAddress is the UDP address for links from other daemons of the system.
	LinkAddress string
	// AdvertisedLink is the link address announced to other daemons. Empty means LinkAddress.
	AdvertisedLink string
	// Watchers is how many VMs of a data centre watch the platform for changes. Zero means 2.
	Watchers int
	// WatchWait is how long one watch request stays open. Zero means 1 s.
	WatchWait time.Duration
	// BillFilingInterval is the longest time that bill records wait
	// to be filed in one batch. Zero means 1 s.
	BillFilingInterval time.Duration
}

// Keys holds the paths of the key files that package keys loads.
type Keys struct{ KeyPairFile, PinsFile, SigningKeyFile string }

// Platform holds the URL of the platform's API.
type Platform struct{ URL string }

// Peer is another VM of the system that is listed in the settings file.
type Peer struct {
	VM          contract.VMID
	DataCentre  contract.DataCentreID
	EntryLink   string
	ControlLink string
}

// PeerControlLinks returns the link addresses of the control processes of the listed peers.
func (s *Settings) PeerControlLinks() []string {
	var addresses []string
	for _, p := range s.Peers {
		addresses = append(addresses, p.ControlLink)
	}
	return addresses
}

// Defaults of omitted settings, and the upper limit of integer settings.
const (
	defaultMaxBody            = 1 << 20
	defaultMaxInFlight        = 4096
	defaultMaxQueue           = 1024
	defaultMaxTickets         = 200_000
	defaultMaxBills           = 100_000
	defaultDrainTimeout       = time.Hour
	defaultStallAfter         = 10 * time.Second
	defaultWatchers           = 2
	defaultWatchWait          = time.Second
	defaultBillFilingInterval = time.Second
	maxIntSetting             = 1 << 40
)

// Load reads and validates the settings file at path. Invalid settings are
// reported as config.Faults, which name the line and key of each error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, contract.WrapStep(contract.StepSettings, path, err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of the settings file at path. Relative
// paths of key files are resolved against the directory of path.
func Parse(path string, text []byte) (*Settings, error) {
	f, err := config.ParseINI(path, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	reader := func(section string) *config.SectionReader { return config.NewReader(f, section, &faults) }
	readers := map[string]func(*Settings, *config.SectionReader){
		"vm": readVM, "entry": readEntry, "control": readControl,
		"keys": readKeys(filepath.Dir(path)), "platform": readPlatform, "peers": nil,
	}
	for section := range f.Sections() {
		if _, ok := readers[section]; !ok {
			reader(section).Fault("", "is an unknown section: expected vm, entry, control, keys, platform or peers")
		}
	}
	s := &Settings{}
	for _, section := range []string{"vm", "entry", "control", "keys", "platform"} {
		r := reader(section)
		readers[section](s, r)
		r.RejectUnknownKeys()
	}
	readPeers(s, string(f.Sections()["peers"]), reader("peers"))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readVM(s *Settings, r *config.SectionReader) {
	s.VM = contract.VMID(r.Required("name", "the VM's name"))
	s.DataCentre = contract.DataCentreID(r.Required("data-centre", "the name of its data centre"))
}

// readAddress returns the value of key, which must be an address with a port.
func readAddress(r *config.SectionReader, key string) string {
	v := r.Required(key, "an address, such as 10.0.0.1:8080")
	if v == "" {
		return v
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		r.Fault(key, "is %q: expected an address with a port, such as 10.0.0.1:8080", v)
	}
	return v
}

func readEntry(s *Settings, r *config.SectionReader) {
	s.Entry = Entry{
		Callers: readAddress(r, "callers"), Health: readAddress(r, "health"), LinkAddress: readAddress(r, "link"),
		AdvertisedLink: r.String("advertise", r.String("link", "")),
		MaxBody:        contract.Bytes(r.Int("max-body-bytes", defaultMaxBody, 1, maxIntSetting)),
		MaxInFlight:    r.Int("max-in-flight", defaultMaxInFlight, 1, maxIntSetting),
		MaxQueue:       r.Int("max-queue", defaultMaxQueue, 0, maxIntSetting),
		MaxConnections: r.Int("max-connections", 0, 0, maxIntSetting),
		CallerMemory:   contract.Bytes(r.Int("caller-memory-mb", 0, 0, maxIntSetting)) * contract.MiB,
		MaxTickets:     r.Int("max-tickets", defaultMaxTickets, 1, maxIntSetting),
		MaxBills:       r.Int("max-bills", defaultMaxBills, 1, maxIntSetting),
		DrainTimeout:   r.Duration("drain", defaultDrainTimeout),
		StallAfter:     r.Duration("stall-after", defaultStallAfter),
	}
	e := &s.Entry
	e.MaxConnections = cmp.Or(e.MaxConnections, connectionsPerRequest*(e.MaxInFlight+e.MaxQueue))
	e.CallerMemory = cmp.Or(e.CallerMemory, max(memoryPerRequest*contract.Bytes(e.MaxInFlight), minLargestBodies*e.MaxBody))
}

// Factors of the defaults of the limits for callers of woaddoor-entry.
const (
	// connectionsPerRequest leaves room for connections on which no request runs.
	connectionsPerRequest = 2
	// memoryPerRequest is the mean size of a request with its answer for which there is room.
	memoryPerRequest = 64 * contract.KiB
	// minLargestBodies is how many bodies of the largest size there is room for.
	minLargestBodies = 4
)

func readControl(s *Settings, r *config.SectionReader) {
	s.Control = Control{
		Health: readAddress(r, "health"), LinkAddress: readAddress(r, "link"),
		AdvertisedLink:     r.String("advertise", r.String("link", "")),
		Watchers:           r.Int("watchers", defaultWatchers, 1, 100),
		WatchWait:          r.Duration("watch-wait", defaultWatchWait),
		BillFilingInterval: r.Duration("file-every", defaultBillFilingInterval),
	}
}

// readKeys returns a function that reads the paths of the key files, relative to dir.
func readKeys(dir string) func(*Settings, *config.SectionReader) {
	return func(s *Settings, r *config.SectionReader) {
		file := func(key, want string) string {
			v := r.Required(key, want)
			if v != "" && !filepath.IsAbs(v) {
				v = filepath.Join(dir, v)
			}
			return v
		}
		s.Keys = Keys{
			KeyPairFile:    file("pair", "the file of the VM's certificate and key"),
			PinsFile:       file("pins", "the file with the pinned keys of its peers"),
			SigningKeyFile: file("signing", "the file of the fleet's signing key"),
		}
	}
}

func readPlatform(s *Settings, r *config.SectionReader) {
	s.Platform.URL = r.Required("url", "the platform's address, such as http://10.0.0.9:7000")
}

// readPeers reads the peers from the text of the [peers] section. It skips the VM
// itself, so that all VMs can share one list.
func readPeers(s *Settings, section string, r *config.SectionReader) {
	for _, line := range strings.Split(section, "\n") {
		name, value, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		fields := strings.Fields(value)
		if len(fields) != 3 {
			r.Fault(name, `is %q: expected "data-centre entry-link control-link"`, value)
			continue
		}
		if contract.VMID(name) == s.VM {
			continue
		}
		s.Peers = append(s.Peers, Peer{
			VM: contract.VMID(name), DataCentre: contract.DataCentreID(fields[0]),
			EntryLink: fields[1], ControlLink: fields[2],
		})
	}
}

// String returns the name of the VM and its data centre.
func (s *Settings) String() string { return fmt.Sprintf("%s in %s", s.VM, s.DataCentre) }
