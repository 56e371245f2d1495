package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// slowReader lets clients read the events of their streams slowly.
func slowReader(d *deployment, trouble bool) (bool, error) {
	type run struct {
		server         string
		began, ended   time.Time
		continuesAfter string
	}
	var mu sync.Mutex
	runs := map[string][]*run{}
	pad := strings.Repeat("x", 280)
	for i := range 3 {
		if _, err := d.add(llmService, zones[i], 32, func(s *server, c net.Conn, r *request) bool {
			this := &run{server: s.id, began: time.Now(), continuesAfter: r.Header.Get("Last-Event-Id")}
			mu.Lock()
			runs[r.id] = append(runs[r.id], this)
			mu.Unlock()
			defer func() {
				mu.Lock()
				this.ended = time.Now()
				mu.Unlock()
				d.rec.event("ends", r.id, s.id, "")
			}()
			s.work(r.id, 50*time.Millisecond)
			// The connection closes: a sound server drops the request.
			gone := make(chan struct{})
			go func() {
				var b [1]byte
				_, _ = c.Read(b[:])
				close(gone)
			}()
			fmt.Fprintf(c, "HTTP/1.1 200 S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: seal.%s\r\nX-Confidence: 95\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id, s.id)
			first := 1
			if this.continuesAfter != "" {
				fmt.Sscan(this.continuesAfter, &first)
				first++
			}
			for i := first; i <= 800; i++ {
				select {
				case <-gone:
					return false
				default:
				}
				e := fmt.Sprintf("id: %d\ndata: %d %s\n\n", i, i, pad)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
					return false
				}
				time.Sleep(22 * time.Millisecond)
			}
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return false
		}); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := d.booking()
			conn, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", d.machines[i].frontend)
			if err != nil {
				return
			}
			defer conn.Close()
			if trouble {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			}
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Key: %s\r\nX-Model: *\r\nX-Token-Usage: 1460,5600\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 2\r\n\r\n{}", streamPath, a.id, key)
			end := time.Now().Add(19 * time.Second)
			d.rec.event("sent", a.id, d.machines[i].frontend, "POST "+streamPath)
			buf := make([]byte, 512)
			n := 0
			for time.Now().Before(end) {
				_ = conn.SetReadDeadline(end)
				k, err := conn.Read(buf)
				if n/4096 != (n+k)/4096 {
					d.rec.event("reads", a.id, d.machines[i].frontend, fmt.Sprintf("%d bytes so far", n+k))
				}
				n += k
				if err == io.EOF || err != nil {
					break
				}
				if trouble {
					time.Sleep(200 * time.Millisecond)
				}
			}
			d.rec.event("answered", a.id, d.machines[i].frontend, fmt.Sprintf("%d bytes of a stream", n))
			d.rec.note("the client of %s has read %d bytes", a.id, n)
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	bad := false
	for id, rs := range runs {
		for i, r := range rs {
			d.rec.note("%s run %d at %s from %q: %.2f s to %.2f s", id, i, r.server, r.continuesAfter, r.began.Sub(d.rec.began).Seconds(), r.ended.Sub(d.rec.began).Seconds())
			if i > 0 && rs[i-1].ended.After(r.began.Add(400*time.Millisecond)) {
				bad = true
				d.rec.note("TWICE: %s still worked on %s %.1f s after %s had begun to", rs[i-1].server, id, rs[i-1].ended.Sub(r.began).Seconds(), r.server)
			}
		}
	}
	return bad, nil
}
