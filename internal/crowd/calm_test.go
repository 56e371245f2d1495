package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exchangeSlowly sends pieces of a request on a connection with a pause before each but the first, and returns the
// status of the answer, which it reads whole.
func exchangeSlowly(c net.Conn, pause time.Duration, pieces ...string) (int, error) {
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write([]byte(piece)); err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestSlowRequestsAreServedInCalm guards against limits that a single caller within the limits of the configuration
// meets: the largest body, slowly; the largest head; a head that takes its time; a connection that rests.
func TestSlowRequestsAreServedInCalm(t *testing.T) {
	v := startVM(t, machineDescriptors, answer)
	for _, test := range []struct {
		name   string
		pause  time.Duration
		pieces []string
	}{
		{"largest body in chunks, slowly", 3 * time.Second, []string{
			head("/safe/x", "largest", "Transfer-Encoding: chunked") + "\r\n", chunkedBody(), "a\r\n0", "\r\n", "\r\n",
		}},
		{"largest body with a length, slowly", 4 * time.Second, []string{
			head("/safe/x", "length", fmt.Sprint("Content-Length: ", maxBody)) + "\r\n", strings.Repeat("a", maxBody-1), "a",
		}},
		{"body of tiny chunks", time.Second, []string{
			head("/safe/x", "tiny", "Transfer-Encoding: chunked") + "\r\n", strings.Repeat(chunk("a"), 64<<10), "0\r\n\r\n",
		}},
		{"largest head", 0, []string{head("/safe/x", "head", "Content-Length: 0") + shortFields(maxHead-512) + "\r\n"}},
		{"slow head", headerTimeout * 8 / 10, []string{head("/safe/x", "slow", "Content-Length: 0"), "\r\n"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", v.callers)
			is.NoErr(err)
			defer c.Close()
			status, err := exchangeSlowly(c, test.pause, test.pieces...)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
	t.Run("connection that rests", func(t *testing.T) {
		is := is.New(t)
		c, err := net.Dial("tcp", v.callers)
		is.NoErr(err)
		defer c.Close()
		request := head("/safe/x", "rests", "Content-Length: 0") + "\r\n"
		status, err := exchangeSlowly(c, 0, request)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		time.Sleep(idleTimeout * 4 / 5)
		status, err = exchangeSlowly(c, 0, request)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	})
	v.check(t)
}
