package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const usageSample = `
time=2026-06-22T14:02:47.035Z level=info event=lease vm=vm-a holder=vm-a fencing=1 before= fencing_before=0 version=33 age=6ms mine=true
time=2026-06-22T14:02:47.039Z level=info event=lease vm=vm-b holder=vm-a fencing=1 before= fencing_before=0 version=33 age=0s mine=false
time=2026-06-22T14:03:06.900Z level=warn event=usage-report-failed vm=vm-a error="no answer" window=356427396 fencing=1
time=2026-06-22T14:03:07.201Z level=info event=usage-window vm=vm-a window=356427396 end=reported fencing=1 workspaces=5 requests=326
time=2026-06-22T14:03:20.000Z level=info event=lease vm=vm-b holder=vm-b fencing=2 before=vm-a fencing_before=1 version=60 age=7ms mine=true
time=2026-06-22T14:03:21.000Z level=info event=usage-window vm=vm-b window=356427398 end=missed after=10.8s
`

// TestUsageListsLeaseHoldersAndWindows checks that each lease holder and each window
// is printed once.
func TestUsageListsLeaseHoldersAndWindows(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(usageSample))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Usage(&out, lines, 5*time.Second))
	for _, want := range []string{
		"vm-a holds the lease, number 1", "window 356427396 from 2026-06-22T14:03:00Z", "reported by vm-a, number 1, 326 requests of 5 workspaces, 1 calls failed before",
		"vm-b holds the lease, number 2", "before it vm-a", "missed by vm-b",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("want %q in:\n%s", want, out.String())
		}
	}
	is.Equal(strings.Count(out.String(), "holds the lease"), 2)
}
