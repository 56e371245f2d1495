package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends one request after the other, on a connection that it keeps.
type client struct {
	rec   *record
	to    string
	conn  net.Conn
	input *bufio.Reader
}

// attempt is a request of a client. Each has an id of its own.
type attempt struct {
	id, method, path, key, body string
	deadline                    time.Duration
	headers                     []string
	// sent is when the client began to send it, where a case asks for it.
	sent time.Time
}

// result is what the client got: a status, or 0 if the connection ended without a whole answer.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends an attempt and waits for its answer.
func (c *client) send(a attempt) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.input = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "X-Key: %s\r\n", a.key)
	}
	for _, h := range a.headers {
		b.WriteString(h + "\r\n")
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	c.rec.event("sent", a.id, c.to, a.method+" "+a.path)
	_ = c.conn.SetDeadline(time.Now().Add(a.deadline + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		c.rec.event("answered", a.id, c.to, "no answer: "+err.Error())
		return result{err: err}
	}
	r, err := http.ReadResponse(c.input, &http.Request{Method: a.method})
	if err != nil {
		c.close()
		c.rec.event("answered", a.id, c.to, "no answer: "+err.Error())
		return result{err: err}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.close()
		c.rec.event("answered", a.id, c.to, fmt.Sprintf("%d, not whole: %v", r.StatusCode, err))
		return result{err: err}
	}
	if r.Close {
		c.close()
	}
	c.rec.event("answered", a.id, c.to, fmt.Sprintf("%d signature=%q", r.StatusCode, r.Header.Get("X-Response-Signature")))
	return result{status: r.StatusCode, header: r.Header, body: string(body)}
}
