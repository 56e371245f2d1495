package bill

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// vm is an entry process in a drawn schedule.
type vm struct {
	origin Origin
	holder *Holder
}

// world is a fleet that answers requests, is killed at any step, and files
// with lost replies to a platform that is sometimes out.
type world struct {
	t         *rapid.T
	vms       []*vm
	now       time.Time
	filed     []Record
	naive     int // sum of a reader that adds up every filed record
	delivered map[key]bool
}

func (w *world) answer() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")
	self, peer := w.vms[i], w.vms[(i+1)%len(w.vms)]
	id := ID(fmt.Sprint(rapid.IntRange(0, 9).Draw(w.t, "request")))
	r := Record{ID: id, Workspace: contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "workspace")), Amount: 1, At: w.now, Origin: self.origin}
	if self.holder.Keep(r, w.now) != nil || w.dies(i, "after keep") {
		return
	}
	if peer.holder.Keep(r, w.now) != nil {
		return
	}
	self.holder.Copied(r)
	if w.dies(i, "after copy") {
		return
	}
	w.delivered[r.key()] = true
	w.dies(i, "after answer")
}

// dies kills a VM, or not, and puts a new one in its place.
func (w *world) dies(i int, step string) bool {
	if rapid.IntRange(0, 5).Draw(w.t, step) != 0 {
		return false
	}
	o := Origin{VM: w.vms[i].origin.VM, Incarnation: w.vms[i].origin.Incarnation + 1}
	w.vms[i] = &vm{o, NewHolder(o, 1000)}
	return true
}

func (w *world) file(outage bool) {
	for _, v := range w.vms {
		due := v.holder.Due(w.now, 100)
		if len(due) == 0 || outage {
			continue
		}
		w.filed = append(w.filed, due...)
		w.naive += len(due)
		if rapid.Bool().Draw(w.t, "reply arrives") {
			v.holder.Filed(due)
		}
	}
}

// TestBilledOnce draws schedules of kills at each step, outages and lost
// replies, with one VM at a time dying between two filings. Every delivered
// answer is billed exactly once, and to its workspace; adding up what was
// filed, as the naive reader does, bills some twice.
func TestBilledOnce(t *testing.T) {
	naiveWrong := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(0, 0), delivered: make(map[key]bool)}
		for i := range 3 {
			o := Origin{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}
			w.vms = append(w.vms, &vm{o, NewHolder(o, 1000)})
		}
		for range rapid.IntRange(1, 15).Draw(t, "rounds") {
			w.answer()
			w.now = w.now.Add(copyGrace)
			w.file(false)
			w.file(rapid.Bool().Draw(t, "outage"))
		}
		billed := make(map[key]int)
		for _, r := range Union(w.filed) {
			billed[r.key()]++
		}
		for k := range w.delivered {
			if billed[k] != 1 {
				t.Fatalf("answer %v was billed %d times", k, billed[k])
			}
		}
		if w.naive != len(billed) {
			naiveWrong++
		}
	})
	if naiveWrong == 0 {
		t.Error("no schedule made the naive reader wrong: the schedules are too tame")
	}
}

// TestSameKeyOfTwoWorkspaces shows that each is billed for its own.
func TestSameKeyOfTwoWorkspaces(t *testing.T) {
	is := is.New(t)
	sums := Sums([]Record{
		{ID: "k", Workspace: "a", Amount: 5}, {ID: "k", Workspace: "b", Amount: 7}, {ID: "k", Workspace: "a", Amount: 5},
	})
	is.Equal(len(sums), 2)
	is.Equal(sums[0].Amount, contract.Money(5))
	is.Equal(sums[1].Amount, contract.Money(7))
}

// TestUnionOrder checks that readers agree, whatever the order of filing.
func TestUnionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(0, 12).Draw(t, "n") {
			records = append(records, Record{
				ID: ID(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")), Workspace: "w",
				Amount: contract.Money(rapid.IntRange(1, 5).Draw(t, "amount")), At: time.Unix(rapid.Int64Range(0, 3).Draw(t, "at"), 0),
			})
		}
		want := Sums(records)
		got := Sums(rapid.Permutation(records).Draw(t, "order"))
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Fatalf("%v and %v", want, got)
		}
	})
}

// TestFullIsSaid shows that the bound refuses, and counts what is at risk.
func TestFullIsSaid(t *testing.T) {
	is := is.New(t)
	self := Origin{VM: "a", Incarnation: 1}
	h := NewHolder(self, 1)
	r := Record{ID: "1", Workspace: "w", Origin: self}
	is.NoErr(h.Keep(r, time.Unix(0, 0)))
	is.Equal(h.AtRisk(), 1)
	is.True(h.Full())
	is.Equal(h.Keep(Record{ID: "2", Workspace: "w"}, time.Unix(0, 0)), ErrFull)
	h.Copied(r)
	is.Equal(h.AtRisk(), 0)
	h.Filed([]Record{r, r})
	is.Equal(h.Len(), 0)
}
