package store

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/store"
)

// TestClientOverHTTP checks reads, writes, watches and lists of the real client against the
// stand-in, over HTTP.
func TestClientOverHTTP(t *testing.T) {
	is := is.New(t)
	st := New()
	server := httptest.NewServer(st.View("a").Handler())
	t.Cleanup(server.Close)
	c := store.NewClient(&store.Options{URL: server.URL})
	ctx := t.Context()

	_, err := c.Read(ctx, "woaddoor/x")
	is.Equal(err, store.ErrNotFound)
	v1, err := c.Create(ctx, "woaddoor/x", []byte("one"))
	is.NoErr(err)
	_, err = c.Create(ctx, "woaddoor/x", []byte("two"))
	is.Equal(err, store.ErrExists)
	_, err = c.Watch(ctx, "woaddoor/x", v1, time.Millisecond)
	is.Equal(err, store.ErrUnchanged)
	v2, err := c.Update(ctx, "woaddoor/x", []byte("two"), v1)
	is.NoErr(err)
	_, err = c.Update(ctx, "woaddoor/x", []byte("three"), v1)
	is.Equal(err, store.ErrConflict)
	o, err := c.Watch(ctx, "woaddoor/x", v1, time.Second)
	is.NoErr(err)
	is.Equal(string(o.Value), "two")
	is.Equal(o.Version, v2)
	names, err := c.List(ctx, "woaddoor/", "")
	is.NoErr(err)
	is.Equal(names, []string{"woaddoor/x"})
}

// TestLostReplyAndDisconnect checks that a write takes effect although its reply is lost, and that
// a disconnected client cannot read.
func TestLostReplyAndDisconnect(t *testing.T) {
	is := is.New(t)
	st := New()
	server := httptest.NewServer(st.View("a").Handler())
	t.Cleanup(server.Close)
	c := store.NewClient(&store.Options{URL: server.URL})
	st.SetFaults(Faults{DropReplies: 1})
	_, err := c.Create(t.Context(), "woaddoor/x", []byte("one"))
	is.True(err != nil)
	o, err := c.Read(t.Context(), "woaddoor/x")
	is.NoErr(err)
	is.Equal(string(o.Value), "one")

	st.SetDisconnected("a", true)
	_, err = c.Read(t.Context(), "woaddoor/x")
	is.True(err != nil)
}
