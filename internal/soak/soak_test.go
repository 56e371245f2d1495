package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/internal/standin/replica"
)

// TestPlanIsReproducible checks that a seed always draws the same faults at the same times, that
// another seed draws different ones, and that every kind can be drawn.
func TestPlanIsReproducible(t *testing.T) {
	is := is.New(t)
	f := &fleet{}
	type drawn struct {
		at   time.Duration
		name string
	}
	plan := func(seed uint64) (out []drawn) {
		for _, planned := range f.plan(seed, time.Minute) {
			out = append(out, drawn{planned.after, planned.name})
		}
		return out
	}
	is.Equal(plan(7), plan(7))
	is.True(!slices.Equal(plan(7), plan(8)))
	total := 0
	for _, g := range []faultGroup{failureGroup, noticeGroup, operatorGroup, limitGroup, returnGroup} {
		total += len(kindNames(f.faultKinds(), g))
	}
	is.Equal(total, len(f.faultKinds()))
}

// TestProxyFaults checks each fault of a link: it forwards nothing while it is blocked, silenced
// connections stay silent while new ones work, and a closed link refuses connections.
func TestProxyFaults(t *testing.T) {
	is := is.New(t)
	echoServer, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer echoServer.Close()
	go func() {
		for {
			c, err := echoServer.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	link, err := newProxy("127.0.0.1:0", echoServer.Addr().String())
	is.NoErr(err)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.address())
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
	link.setFault(0, true)
	is.True(!echoes(first, 100*time.Millisecond))
	link.setFault(0, false)
	second := dial()
	defer second.Close()
	is.True(echoes(second, 5*time.Second))
	link.silenceOpen()
	is.True(!echoes(second, 100*time.Millisecond))
	third := dial()
	defer third.Close()
	is.True(echoes(third, 5*time.Second))
	link.close()
	_, err = net.Dial("tcp", link.address())
	is.True(err != nil)
}

// TestSenderOfForwardedRequest guards against a request that one VM has forwarded to another being
// counted against the first, which has not sent it to the upstream.
func TestSenderOfForwardedRequest(t *testing.T) {
	is := is.New(t)
	notices := newNoticeTracker(newRecorder())
	for _, vm := range []string{"vm0", "vm1"} {
		notices.startIncarnation(vm)
	}
	attributed := make(chan string, 1)
	r, err := replica.Start("u", func(c *replica.Conn, r *replica.Request) bool {
		attributed <- notices.senderOf(c, r)
		c.Respond(http.StatusOK, r.ID(), "")
		return false
	})
	is.NoErr(err)
	defer r.Close()
	link, err := newProxyWith("127.0.0.1:0", r.Address(), notices.senders.recordProxied)
	is.NoErr(err)
	defer link.close()
	call := func() string {
		req, err := replica.NewCall(t.Context(), link.address(), "a.example", "/safe/x", "id", "key", "b")
		is.NoErr(err)
		req.Close = true // the upstream closes the connection: the next call needs its own
		req.Header.Set(headerVMIncarnation, notices.recordSend("id", "vm0"))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		return <-attributed
	}
	is.Equal(call(), "vm0 1") // the sender is not known
	notices.senders.setProcess("vm1", os.Getpid())
	is.Equal(call(), "vm1 1")
	notices.senders.setProcess("vm1", 0)
	notices.senders.setProcess("vm0", os.Getpid())
	is.Equal(call(), "vm0 1")
}
