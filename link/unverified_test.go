package link

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestUnverifiedConnectionsAreBounded guards against handshakes of strangers that take the memory of a VM: they are
// rejected beyond a number, and neither authenticated nor ended connections count.
func TestUnverifiedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	var u unverified
	ctx, cancel := context.WithCancel(t.Context())
	var last context.Context
	for range maxUnverified {
		var err error
		last, err = u.admit(ctx)
		is.NoErr(err)
	}
	is.True(u.many())
	_, err := u.admit(ctx)
	is.Equal(err, errManyUnverified)
	verified(last)
	verified(last)
	_, err = u.admit(ctx)
	is.NoErr(err)
	cancel()
	for u.n.Load() != 0 { // the functions of the context run in goroutines of their own
	}
}
