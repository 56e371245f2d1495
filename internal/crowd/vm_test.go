package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// Sizes of the crowds. Each takes several times the memory of its machine if the process gives it what it asks for.
const (
	bodies       = 32   // bodies or answers of maxBody bytes
	longHeads    = 100  // heads that exceed the limit
	manyFields   = 300  // heads within the limit
	connections  = 600  // connections to a port that is not for callers
	manyParts    = 400  // heads of which one line is a list of thousands of items
	openRequests = 200  // requests whose bodies do not end
	waiting      = 800  // requests that wait for an upstream, with more bytes behind them
	unaccepted   = 3500 // connections to a process that does not accept any
	refusals     = 2400 // requests that are refused, each with a line in the log
)

// answer answers a request as its path says: at once, never, or with as many bytes as a caller can ask for.
func answer(c *replica.Conn, r *replica.Request) bool {
	switch {
	case strings.HasSuffix(r.URL.Path, "/never"):
		c.WaitClosed(time.Minute)
		return false
	case strings.HasSuffix(r.URL.Path, "/large"):
		c.Respond(http.StatusOK, r.ID(), strings.Repeat("a", maxBody))
	case strings.HasSuffix(r.URL.Path, "/endless"):
		c.BeginStream(r.ID())
		data := strings.Repeat("a", 8<<10)
		for n := range 4096 {
			_ = c.SetWriteDeadline(time.Now().Add(time.Minute))
			if _, err := io.WriteString(c, chunk(replica.EventText(n+1, data))); err != nil {
				return false
			}
		}
		c.EndStream()
	default:
		c.Respond(http.StatusOK, r.ID(), "ok")
	}
	return true
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// call sends a request on a new connection and returns the status if it is answered with 200.
func (v *vm) call(key, path, body string, bound time.Duration) (int, error) {
	req, err := replica.NewCall(context.Background(), v.callers, objects.SampleHost, path, "ordinary", key, body)
	if err != nil {
		return 0, err
	}
	replica.SetDeadline(req, bound)
	client := &http.Client{Timeout: bound, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}

// chunkedBody is a body of maxBody bytes in chunks of 64 KiB without its last byte.
func chunkedBody() string {
	const size = 64 << 10
	var b strings.Builder
	one := chunk(strings.Repeat("a", size))
	for range maxBody/size - 1 {
		b.WriteString(one)
	}
	fmt.Fprintf(&b, "%x\r\n%s", size, strings.Repeat("a", size-1))
	return b.String()
}

// TestLargeChunksShortOfTheEnd guards against bodies that are held without regard to their sum.
func TestLargeChunksShortOfTheEnd(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	body := chunkedBody()
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/safe/x", fmt.Sprint("c", m.n), "Transfer-Encoding: chunked") + "\r\n" + body)
	})
	v.check(t)
}

// TestLengthShortOfTheEnd guards against bodies with a length that are held without regard to their sum.
func TestLengthShortOfTheEnd(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	body := strings.Repeat("a", maxBody-1)
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/safe/x", fmt.Sprint("c", m.n), fmt.Sprint("Content-Length: ", maxBody)) + "\r\n" + body)
	})
	v.check(t)
}

// TestTinyChunks guards against bodies that arrive faster than their chunks can be decoded, and lie in the sockets.
func TestTinyChunks(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	body := strings.Repeat(chunk("a"), maxBody-1)
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/safe/x", fmt.Sprint("c", m.n), "Transfer-Encoding: chunked") + "\r\n" + body)
	})
	v.check(t)
}

// TestReopenedBodies guards against memory that is not free when its connection has been closed.
func TestReopenedBodies(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	body := chunkedBody()
	release(t, bodies, v.callers, func(m member) {
		conn := m.Conn
		for round := range 5 {
			member{conn, m.n}.send(head("/safe/x", fmt.Sprint("c", m.n, "-", round), "Transfer-Encoding: chunked") + "\r\n" + body)
			_ = conn.Close()
			var err error
			if conn, err = net.DialTimeout("tcp", v.callers, 5*time.Second); err != nil {
				return
			}
		}
		_ = conn.Close()
	})
	v.check(t)
}

// TestWholeBodiesWhileUpstreamsAreSlow guards against requests that wait for upstreams without regard to the sum of
// their bodies.
func TestWholeBodiesWhileUpstreamsAreSlow(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	body := strings.Repeat("a", maxBody)
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/safe/never", fmt.Sprint("c", m.n), fmt.Sprint("Content-Length: ", maxBody)) + "\r\n" + body)
	})
	v.check(t)
}

// TestUnreadAnswers guards against answers that are held for callers who do not read them.
func TestUnreadAnswers(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/safe/large", fmt.Sprint("c", m.n), "Content-Length: 0") + "\r\n")
	})
	v.check(t)
}

// TestUnreadStreams guards against events that are held for callers who do not read them.
func TestUnreadStreams(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	release(t, bodies, v.callers, func(m member) {
		m.send(head("/stream/endless", fmt.Sprint("c", m.n), "Content-Length: 0") + "\r\n")
	})
	v.check(t)
}

// TestUnreadRequests guards against bytes that lie in the sockets behind requests that wait for upstreams.
func TestUnreadRequests(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	more := strings.Repeat("a", 1<<20)
	release(t, waiting, v.callers, func(m member) {
		m.send(head("/safe/never", fmt.Sprint("c", m.n), "Content-Length: 0") + "\r\n" + more)
	})
	v.check(t)
}

// TestLongHeads guards against heads over the limit that never end.
func TestLongHeads(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	fields := shortFields(60 << 10)
	release(t, longHeads, v.callers, func(m member) { m.send(head("/safe/x", "c") + fields) })
	v.check(t)
}

// TestHeadsOfManyFields guards against heads within the limit that take many times their bytes once they are parsed,
// while their requests wait.
func TestHeadsOfManyFields(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	fields := shortFields(maxHead - 512)
	release(t, manyFields, v.callers, func(m member) {
		m.send(head("/safe/x", fmt.Sprint("c", m.n), "Content-Length: 10") + fields + "\r\n123456789")
	})
	v.check(t)
}

// TestPromptsOfManyParts guards against heads within the limit whose lists take many times their bytes once they are
// parsed, while their requests run.
func TestPromptsOfManyParts(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	parts := replica.PromptLine(strings.Repeat("1,", maxHead/2-512) + "1")
	release(t, manyParts, v.callers, func(m member) {
		m.send(head("/safe/never", fmt.Sprint("c", m.n), "Content-Length: 0", parts) + "\r\n")
	})
	v.check(t)
}

// shortFields returns about n bytes of header lines with as many different names as possible.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestBodiesOnAllConnections guards against a crowd that takes all places with bodies that do not end: ordinary
// callers were turned away until its deadline.
func TestBodiesOnAllConnections(t *testing.T) {
	v := startVM(t, fewDescriptors, answer)
	release(t, openRequests, v.callers, func(m member) {
		m.send(head("/safe/x", fmt.Sprint("c", m.n), "Content-Length: 10") + "\r\n123456789")
	})
	v.check(t)
}

// TestIdleConnections guards against a crowd that takes all places and sends nothing, or only the beginning of a head.
func TestIdleConnections(t *testing.T) {
	v := startVM(t, fewDescriptors, answer)
	release(t, openRequests, v.callers, func(m member) {
		if m.n%2 == 0 {
			m.send("POST /safe/x HTTP/1.1\r\nHost: a")
		}
	})
	v.check(t)
}

// TestPortsOfOperators guards against connections to the ready and metrics ports that use up the descriptors.
func TestPortsOfOperators(t *testing.T) {
	v := startVM(t, fewDescriptors, answer)
	for _, address := range []string{v.ready, v.metrics} {
		release(t, connections, address, func(m member) { m.send("GET " + replica.ReadinessPath + " HTTP/1.1\r\nHost: a\r\n") })
	}
	v.check(t)
	if status := statusOf("http://" + v.ready + replica.ReadinessPath); status != http.StatusOK {
		t.Errorf("readiness is answered with %d", status)
	}
}

// TestConnectionsNotAccepted guards against bytes that lie in the sockets of connections that wait to be accepted, while
// the process has no processor time.
func TestConnectionsNotAccepted(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	process, err := os.FindProcess(v.pid)
	is.New(t).NoErr(err)
	is.New(t).NoErr(process.Signal(syscall.SIGSTOP))
	release(t, unaccepted, v.callers, func(m member) {
		m.send(head("/safe/x", "c", "Content-Length: 100000") + "\r\n" + strings.Repeat("a", 64<<10))
	})
	is.New(t).NoErr(process.Signal(syscall.SIGCONT))
	v.check(t)
}

// TestLongIDsInTheLog guards against lines of a log that nobody reads, which callers make long by the ids of their
// requests.
func TestLongIDsInTheLog(t *testing.T) {
	is := is.New(t)
	unread, log, err := os.Pipe()
	is.NoErr(err)
	t.Cleanup(func() { _ = unread.Close(); _ = log.Close() })
	v := startVMWithLog(t, machineDescriptors, answer, log)
	const perMember = 50
	request := replica.Head{Host: objects.SampleHost, Path: "/none/", ID: strings.Repeat("c", 60<<10)}.Text("Content-Length: 0") + "\r\n"
	release(t, refusals/perMember, v.callers, func(m member) {
		answers := bufio.NewReader(m)
		for range perMember {
			if !m.send(request) {
				return
			}
			if _, err := http.ReadResponse(answers, nil); err != nil {
				return
			}
		}
	})
	v.check(t)
}

// TestRequestsOnAllConnections guards against a crowd of one workspace that takes all places with requests that wait for
// upstreams: callers of other workspaces were turned away until the deadline.
func TestRequestsOnAllConnections(t *testing.T) {
	v := startVM(t, fewDescriptors, answer)
	release(t, openRequests, v.callers, func(m member) {
		m.send(head("/safe/never", fmt.Sprint("c", m.n), "Content-Length: 0") + "\r\n")
	})
	v.check(t)
}

// TestDribblingCallers guards against a crowd that takes all places and sends single bytes of heads and bodies.
func TestDribblingCallers(t *testing.T) {
	v := startVM(t, fewDescriptors, answer)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	release(t, openRequests, v.callers, func(m member) {
		if m.n%2 == 0 {
			m.send(head("/safe/x", fmt.Sprint("c", m.n), "Content-Length: 100000") + "\r\n")
		} else {
			m.send("POST /safe/x HTTP/1.1\r\nHost: a\r\nX-Field: ")
		}
		go func() {
			for m.send("a") {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	})
	v.check(t)
}
