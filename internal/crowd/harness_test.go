// Package crowd tests that the processes of the system survive many clients that keep to no rules. Each test starts
// a real process with the limits of the smallest machine, lets a fixed crowd loose on it, and checks that the process
// lives, that its memory and descriptors stay within its machine, and that an ordinary request is answered. Nothing
// depends on how fast the machine of the test is.
package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/internal/fleet"
	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// The machine of a VM under test: the smallest that deployments have.
const (
	machineMemory      = 88 << 20 // bytes
	machineDescriptors = 4100
	// fewDescriptors is a limit that a small crowd can use up.
	fewDescriptors = 300
)

// The limits for callers in the configuration, and the keys of the two workspaces.
const (
	maxBody       = 4 << 20
	maxHead       = 16 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	routeTimeout  = 30 * time.Second

	crowdKey    = "key-crowd"
	ordinaryKey = "key-ordinary"
)

// logShown is how much of a log a failed test shows, in bytes.
const logShown = 4 << 10

// binaries is the folder of the compiled programs.
var binaries string

// TestMain compiles the programs.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := fleet.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is a process under test, and what it has used at most.
type process struct {
	pid int
	// ports are its TCP ports, in the notation of /proc/net/tcp.
	ports map[string]bool
	ended chan struct{}

	mu sync.Mutex // guards the fields below
	// peak is the largest sum seen of its resident memory and the bytes that lie in its sockets.
	peak, peakInSockets int64
	descriptors         int
}

// watch samples what the process uses until the test ends.
func watch(t *testing.T, pid int, ended chan struct{}, addresses ...string) *process {
	p := &process{pid: pid, ended: ended, ports: make(map[string]bool)}
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		p.ports[fmt.Sprintf("%04X", n)] = true
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ticker := time.NewTicker(20 * time.Millisecond); ; <-ticker.C {
			p.sample()
			select {
			case <-stop:
				ticker.Stop()
				return
			default:
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return p
}

func (p *process) sample() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return // the process has ended
	}
	var resident int64
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			resident, _ = strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			resident <<= 10
		}
	}
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	inSockets := p.bytesInSockets()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.descriptors = max(p.descriptors, len(descriptors))
	if used := resident + inSockets; used > p.peak {
		p.peak, p.peakInSockets = used, inSockets
	}
}

// bytesInSockets returns how many bytes lie in the process's sockets, unread or not yet received by the client.
func (p *process) bytesInSockets() int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var sum int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !p.ports[port] || fields[3] == "0A" { // 0A is LISTEN: its queue counts connections
			continue
		}
		tx, rx, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{tx, rx} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// checkWithin checks that the process lives and has stayed within its memory and descriptors.
func (p *process) checkWithin(t *testing.T, memory int64, descriptors int) {
	t.Helper()
	p.sample()
	select {
	case <-p.ended:
		t.Error("the process has ended")
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("peak %d MiB of %d, %d MiB of it in sockets; %d descriptors of %d", p.peak>>20, memory>>20, p.peakInSockets>>20, p.descriptors, descriptors)
	if p.peak > memory {
		t.Errorf("the process took %d MiB, its machine has %d", p.peak>>20, memory>>20)
	}
	if p.descriptors > descriptors {
		t.Errorf("the process held %d descriptors, its machine has %d", p.descriptors, descriptors)
	}
}

// vm is a woaddoor-vm under test.
type vm struct {
	*process
	callers, ready, metrics string
	descriptorLimit         int
}

// startVM starts a store, an upstream that answers with h, and a VM whose machine has the given descriptors. The VM
// is ready when startVM returns.
func startVM(t *testing.T, descriptors int, h replica.Handler) *vm {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "vm.log"))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = log.Close() })
	return startVMWithLog(t, descriptors, h, log)
}

// startVMWithLog starts a VM as startVM does, which writes its log to a file.
func startVMWithLog(t *testing.T, descriptors int, h replica.Handler, log *os.File) *vm {
	t.Helper()
	is := is.New(t)
	store := objects.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	u, err := replica.Start("u1", h)
	is.NoErr(err)
	t.Cleanup(u.Close)
	store.PutLimitedDeployment(objects.LimitedDeployment{
		CallerLimits: objects.CallerLimits{MaxBody: maxBody, MaxHead: maxHead, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		RouteTimeout: routeTimeout, Keys: map[string]string{"crowd": crowdKey, "ordinary": ordinaryKey}, MaxConnections: 1000,
	})
	store.PutUpstream(objects.Upstream{ID: "u1", Address: u.Address(), DataCentre: "d", Slots: 1000, Incarnation: 1})
	addresses := freeAddresses(t, 4)
	v := &vm{callers: addresses[0], ready: addresses[1], metrics: addresses[3], descriptorLimit: descriptors}
	_, metricsPort, _ := net.SplitHostPort(v.metrics)
	path := filepath.Join(t.TempDir(), "vm.ini")
	is.NoErr(os.WriteFile(path, fmt.Appendf(nil, `[vm]
name = vm1
data-centre = d
[listen]
callers = %s
ready = %s
links = %s
metrics-port = %s
[store]
address = %s
[machine]
memory-mb = %d
descriptors = %d
[bounds]
grace = 4s
`, v.callers, v.ready, addresses[2], metricsPort, server.Listener.Addr(), machineMemory>>20, descriptors), 0o600))
	cmd := exec.Command(filepath.Join(binaries, "woaddoor-vm"), "run", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	is.NoErr(cmd.Start())
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("log of the VM:\n%s", text[max(0, len(text)-logShown):])
		}
	})
	waitUntil(t, func() bool { return statusOf("http://"+v.ready+replica.ReadinessPath) == http.StatusOK })
	waitUntil(t, func() bool { return v.ordinaryRequest() == nil })
	v.process = watch(t, cmd.Process.Pid, ended, v.callers, v.ready, v.metrics)
	return v
}

// check checks the process, and that an ordinary request is answered, with as many tries as it takes.
func (v *vm) check(t *testing.T) {
	t.Helper()
	var err error
	for range 30 {
		if err = v.ordinaryRequest(); err == nil {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err != nil {
		t.Errorf("an ordinary request is not answered: %v", err)
	}
	v.checkWithin(t, machineMemory, v.descriptorLimit)
}

// ordinaryRequest sends a small request on a new connection and checks that it is answered.
func (v *vm) ordinaryRequest() error {
	_, err := v.call(ordinaryKey, "/safe/x", "hello", 5*time.Second)
	return err
}

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// waitUntil polls a condition and fails the test if it is not met in time.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met within 30 seconds")
		}
	}
}

// statusOf returns the status of a GET request, or 0 if it fails.
func statusOf(url string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// head returns the head of a request of the crowd, without the empty line that ends it.
func head(path, id string, lines ...string) string {
	return replica.Head{Host: objects.SampleHost, Path: path, ID: id, Key: crowdKey, Wait: routeTimeout}.Text(lines...)
}

// member is one client of a crowd, with one connection.
type member struct {
	net.Conn
	n int
}

// send writes to the connection until everything is written, the peer has closed it, or the peer has read nothing for
// a second. It returns whether everything was written.
func (m member) send(text string) bool {
	const piece = 64 << 10
	for len(text) > 0 {
		_ = m.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := m.Write([]byte(text[:min(piece, len(text))]))
		text = text[n:]
		if err != nil {
			return false
		}
	}
	return true
}

// release lets n members loose at the same time, and returns when each has done its part. Their connections stay
// open until the test ends.
func release(t *testing.T, n int, address string, part func(m member)) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := net.DialTimeout("tcp", address, 5*time.Second)
			if err != nil {
				return // refused: allowed
			}
			t.Cleanup(func() { _ = conn.Close() })
			part(member{Conn: conn, n: i})
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond) // what was sent last arrives
}
