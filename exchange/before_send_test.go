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

// TestBeforeSendErrorPreventsSend checks that a request is not sent if BeforeSend returns an
// error, and that its connection is used for the next request.
func TestBeforeSendErrorPreventsSend(t *testing.T) {
	is := is.New(t)
	server, err := replica.Start("u", func(c *replica.Conn, r *replica.Request) bool {
		c.Respond(http.StatusOK, r.ID(), "whole")
		return true
	})
	is.NoErr(err)
	defer server.Close()
	pool := NewPool(server.Address(), 2)
	defer pool.Close()
	errNotAllowed := errors.New("not allowed")
	send := func(beforeSendErr error) error {
		resp, err := pool.Do(context.Background(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, BeforeSend: func() error { return beforeSendErr }},
			func(http.Header) bool { return true })
		if err == nil {
			resp.Close()
		}
		return err
	}
	for range 3 {
		err = send(errNotAllowed)
		var exchangeErr *Error
		is.True(errors.As(err, &exchangeErr) && errors.Is(err, errNotAllowed))
		is.True(!exchangeErr.Sent)
	}
	is.NoErr(send(nil))
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(server.Requests()), 1)
	_, dialled := pool.Stats()
	is.True(dialled <= 2) // one for the requests that were not sent and one for the request that was
}
