package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/relay"
)

var errNoAnswer = errors.New("no answer")

// newTestDirectory returns a directory whose candidates answer as given: 2 for a VM that reaches the
// service and has room, 1 for one that reaches it, 0 for one that does not, -1 for one that does not
// answer.
func newTestDirectory(now *time.Time, candidates []Candidate, answers map[contract.VMID]int) *directory {
	opts := &ClientOptions{Candidates: func() []Candidate { return candidates }, Log: zap.NewNop(), Now: func() time.Time { return *now }}
	byAddress := make(map[string]contract.VMID)
	for _, c := range candidates {
		byAddress[c.Address] = c.VM
	}
	return newDirectory(opts, func(_ context.Context, address string, _ contract.ServiceID) (ReachAnswer, error) {
		switch answer := answers[byAddress[address]]; answer {
		case 1, 2:
			return ReachAnswer{Reaches: true, Room: answer == 2}, nil
		case 0:
			return ReachAnswer{}, nil
		}
		return ReachAnswer{}, errNoAnswer
	})
}

var testCandidates = []Candidate{
	{VM: "near", Address: "1", DataCentre: "d"},
	{VM: "region", Address: "2", DataCentre: "e", Distance: 1},
	{VM: "far", Address: "3", DataCentre: "f", Distance: 2},
}

func anywhere(contract.DataCentreID) bool { return true }

// askAndWait asks once and waits for the end of the round.
func (d *directory) askAndWait(is *is.I) {
	d.refresh(context.Background(), "s")
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.mu.Lock()
		ended := d.service("s").round == nil
		d.mu.Unlock()
		if ended {
			return
		}
	}
	is.Fail() // the round does not end
}

// TestReach checks how the answers of other VMs tell a lost path from a service that is down, and
// that old answers count no more.
func TestReach(t *testing.T) {
	for name, c := range map[string]struct {
		answers map[contract.VMID]int
		reach   relay.Reach
	}{
		"one reaches it":                    {map[contract.VMID]int{"near": 0, "region": 0, "far": 1}, relay.ReachElsewhere},
		"nobody reaches it":                 {map[contract.VMID]int{"near": 0, "region": 0, "far": 0}, relay.ReachNowhere},
		"one of another data centre denies": {map[contract.VMID]int{"near": -1, "region": 0, "far": -1}, relay.ReachNowhere},
		"only this data centre answers":     {map[contract.VMID]int{"near": 0, "region": -1, "far": -1}, relay.ReachUnknown},
		"nobody answers":                    {map[contract.VMID]int{"near": -1, "region": -1, "far": -1}, relay.ReachUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			d := newTestDirectory(&now, testCandidates, c.answers)
			is.Equal(d.reach("s"), relay.ReachUnknown)
			d.askAndWait(is)
			is.Equal(d.reach("s"), c.reach)
			now = now.Add(answerTTL)
			is.Equal(d.reach("s"), relay.ReachUnknown)
		})
	}
}

// TestPickHelper checks that the nearest VM that may get a request is picked, of several the least
// loaded, and that a VM which has declined is left out for a while.
func TestPickHelper(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	candidates := append([]Candidate{{VM: "near2", Address: "4", DataCentre: "d"}}, testCandidates...)
	d := newTestDirectory(&now, candidates, map[contract.VMID]int{"near": 1, "near2": 1, "region": 1, "far": 1})
	_, ok := d.pick("s", false, anywhere)
	is.True(!ok) // no helper is known
	d.askAndWait(is)
	first, _ := d.pick("s", false, anywhere)
	second, _ := d.pick("s", false, anywhere)
	is.True(first.VM != second.VM)
	is.Equal(first.Distance+second.Distance, 0)
	elsewhere, _ := d.pick("s", false, func(dc contract.DataCentreID) bool { return dc == "f" })
	is.Equal(elsewhere.VM, contract.VMID("far"))
	d.drop("s", first.VM, NoPath)
	d.drop("s", second.VM, NoPath)
	third, _ := d.pick("s", false, anywhere)
	is.Equal(third.VM, contract.VMID("region"))
	now = now.Add(droppedFor)
	again, _ := d.pick("s", false, anywhere)
	is.Equal(again.Distance, 0)
	_, ok = d.pick("s", false, func(contract.DataCentreID) bool { return false })
	is.True(!ok)
}

// TestOverflowGoesToVMWithRoom guards against requests beyond a VM's share being offered to VMs that
// have used up their own, which would add work to an overload.
func TestOverflowGoesToVMWithRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	answers := map[contract.VMID]int{"near": 1, "region": 2, "far": 1}
	d := newTestDirectory(&now, testCandidates, answers)
	d.askAndWait(is)
	withRoom, ok := d.pick("s", true, anywhere)
	is.True(ok)
	is.Equal(withRoom.VM, contract.VMID("region"))
	answers["region"] = 1
	now = now.Add(askInterval)
	d.askAndWait(is)
	_, ok = d.pick("s", true, anywhere)
	is.True(!ok)
	_, ok = d.pick("s", false, anywhere)
	is.True(ok) // a lost path is another matter
}

// TestHoldersOfRoomAreOffered checks that VMs which hold the room of a service get overflow without being
// asked, also those that another VM has named, and that one which had no room is passed over for a moment
// and not for as long as one that has failed, but comes into question before a request is refused.
func TestHoldersOfRoomAreOffered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := newTestDirectory(&now, testCandidates, map[contract.VMID]int{"near": 1, "region": 1, "far": 1})
	d.suggest("s", []contract.VMID{"near", "unknown"})
	pick := func() contract.VMID {
		c, _ := d.pick("s", true, anywhere)
		return c.VM
	}
	is.Equal(pick(), contract.VMID("near"))
	_, ok := d.pickFull("s", anywhere)
	is.True(!ok) // it has not been found full
	for range 2 {
		d.drop("s", "near", Full)
		is.Equal(pick(), contract.VMID(""))
		full, ok := d.pickFull("s", anywhere)
		is.True(ok)
		is.Equal(full.VM, contract.VMID("near"))
		now = now.Add(fullFor - time.Millisecond)
		is.Equal(pick(), contract.VMID(""))
		now = now.Add(time.Millisecond)
		is.Equal(pick(), contract.VMID("near"))
	}
	d.done("s", "near", true)
	d.add("s", answered{Candidate: testCandidates[0], ReachAnswer: ReachAnswer{Reaches: true}})
	is.Equal(pick(), contract.VMID("near")) // it had no room when it was asked, and may have some now
	d.drop("s", "near", Full)
	now = now.Add(fullFor)
	is.Equal(pick(), contract.VMID("near"))
	d.drop("s", "near", NoPath)
	now = now.Add(droppedFor - time.Millisecond)
	is.Equal(pick(), contract.VMID(""))
	d.add("s", answered{Candidate: testCandidates[0], ReachAnswer: ReachAnswer{Reaches: true, Holders: []Holder{{"itself", "8"}}}})
	is.Equal(pick(), contract.VMID("")) // a VM does not offer requests to itself
	d.add("s", answered{Candidate: testCandidates[1], ReachAnswer: ReachAnswer{Reaches: true, Holders: []Holder{{"beside", "9"}}}})
	beside, ok := d.pick("s", true, anywhere)
	is.True(ok)
	is.Equal(beside, Candidate{VM: "beside", Address: "9", DataCentre: testCandidates[1].DataCentre, Distance: testCandidates[1].Distance})
}
