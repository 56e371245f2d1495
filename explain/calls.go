package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// eventStoreCall is the log event of one call to the platform's object store.
const eventStoreCall = "store-call"

// callCount counts calls, and those that failed.
type callCount struct{ calls, failed int }

// StoreCalls prints how many calls to the platform's object store the VMs have made, first of all
// VMs together and then of each VM, by kind of objects and call. Calls that had not ended when
// their VM was killed are missing.
func StoreCalls(w io.Writer, lines []*Line) error {
	const allVMs = "all VMs"
	counts := make(map[string]map[string]*callCount)
	for _, l := range lines {
		if l.Event != eventStoreCall {
			continue
		}
		call := l.Value("kind") + "\t" + l.Value("call")
		for _, vm := range []string{allVMs, l.VM} {
			countCall(counts, vm, call, l.Value("failed") == "true")
			countCall(counts, vm, "all\tall", l.Value("failed") == "true")
		}
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeCallCounts(out, allVMs, counts[allVMs])
	delete(counts, allVMs)
	for _, vm := range sortedKeys(counts) {
		writeCallCounts(out, vm, counts[vm])
	}
	return out.Flush()
}

// countCall adds a call to the counts of a VM.
func countCall(counts map[string]map[string]*callCount, vm, call string, failed bool) {
	if counts[vm] == nil {
		counts[vm] = make(map[string]*callCount)
	}
	if counts[vm][call] == nil {
		counts[vm][call] = &callCount{}
	}
	counts[vm][call].calls++
	if failed {
		counts[vm][call].failed++
	}
}

// writeCallCounts prints the counts of one VM. Write errors are returned by Flush.
func writeCallCounts(out *tabwriter.Writer, vm string, counts map[string]*callCount) {
	for _, call := range sortedKeys(counts) {
		fmt.Fprintf(out, "%s\t%s\t%d\tfailed %d\n", vm, call, counts[call].calls, counts[call].failed)
	}
}
