package contract

import (
	"testing"

	"github.com/matryer/is"
)

// TestLaterEraIsHigher checks that a change of a later era is higher than any of an earlier one.
func TestLaterEraIsHigher(t *testing.T) {
	is := is.New(t)
	is.True(NewRevision(2, 1) > NewRevision(1, MaxCounter))
	is.True(NewRevision(1, 0) > NewRevision(0, MaxCounter))
	r := NewRevision(3, 35)
	is.Equal(r.Era(), uint64(3))
	is.Equal(r.Counter(), uint64(35))
	is.Equal(r.String(), "3.35")
	is.Equal(NewRevision(0, 35).String(), "35")
}
