package site

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/overload"
)

// TestUseOfOthersIsKnown guards against a VM that turns callers away although the other VMs of its data centre are
// as short as it is: each knows the mean use of the others, and how many are short, a leaf through its hub. Without news it keeps what it knew.
func TestUseOfOthersIsKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d, e := newDemandVMs(t, func() time.Time { return now })
	hub, otherHub, leaf, otherLeaf := d[0], d[1], d[2], d[3]
	for n, v := range []*demandVM{hub, otherHub, leaf, otherLeaf} {
		v.SetUse(10*(n+1), n == 1)
	}
	e[0].SetUse(100, true)
	is.Equal(leaf.OthersUse(), overload.Others{Live: 3})
	now = now.Add(time.Millisecond)
	tell := func(from, to *demandVM, msg GossipMessage) {
		to.recordMembers(msg, false)
		to.cachedView.Store(nil)
		reply := to.gossipReply(msg)
		from.recordMembers(reply, true)
		from.cachedView.Store(nil)
		if reply.Use != nil {
			from.recordUse(*reply.Use)
		}
	}
	for range 2 {
		tell(otherLeaf, otherHub, otherLeaf.gossipToHub())
		tell(otherHub, hub, otherHub.gossipFor(audienceHub))
		tell(e[0], hub, e[0].gossipFor(audienceRemote))
		tell(leaf, hub, leaf.gossipToHub())
	}
	is.Equal(leaf.OthersUse(), overload.Others{Live: 3, VMs: 3, Use: 0.23, Short: 1}) // 10, 20 and 40
	is.Equal(hub.OthersUse(), overload.Others{Live: 3, VMs: 3, Use: 0.3, Short: 1})
	now = now.Add(useExpiry + time.Millisecond)
	hub.cachedView.Store(nil)
	is.Equal(hub.useExcept(hub.member.VM).VMs, 0)
	is.Equal(hub.OthersUse().VMs, 3) // nothing new
}
