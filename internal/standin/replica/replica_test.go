package replica

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRefusesRequestForAnotherReplica checks that a request for another replica, which had this
// address before, is refused and not counted.
func TestRefusesRequestForAnotherReplica(t *testing.T) {
	is := is.New(t)
	r, err := Start("u1", func(c *Conn, request *Request) bool {
		c.Respond(http.StatusOK, request.ID(), "whole")
		return true
	})
	is.NoErr(err)
	defer r.Close()
	for instance, status := range map[string]int{"u9": http.StatusMisdirectedRequest, "u1": http.StatusOK} {
		req, err := NewCall(t.Context(), r.Address(), "h", "/x", "id", "", "")
		is.NoErr(err)
		req.Header.Set("X-Expected-Instance", instance)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, status)
	}
	is.Equal(len(r.Requests()), 1)
}
