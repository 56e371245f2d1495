package crowd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"woaddoor/internal/standin/replica"
)

// Requests that run at faulty upstreams at the same time.
const (
	pouredEvents = 200
	pouredHeads  = 600
	pouredBodies = 100
)

// pour answers a request as answer does, but for paths that ask for bytes that are no answer: they end short of the limit
// for one answer, or never.
func pour(c *replica.Conn, r *replica.Request) bool {
	begin, piece, pieces := "", strings.Repeat("a", 8<<10), 0
	head := c.HeadText(r.ID())
	switch kind := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]; kind {
	case "event":
		begin, pieces = head+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", 127
	case "endless-event":
		begin, pieces = head+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", 4096
	case "fields":
		begin, piece, pieces = head, strings.Repeat("X-A: b\r\n", 1<<10), 7
	case "field":
		begin, pieces = head+"X-A: ", 7
	case "endless-field":
		begin, pieces = head+"X-A: ", 4096
	case "body":
		begin, pieces = head+"\r\n", 1023
	case "extension":
		begin, pieces = head+"Transfer-Encoding: chunked\r\n\r\n1;", 4096
	case "trailer":
		begin, pieces = head+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", 4096
	default:
		return answer(c, r)
	}
	_ = c.SetWriteDeadline(time.Now().Add(time.Minute))
	_, err := fmt.Fprint(c, begin)
	for range pieces {
		if err == nil {
			_, err = fmt.Fprint(c, piece)
		}
	}
	c.WaitClosed(time.Minute)
	return false
}

// TestFaultyUpstreams guards against bytes of upstreams that are no answer, without end or short of the limit for one
// answer, being held without regard to their sum, whether they come as a head, a body, an event or between chunks.
func TestFaultyUpstreams(t *testing.T) {
	for _, test := range []struct {
		path     string
		requests int
	}{
		{"/stream/event", pouredEvents},
		{"/stream/endless-event", pouredEvents},
		{"/safe/fields", pouredHeads},
		{"/safe/field", pouredHeads},
		{"/safe/endless-field", pouredHeads},
		{"/stream/field", pouredHeads},
		{"/safe/body", pouredBodies},
		{"/safe/extension", pouredHeads},
		{"/safe/trailer", pouredHeads},
	} {
		t.Run(test.path[1:], func(t *testing.T) {
			v := startVM(t, machineDescriptors, pour)
			release(t, test.requests, v.callers, func(m member) {
				m.send(head(test.path, fmt.Sprint("c", m.n), "Content-Length: 0") + "\r\n")
			})
			time.Sleep(time.Second) // the bytes of the upstream arrive
			v.check(t)
		})
	}
}
