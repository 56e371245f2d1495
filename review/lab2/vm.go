package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the zones of the deployment, with two machines each, as on the sheet of consorcio-woad.
var zones = []string{"hall-pacheco", "hall-lanus", "hall-moron"}

const machinesPerZone = 2

// machine is a machine of the system, with its process.
type machine struct {
	name, zone, ip        string
	frontend, ready, link string
	dir                   string
	process               *exec.Cmd
	ended                 chan struct{}
}

// settings returns the template deploy/vm.ini as the platform fills it for a machine of a small deployment.
func (m *machine) settings(store string, seeds []string, bootstrap bool) string {
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "%s = gba-metro\n", z)
	}
	return fmt.Sprintf(`[vm]
name = %s
data-centre = %s
first-start = %v

[regions]
%s
[listen]
callers = %s
ready = %s
links = %s
seeds = %s
metrics-port = 0

[store]
address = %s

[machine]
memory-mb = 284
descriptors = 4200
cpu-share = 0.4
cores = 1
link-mbps = 1000.0

[bounds]
drain = 2000ms
grace = 8s
apply = 2000ms
retry-ratio = 0.9
retry-window = 10s
retry-slack = 52
canary-share = 0.15
`, m.name, m.zone, bootstrap, regions.String(), m.frontend, m.ready, m.link, strings.Join(seeds, ","), store)
}

// freePort returns a TCP port that is free at the given address, and at the same number for UDP.
func freePort(ip string) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			_ = u.Close()
			return port
		}
	}
}

// newMachines returns the machines of the deployment. Each has a loopback address of its own.
func newMachines(dir string) []*machine {
	var all []*machine
	base := os.Getpid() % 200
	link := freePort("127.0.0.1")
	for z, zone := range zones {
		for i := range machinesPerZone {
			ip := fmt.Sprintf("127.%d.%d.%d", 10+z, base+1, 40+i)
			m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip}
			m.frontend, m.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
			m.link = fmt.Sprintf("%s:%d", ip, link)
			m.dir = filepath.Join(dir, m.name)
			all = append(all, m)
		}
	}
	return all
}

// start starts the process of a machine, with the command of the deploy file.
func (m *machine) start(root, store string, seeds []string, bootstrap bool) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(m.dir, "vm.ini")
	if err := os.WriteFile(path, []byte(m.settings(store, seeds, bootstrap)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.process = exec.Command(filepath.Join(root, "target/woaddoor-vm"), "run")
	m.process.Dir = root
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "WOADDOOR_CONFIG=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	process := m.process
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Kill()
		<-m.ended
	}
}
