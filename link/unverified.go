package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Limits of connections whose peer has not been authenticated. A fleet whose VMs start together stays below them.
const (
	// maxUnverified is the largest number of such connections; more are rejected.
	maxUnverified = 512
	// manyUnverified is the number from which a peer has to show first that it receives at its address.
	manyUnverified = 128
)

// errManyUnverified rejects a connection.
var errManyUnverified = errors.New("too many handshakes in progress")

// unverified counts the connections from others whose peer has not been authenticated yet. Each takes memory, and
// anybody can open one.
type unverified struct{ n atomic.Int64 }

// releaseKey is the key of the function that ends the count of a connection.
type releaseKey struct{}

// admit counts a connection until verified is called with the returned context, or the connection ends.
func (u *unverified) admit(ctx context.Context) (context.Context, error) {
	if u.n.Add(1) > maxUnverified {
		u.n.Add(-1)
		return nil, errManyUnverified
	}
	release := sync.OnceFunc(func() { u.n.Add(-1) })
	context.AfterFunc(ctx, release)
	return context.WithValue(ctx, releaseKey{}, release), nil
}

// many reports whether there are many such connections.
func (u *unverified) many() bool { return u.n.Load() >= manyUnverified }

// verified ends the count of the connection with this context.
func verified(ctx context.Context) {
	if release, ok := ctx.Value(releaseKey{}).(func()); ok {
		release()
	}
}
