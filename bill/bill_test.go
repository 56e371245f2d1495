package bill

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// entryProcess is a simulated entry process with its unfiled records.
type entryProcess struct {
	origin Origin
	buffer *RecordBuffer
}

// fleet simulates entry processes that answer requests, may be killed at any step,
// and file their records. Replies of the platform may be lost, and the platform may
// be unavailable.
type fleet struct {
	t          *rapid.T
	processes  []*entryProcess
	now        time.Time
	filed      []Record
	filedCount int // number of filed records, including duplicates
	delivered  map[recordKey]bool
}

// answerRequest answers one request at a random process. The process adds the bill record
// to its buffer, copies it to a peer and delivers the answer; it may be killed after each
// step.
func (f *fleet) answerRequest() {
	i := rapid.IntRange(0, len(f.processes)-1).Draw(f.t, "vm")
	self, peer := f.processes[i], f.processes[(i+1)%len(f.processes)]
	id := ID(fmt.Sprint(rapid.IntRange(0, 9).Draw(f.t, "request")))
	r := Record{ID: id, Workspace: contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(f.t, "workspace")), Amount: 1, At: f.now, Origin: self.origin}
	if self.buffer.Add(r, f.now) != nil || f.maybeKill(i, "after add") {
		return
	}
	if peer.buffer.Add(r, f.now) != nil {
		return
	}
	self.buffer.MarkCopied(r)
	if f.maybeKill(i, "after copy") {
		return
	}
	f.delivered[r.key()] = true
	f.maybeKill(i, "after answer")
}

// maybeKill randomly replaces a process by its next incarnation, whose buffer is empty.
// It returns whether it replaced the process.
func (f *fleet) maybeKill(i int, step string) bool {
	if rapid.IntRange(0, 5).Draw(f.t, step) != 0 {
		return false
	}
	o := Origin{VM: f.processes[i].origin.VM, Incarnation: f.processes[i].origin.Incarnation + 1}
	f.processes[i] = &entryProcess{o, NewRecordBuffer(o, 1000)}
	return true
}

// fileRecords files the due records of each process, unless there is an outage. The
// reply of the platform is randomly lost.
func (f *fleet) fileRecords(outage bool) {
	for _, process := range f.processes {
		due := process.buffer.Due(f.now, 100)
		if len(due) == 0 || outage {
			continue
		}
		f.filed = append(f.filed, due...)
		f.filedCount += len(due)
		if rapid.Bool().Draw(f.t, "reply arrives") {
			process.buffer.MarkFiled(due)
		}
	}
}

// TestDeliveredAnswerBilledOnce checks that every delivered answer is billed exactly
// once and to its workspace, although processes are killed at any step, the platform
// has outages, and its replies get lost. At most one VM dies between two filings. It
// also checks that the schedules file some records twice, so that counting the filed
// records without removing duplicates gives a wrong bill.
func TestDeliveredAnswerBilledOnce(t *testing.T) {
	schedulesWithDuplicates := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(0, 0), delivered: make(map[recordKey]bool)}
		for i := range 3 {
			o := Origin{VM: contract.VMID(fmt.Sprint(i)), Incarnation: 1}
			f.processes = append(f.processes, &entryProcess{o, NewRecordBuffer(o, 1000)})
		}
		for range rapid.IntRange(1, 15).Draw(t, "rounds") {
			f.answerRequest()
			f.now = f.now.Add(peerFilingDelay)
			f.fileRecords(false)
			f.fileRecords(rapid.Bool().Draw(t, "outage"))
		}
		billed := make(map[recordKey]int)
		for _, r := range Union(f.filed) {
			billed[r.key()]++
		}
		for k := range f.delivered {
			if billed[k] != 1 {
				t.Fatalf("answer %v was billed %d times", k, billed[k])
			}
		}
		if f.filedCount != len(billed) {
			schedulesWithDuplicates++
		}
	})
	if schedulesWithDuplicates == 0 {
		t.Error("no schedule filed a record twice: the schedules do not test the removal of duplicates")
	}
}

// TestSameIdempotencyKeyInTwoWorkspaces checks that two workspaces that use the same
// idempotency key are each billed for their own request.
func TestSameIdempotencyKeyInTwoWorkspaces(t *testing.T) {
	is := is.New(t)
	sums := TotalsByWorkspace([]Record{
		{ID: "k", Workspace: "a", Amount: 5}, {ID: "k", Workspace: "b", Amount: 7}, {ID: "k", Workspace: "a", Amount: 5},
	})
	is.Equal(len(sums), 2)
	is.Equal(sums[0].Amount, contract.Money(5))
	is.Equal(sums[1].Amount, contract.Money(7))
}

// TestSumsIndependentOfOrder checks that the totals do not depend on the order in
// which records were filed.
func TestSumsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(0, 12).Draw(t, "n") {
			records = append(records, Record{
				ID: ID(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")), Workspace: "w",
				Amount: contract.Money(rapid.IntRange(1, 5).Draw(t, "amount")), At: time.Unix(rapid.Int64Range(0, 3).Draw(t, "at"), 0),
			})
		}
		want := TotalsByWorkspace(records)
		got := TotalsByWorkspace(rapid.Permutation(records).Draw(t, "order"))
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Fatalf("sums %v in the original order, %v after a permutation", want, got)
		}
	})
}

// TestFullRecordBufferRefusesRecord checks that a full RecordBuffer refuses a record, and
// that AtRiskCount counts own records that no peer holds and that are not filed.
func TestFullRecordBufferRefusesRecord(t *testing.T) {
	is := is.New(t)
	self := Origin{VM: "a", Incarnation: 1}
	buffer := NewRecordBuffer(self, 1)
	r := Record{ID: "1", Workspace: "w", Origin: self}
	is.NoErr(buffer.Add(r, time.Unix(0, 0)))
	is.Equal(buffer.AtRiskCount(), 1)
	is.True(buffer.Full())
	is.Equal(buffer.Add(Record{ID: "2", Workspace: "w"}, time.Unix(0, 0)), ErrFull)
	buffer.MarkCopied(r)
	is.Equal(buffer.AtRiskCount(), 0)
	buffer.MarkFiled([]Record{r, r})
	is.Equal(buffer.Len(), 0)
}
