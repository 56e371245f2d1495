package exchange

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/internal/standin/replica"
)

// TestBarredBeforeTheFirstByte checks that a request which is barred once its connection is
// there is not sent, and that the connection serves the next one.
func TestBarredBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	u, err := replica.Start("u", func(c *replica.Conn, r *replica.Request) bool {
		c.Whole(http.StatusOK, r.ID(), "whole")
		return true
	})
	is.NoErr(err)
	defer u.Close()
	p := NewPool(u.Address(), 2)
	defer p.Close()
	errNo := errors.New("no")
	send := func(barred error) error {
		a, err := p.Do(context.Background(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Barred: func() error { return barred }},
			func(http.Header) bool { return true })
		if err == nil {
			a.Close()
		}
		return err
	}
	for range 3 {
		err = send(errNo)
		var x *Error
		is.True(errors.As(err, &x) && errors.Is(err, errNo))
		is.True(!x.Sent)
	}
	is.NoErr(send(nil))
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(u.Requests()), 1)
	_, dialled := p.Count()
	is.True(dialled <= 2) // one for those that were barred and for the one that was sent
}
