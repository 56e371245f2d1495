package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestStoreCalls checks that calls are summed over VMs, by kind and call, and that failed
// calls, which are paid for too, are not left out.
func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(`
time=2026-06-22T14:02:47.035Z level=info event=store-call vm=vm-a call=watch kind=upstreams failed=false
time=2026-06-22T14:02:47.135Z level=info event=store-call vm=vm-a call=watch kind=upstreams failed=true
time=2026-06-22T14:02:47.235Z level=info event=store-call vm=vm-b call=watch kind=upstreams failed=false
time=2026-06-22T14:02:47.335Z level=info event=store-call vm=vm-b call=list kind=orders failed=false
`))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(StoreCalls(&out, lines))
	is.Equal(strings.Join(strings.Fields(out.String()), " "), "all VMs all all 4 failed 1 all VMs orders list 1 failed 0 all VMs upstreams watch 3 failed 1 "+
		"vm-a all all 2 failed 1 vm-a upstreams watch 2 failed 1 vm-b all all 2 failed 0 vm-b orders list 1 failed 0 vm-b upstreams watch 1 failed 0")
}
