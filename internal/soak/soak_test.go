package main

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanIsDecidedByItsSeed checks that a seed draws the same faults at the same moments
// each time, another seed others, and that every kind can be drawn.
func TestPlanIsDecidedByItsSeed(t *testing.T) {
	is := is.New(t)
	f := &fleet{}
	type drawn struct {
		at   time.Duration
		name string
	}
	plan := func(seed uint64) (out []drawn) {
		for _, x := range f.plan(seed, time.Minute) {
			out = append(out, drawn{x.at, x.name})
		}
		return out
	}
	is.Equal(plan(7), plan(7))
	is.True(!slices.Equal(plan(7), plan(8)))
	total := 0
	for _, g := range []group{byItself, byWords, byOperator, byLimits} {
		total += len(namesOf(f.kinds(), g))
	}
	is.Equal(total, len(f.kinds()))
}

// TestLink puts each fault on a link: held up while it is cut, silent for good on open
// connections while new ones work, refused once it is closed.
func TestLink(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	is.NoErr(err)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.address())
		is.NoErr(err)
		return c
	}
	echoes := func(c net.Conn, within time.Duration) bool {
		is.NoErr(c.SetDeadline(time.Now().Add(within)))
		_, werr := c.Write([]byte("x"))
		var one [1]byte
		_, rerr := io.ReadFull(c, one[:])
		return werr == nil && rerr == nil
	}
	first := dial()
	defer first.Close()
	is.True(echoes(first, 5*time.Second))
	p.set(0, true)
	is.True(!echoes(first, 100*time.Millisecond))
	p.set(0, false)
	second := dial()
	defer second.Close()
	is.True(echoes(second, 5*time.Second))
	p.silence()
	is.True(!echoes(second, 100*time.Millisecond))
	third := dial()
	defer third.Close()
	is.True(echoes(third, 5*time.Second))
	p.close()
	_, err = net.Dial("tcp", p.address())
	is.True(err != nil)
}
