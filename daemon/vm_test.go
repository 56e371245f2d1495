package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// runAsVMEnv is the environment variable that makes the test binary run as woaddoor-vm, so
// that tests can send signals to a real process.
const runAsVMEnv = "WOADDOOR_TEST_AS_VM"

// TestMain runs the test binary as woaddoor-vm if runAsVMEnv is set.
func TestMain(m *testing.M) {
	if os.Getenv(runAsVMEnv) != "" {
		os.Exit(VM(os.Args[1:]))
	}
	os.Exit(m.Run())
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

// vmUnderTest is a running woaddoor-vm process.
type vmUnderTest struct {
	*exec.Cmd
	// callers, ready and metrics are its listen addresses.
	callers, ready, metrics string

	mu  sync.Mutex // guards log
	log bytes.Buffer
}

// Write appends to the log. The process writes its output to it.
func (p *vmUnderTest) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// logText returns the output of the process so far.
func (p *vmUnderTest) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// settingsText returns a settings file with the address of the store and four listen
// addresses: for callers, readiness, links and metrics.
func settingsText(store string, addresses []string) string {
	_, metrics, _ := net.SplitHostPort(addresses[3])
	return fmt.Sprintf(`[vm]
name = vm1
data-centre = d

[listen]
callers = %s
ready = %s
links = %s
metrics-port = %s

[store]
address = %s

[bounds]
grace = 4s
retry-ratio = 0.5
`, addresses[0], addresses[1], addresses[2], metrics, store)
}

// startVM starts woaddoor-vm with a settings file and kills it at the end of the test.
func startVM(t *testing.T, settings string, addresses []string) *vmUnderTest {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "vm.ini")
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	p := &vmUnderTest{Cmd: exec.Command(os.Args[0], "run", "--settings", path)}
	if addresses != nil {
		p.callers, p.ready, p.metrics = addresses[0], addresses[1], addresses[3]
	}
	p.Env = append(os.Environ(), runAsVMEnv+"=1")
	p.Stdout, p.Stderr = p, p
	is.NoErr(p.Start())
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	return p
}

// waitUntil polls a condition and fails the test if it is not met within 15 seconds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met within 15 seconds")
		}
	}
}

// startReadyVM starts a stand-in store, a stand-in upstream that answers with h, and a VM, and
// waits until the VM is ready and knows the upstream.
func startReadyVM(t *testing.T, h replica.Handler) *vmUnderTest {
	t.Helper()
	is := is.New(t)
	store := objects.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	u, err := replica.Start("u1", h)
	is.NoErr(err)
	t.Cleanup(u.Close)
	store.PutSample(objects.SampleDeployment{PathPrefix: "/s/", MaxAttempts: 1, Address: u.Address(), DataCentre: "d"})
	addresses := freeAddresses(t, 4)
	p := startVM(t, settingsText(server.Listener.Addr().String(), addresses), addresses)
	waitUntil(t, func() bool { return p.httpStatus("http://"+p.ready+"/api/readyz") == http.StatusOK })
	waitUntil(t, func() bool { return strings.Contains(p.logText(), "event=upstream") })
	return p
}

// httpStatus returns the status of a GET request, or 0 if it fails.
func (p *vmUnderTest) httpStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestShutdownCompletesOpenStream sends SIGTERM while a stream is open: the VM reports
// that it is not ready, the stream is delivered completely, and the process ends by
// itself.
func TestShutdownCompletesOpenStream(t *testing.T) {
	is := is.New(t)
	streamBegun := make(chan struct{})
	continueStream := make(chan struct{})
	p := startReadyVM(t, func(c *replica.Conn, r *replica.Request) bool {
		c.BeginStream(r.ID())
		c.Event(1, "a")
		close(streamBegun)
		<-continueStream
		c.Event(2, "b")
		c.EndStream()
		return true
	})
	req, err := replica.NewCall(t.Context(), p.callers, objects.SampleHost, "/s/x", "r1", "", "b")
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	<-streamBegun
	is.NoErr(p.Process.Signal(syscall.SIGTERM))
	waitUntil(t, func() bool { return p.httpStatus("http://"+p.ready+"/api/readyz") == http.StatusServiceUnavailable })
	close(continueStream)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err) // the body is complete
	is.Equal(string(body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.NoErr(p.Wait())
	is.True(strings.Contains(p.logText(), "event=stop")) // the last event that it logs
	is.True(strings.Contains(p.logText(), "whole=true"))
}

// emptyStream answers with a complete stream without events.
func emptyStream(c *replica.Conn, r *replica.Request) bool {
	c.BeginStream(r.ID())
	c.EndStream()
	return true
}

// TestReloadLogsItsOutcome checks that SIGHUP logs the outcome of the reload, for valid
// and for invalid settings, and that the VM stays ready.
func TestReloadLogsItsOutcome(t *testing.T) {
	is := is.New(t)
	p := startReadyVM(t, emptyStream)
	is.NoErr(p.Process.Signal(syscall.SIGHUP))
	waitUntil(t, func() bool { return strings.Contains(p.logText(), "event=reload") })
	is.NoErr(os.WriteFile(p.Args[3], []byte("[vm\n"), 0o600))
	is.NoErr(p.Process.Signal(syscall.SIGHUP))
	waitUntil(t, func() bool { return strings.Contains(p.logText(), "event=reload-failed") })
	is.Equal(p.httpStatus("http://"+p.ready+"/api/readyz"), http.StatusOK)
}

// TestInvalidSettingsEndProcess checks that invalid settings end the process with the exit
// code for them and an error that names the file and the key.
func TestInvalidSettingsEndProcess(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer taken.Close()
	addresses := freeAddresses(t, 4)
	good := settingsText("127.0.0.1:1", addresses)
	for name, c := range map[string]struct {
		text, want string
		code       int
	}{
		"malformed file":  {"[vm\n", "vm.ini:1:", exitSettings},
		"missing key":     {strings.Replace(good, "name = vm1\n", "", 1), "[vm] name: is missing or empty", exitSettings},
		"invalid address": {strings.Replace(good, "callers = "+addresses[0], "callers = x", 1), `[listen] callers: is "x"`, exitSettings},
		"invalid number":  {strings.Replace(good, "0.5", "many", 1), `[bounds] retry-ratio: is "many"`, exitSettings},
		"address in use":  {strings.Replace(good, addresses[0], taken.Addr().String(), 1), "[listen] callers", exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startVM(t, c.text, nil)
			err := p.Wait()
			exit, ok := err.(*exec.ExitError)
			is.True(ok)
			is.Equal(exit.ExitCode(), c.code)
			is.True(strings.Contains(p.logText(), c.want))
			is.True(strings.Contains(p.logText(), "vm.ini"))
		})
	}
}

// TestMetricNames checks that every metric that is served is documented in
// docs/OPERATIONS.md.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	p := startReadyVM(t, emptyStream)
	resp, err := http.Get("http://" + p.metrics + pathMetrics)
	is.NoErr(err)
	defer resp.Body.Close()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	scanner := bufio.NewScanner(resp.Body)
	generatedNames := regexp.MustCompile(`^(store_calls|refusals)_`)
	for scanner.Scan() {
		name, _, _ := strings.Cut(scanner.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		name = strings.TrimSuffix(name, "_count")
		if name == "" || generatedNames.MatchString(name) {
			continue
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("metric %s is served but not documented in docs/OPERATIONS.md", name)
		}
	}
	is.NoErr(scanner.Err())
}
