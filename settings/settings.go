// Package settings reads the settings of a daemon: its addresses, its data
// centre, its keys, its peers. They are read once, at the start, and checked
// whole; what can change while a daemon runs is configuration instead.
package settings

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Settings are those of both daemons of one VM, which share a file.
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
	// Callers is the TCP address for callers.
	Callers string
	// Health is the TCP address for health, readiness and metrics.
	Health string
	// Link is the UDP address for other processes of the system.
	Link string
	// Advertise is the address that others are told. Empty means Link.
	Advertise string
	// MaxBody bounds a caller's body. Zero means 1 MiB.
	MaxBody contract.Bytes
	// MaxInFlight bounds the requests worked on at once. Zero means 4096.
	MaxInFlight int
	// MaxQueue bounds the requests that wait. Zero means 1024.
	MaxQueue int
	// MaxTickets bounds the tickets remembered as an arbiter. Zero means 200000.
	MaxTickets int
	// MaxBills bounds the bill records held until filed. Zero means 100000.
	MaxBills int
	// Drain is the longest that a planned stop waits for requests in flight.
	// Zero means 1 h.
	Drain time.Duration
	// StallAfter is the longest gap between two chunks of a stream before the
	// upstream counts as stalled, whatever the stream's own pace. Zero: 10 s.
	StallAfter time.Duration
}

// Control holds the settings of woaddoor-control.
type Control struct {
	Health string
	Link   string
	// Advertise is the link address that others are told. Empty means Link.
	Advertise string
	// Watchers is how many VMs of a data centre watch the platform. Zero: 2.
	Watchers int
	// WatchWait is how long one watch is held open. Zero means 1 s.
	WatchWait time.Duration
	// FileEvery is the longest that bill records wait for company. Zero: 1 s.
	FileEvery time.Duration
}

// Keys names the files of package keys.
type Keys struct{ Pair, Pins, Signing string }

// Platform says where the platform's API is.
type Platform struct{ URL string }

// Peer is another VM of the system, known from the start.
type Peer struct {
	VM          contract.VMID
	DataCentre  contract.DataCentreID
	EntryLink   string
	ControlLink string
}

// Defaults, where a setting is left out.
const (
	defaultMaxBody     = 1 << 20
	defaultMaxInFlight = 4096
	defaultMaxQueue    = 1024
	defaultMaxTickets  = 200_000
	defaultMaxBills    = 100_000
	defaultDrain       = time.Hour
	defaultStallAfter  = 10 * time.Second
	defaultWatchers    = 2
	defaultWatchWait   = time.Second
	defaultFileEvery   = time.Second
	most               = 1 << 40
)

// Load reads and checks the file at path. It fails with config.Faults that
// name each fault's line and key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, contract.Fail(contract.StepSettings, path, err)
	}
	return Parse(path, text)
}

// Parse reads and checks a text. Paths of key files are relative to the file.
func Parse(path string, text []byte) (*Settings, error) {
	f, err := config.ReadFile(path, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	reader := func(section string) *config.Reader { return config.NewReader(f, section, &faults) }
	known := map[string]func(*Settings, *config.Reader){
		"vm": readVM, "entry": readEntry, "control": readControl,
		"keys": readKeys(filepath.Dir(path)), "platform": readPlatform, "peers": nil,
	}
	for section := range f.Sections() {
		if _, ok := known[section]; !ok {
			reader(section).Fault("", "is not known: expected vm, entry, control, keys, platform or peers")
		}
	}
	s := &Settings{}
	for _, section := range []string{"vm", "entry", "control", "keys", "platform"} {
		r := reader(section)
		known[section](s, r)
		r.Done()
	}
	readPeers(s, string(f.Sections()["peers"]), reader("peers"))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readVM(s *Settings, r *config.Reader) {
	s.VM = contract.VMID(r.Need("name", "the VM's name"))
	s.DataCentre = contract.DataCentreID(r.Need("data-centre", "the name of its data centre"))
}

func address(r *config.Reader, key string) string {
	v := r.Need(key, "an address, such as 10.0.0.1:8080")
	if v == "" {
		return v
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		r.Fault(key, "is %q: expected an address with a port, such as 10.0.0.1:8080", v)
	}
	return v
}

func readEntry(s *Settings, r *config.Reader) {
	s.Entry = Entry{
		Callers: address(r, "callers"), Health: address(r, "health"), Link: address(r, "link"),
		Advertise:   r.Text("advertise", r.Text("link", "")),
		MaxBody:     contract.Bytes(r.Int("max-body-bytes", defaultMaxBody, 1, most)),
		MaxInFlight: r.Int("max-in-flight", defaultMaxInFlight, 1, most),
		MaxQueue:    r.Int("max-queue", defaultMaxQueue, 0, most),
		MaxTickets:  r.Int("max-tickets", defaultMaxTickets, 1, most),
		MaxBills:    r.Int("max-bills", defaultMaxBills, 1, most),
		Drain:       r.Duration("drain", defaultDrain),
		StallAfter:  r.Duration("stall-after", defaultStallAfter),
	}
}

func readControl(s *Settings, r *config.Reader) {
	s.Control = Control{
		Health: address(r, "health"), Link: address(r, "link"),
		Advertise: r.Text("advertise", r.Text("link", "")),
		Watchers:  r.Int("watchers", defaultWatchers, 1, 100),
		WatchWait: r.Duration("watch-wait", defaultWatchWait),
		FileEvery: r.Duration("file-every", defaultFileEvery),
	}
}

func readKeys(dir string) func(*Settings, *config.Reader) {
	return func(s *Settings, r *config.Reader) {
		file := func(key, want string) string {
			v := r.Need(key, want)
			if v != "" && !filepath.IsAbs(v) {
				v = filepath.Join(dir, v)
			}
			return v
		}
		s.Keys = Keys{
			Pair:    file("pair", "the file of the VM's certificate and key"),
			Pins:    file("pins", "the file of its peers' pins"),
			Signing: file("signing", "the file of the fleet's signing key"),
		}
	}
}

func readPlatform(s *Settings, r *config.Reader) {
	s.Platform.URL = r.Need("url", "the platform's address, such as http://10.0.0.9:7000")
}

func readPeers(s *Settings, section string, r *config.Reader) {
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

// String returns the VM's name and data centre.
func (s *Settings) String() string { return fmt.Sprintf("%s in %s", s.VM, s.DataCentre) }
