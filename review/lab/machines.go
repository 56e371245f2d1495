//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
)

// Names of the deployment that the cases play: three machines, one in each zone.
var zones = []string{"hall-pacheco", "hall-lanus", "hall-moron"}

const (
	region  = "gba-metro"
	host    = "ficu95.example"
	tenant  = "hule930"
	apiKey  = "n2ctnfzs989anu6wsjnb"
	service = "huvo11a"
)

// machine is one machine of the system: a process of the deploy file.
type machine struct {
	name, zone, ip string
	settings       string
	log            string
	process        *exec.Cmd
	exited         chan struct{}
}

// ports are the ports that all machines of a case use, each on its own loopback address.
type ports struct{ front, ready, control, links int }

// system is what a case plays on: the platform's store, upstreams and machines.
type system struct {
	record   *record
	dir      string
	store    *objects.Store
	gate     *storeGate
	server   *http.Server
	address  string
	ports    ports
	machines []*machine
}

// newSystem starts the store and prepares the machines, each with a loopback address of its own.
func newSystem(r *record, count int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, dir: dir, store: objects.New()}
	s.gate = &storeGate{store: s.store, waiting: make(map[net.Conn]bool)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.gate, ReadHeaderTimeout: time.Minute, ConnContext: withConn}
	go func() { _ = s.server.Serve(listener) }() // ends with the case
	for i := range count {
		zone := zones[i%len(zones)]
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+1)})
	}
	return s, s.choosePorts()
}

// choosePorts finds ports that are free on the addresses of all machines.
func (s *system) choosePorts() error {
	for range 50 {
		var free []int
		for range 5 {
			l, err := net.Listen("tcp", net.JoinHostPort(s.machines[0].ip, "0"))
			if err != nil {
				return err
			}
			free = append(free, l.Addr().(*net.TCPAddr).Port)
			_ = l.Close()
		}
		if s.allFree(free) {
			s.ports = ports{free[0], free[1], free[2], free[3]}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *system) allFree(candidates []int) bool {
	for _, m := range s.machines {
		for _, p := range append(candidates, metricsPort) {
			tcp, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", net.JoinHostPort(m.ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

// metricsPort is the port that the deploy file names.
const metricsPort = 9464

// fill fills the settings template of the deploy file for a machine, as the platform does.
func (s *system) fill(template string, m *machine, first bool) string {
	at := func(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	for _, absent := range []string{"Cloud.Address", "Bounds.EvacuationMs", "Bounds.ColdOvershoot", "Bounds.ColdSlack"} {
		template = dropSection(template, absent)
	}
	var regions, seeds []string
	for _, z := range zones {
		regions = append(regions, z+" = "+region+"\n")
	}
	for i, other := range s.machines {
		if i < 3 {
			seeds = append(seeds, at(other.ip, s.ports.control))
		}
	}
	begin, end := strings.Index(template, "{{#Zones}}"), strings.Index(template, "{{/Zones}}")
	template = template[:begin] + strings.Join(regions, "") + template[end+len("{{/Zones}}"):]
	return strings.NewReplacer(
		"{{Node}}", m.name, "{{Zone}}", m.zone, "{{Bootstrap}}", strconv.FormatBool(first),
		"{{Listen.Frontend}}", at(m.ip, s.ports.front), "{{Listen.Ready}}", at(m.ip, s.ports.ready),
		"{{Ip}}:{{InternalPorts.0}}", at(m.ip, s.ports.links), "{{Seeds}}", strings.Join(seeds, ","), "{{Platform.Address}}", s.address,
		"{{Limits.MemoryMb}}", "284", "{{Limits.FileDescriptors}}", "4200", "{{Limits.CpuShare}}", "0.4", "{{Limits.Cores}}", "1", "{{Limits.LinkMbps}}", "1000.0",
		"{{Bounds.DrainMs}}", "2000", "{{Bounds.GraceS}}", "8", "{{Bounds.ConfigApplyMs}}", "2000",
		"{{Bounds.RetryBudgetRatio}}", "0.9", "{{Bounds.BudgetWindowS}}", "10", "{{Bounds.RetryBudgetSlack}}", "52", "{{Bounds.CanaryShare}}", "0.15",
	).Replace(template)
}

// dropSection removes a section of the template whose value is absent.
func dropSection(template, name string) string {
	begin, closing := strings.Index(template, "{{#"+name+"}}"), "{{/"+name+"}}"
	end := strings.Index(template, closing)
	if begin < 0 || end < 0 {
		return template
	}
	return template[:begin] + template[end+len(closing):]
}

// startMachines starts the process of each machine and waits until all are ready.
func (s *system) startMachines() error {
	template, err := os.ReadFile("deploy/vm.ini")
	if err != nil {
		return err
	}
	for _, m := range s.machines {
		m.settings = filepath.Join(s.dir, m.name+".ini")
		m.log = filepath.Join(s.dir, m.name+".log")
		if err := os.WriteFile(m.settings, []byte(s.fill(string(template), m, true)), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := s.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.process = exec.Command("target/woaddoor-vm", "run")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WOADDOOR_CONFIG=" + m.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.exited = make(chan struct{})
	if err := m.process.Start(); err != nil {
		return err
	}
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait() // how it ended does not matter
		close(exited)
	}(m.process, m.exited)
	return nil
}

func (s *system) front(m *machine) string { return net.JoinHostPort(m.ip, strconv.Itoa(s.ports.front)) }

func (s *system) awaitReady(m *machine, limit time.Duration) error {
	url := "http://" + net.JoinHostPort(m.ip, strconv.Itoa(s.ports.ready)) + "/api/readyz"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			cancel()
			return err
		}
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = answer.Body.Close()
		}
		cancel()
		if err == nil && answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// close ends all processes and the store.
func (s *system) close() {
	for _, m := range s.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT) // fails if it has ended
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	_ = s.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.record.note("kept %s", s.dir)
	}
}
