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

func TestLateWordOfEarlierLife(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := NewTable(member("a", 1))
	table.Heard(member("b", 2), now)
	table.Heard(member("b", 1), now.Add(time.Second)) // late, of the life before
	is.Equal(table.Live(now)[1].Incarnation, contract.Incarnation(2))
	is.True(table.Gone("b", 1))
	is.True(!table.Gone("b", 2))
	is.Equal(len(table.Live(now.Add(DeadAfter+time.Second))), 1)
	is.True(!table.Gone("b", 2)) // silence is no proof
}

// TestLeavingIsForGood shows that a leaving VM does not become live again by a
// list that lags or a heartbeat that comes late.
func TestLeavingIsForGood(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := NewTable(member("a", 1))
	leaving := member("b", 1)
	leaving.Leaving = true
	table.Heard(leaving, now)
	table.Heard(member("b", 1), now.Add(time.Second))
	table.Listed([]contract.VMEntry{{ID: "b", State: contract.VMLive}})
	is.True(table.Live(now.Add(time.Second))[1].Leaving)
	table.Heard(member("b", 2), now.Add(2*time.Second)) // a new life
	is.True(!table.Live(now.Add(2 * time.Second))[1].Leaving)
}

// TestWatchersAgree checks that VMs which know of the same VMs agree on who
// watches: exactly n of a data centre, or all when there are fewer.
func TestWatchersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		now := time.Unix(100, 0)
		watching := 0
		for i := range n {
			table := NewTable(member(fmt.Sprint(i), 1))
			for j := range n {
				table.Heard(member(fmt.Sprint(j), 1), now)
			}
			if table.Watches(2, now) {
				watching++
			}
		}
		if watching != min(2, n) {
			t.Fatalf("%d of %d watch", watching, n)
		}
	})
}
