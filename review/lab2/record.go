package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// event adds a line.
func (r *record) event(what, id, where, more string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-9s %s %s %s\n", time.Since(r.began).Seconds(), what, id, where, more)
}

// note adds a line, and prints it.
func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f # %s\n", time.Since(r.began).Seconds(), text)
	fmt.Println(text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
