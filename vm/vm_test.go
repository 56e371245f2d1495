package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func member(id string, inc contract.Incarnation) Member {
	return Member{VM: contract.VMID(id), DataCentre: "d", Incarnation: inc}
}

// TestIgnoresHeartbeatOfEarlierIncarnation checks that a late heartbeat of an
// earlier incarnation is ignored, and that only a later incarnation proves that one
// has ended.
func TestIgnoresHeartbeatOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := NewTable(member("a", 1))
	table.ApplyHeartbeat(member("b", 2), now)
	table.ApplyHeartbeat(member("b", 1), now.Add(time.Second)) // late, from the earlier incarnation
	is.Equal(table.Live(now)[1].Incarnation, contract.Incarnation(2))
	is.True(table.Superseded("b", 1))
	is.True(!table.Superseded("b", 2))
	is.Equal(len(table.Live(now.Add(DeadAfter+time.Second))), 1)
	is.True(!table.Superseded("b", 2)) // silence does not prove an end
}

// TestDeadVMIsNotKeptAlive: two VMs that told each other of a third one, 50 ms a message,
// counted it as alive for ever.
func TestDeadVMIsNotKeptAlive(t *testing.T) {
	is := is.New(t)
	const messageDelay = 50 * time.Millisecond
	now := time.Unix(100, 0)
	a, b, lost := NewTable(member("a", 1)), NewTable(member("b", 1)), NewTable(member("c", 1))
	last := lost.NextHeartbeat()
	a.ApplyHeartbeat(last, now)
	tell := func(from, to *Table) {
		peers := from.LocalPeers(now)
		now = now.Add(messageDelay)
		for _, m := range peers {
			to.ApplyHeartbeat(m, now)
		}
	}
	for end := now.Add(DeadAfter + time.Second); now.Before(end); {
		tell(a, b)
		tell(b, a)
	}
	is.Equal(len(a.LocalPeers(now)), 0)
	is.Equal(len(b.LocalPeers(now)), 0)
}

// TestLeavingIsPermanent checks that neither a lagging list nor a late heartbeat
// clears the leaving state of a VM.
func TestLeavingIsPermanent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := NewTable(member("a", 1))
	leaving := member("b", 1)
	leaving.Leaving = true
	table.ApplyHeartbeat(leaving, now)
	table.ApplyHeartbeat(member("b", 1), now.Add(time.Second))
	table.SetPlatformList([]contract.VMEntry{{ID: "b", State: contract.VMLive}})
	is.True(table.Live(now.Add(time.Second))[1].Leaving)
	table.ApplyHeartbeat(member("b", 2), now.Add(2*time.Second)) // a new incarnation
	is.True(!table.Live(now.Add(2 * time.Second))[1].Leaving)
}

// TestWatchersAgree checks that VMs that know the same VMs agree on the watchers:
// exactly n in a data centre, or all VMs if there are fewer.
func TestWatchersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		now := time.Unix(100, 0)
		watching := 0
		for i := range n {
			table := NewTable(member(fmt.Sprint(i), 1))
			for j := range n {
				table.ApplyHeartbeat(member(fmt.Sprint(j), 1), now)
			}
			if table.IsWatcher(2, now) {
				watching++
			}
		}
		if watching != min(2, n) {
			t.Fatalf("%d of %d VMs watch the platform", watching, n)
		}
	})
}
