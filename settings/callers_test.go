package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestParseCallers checks which limits for callers follow from the machine, and that keys replace them.
func TestParseCallers(t *testing.T) {
	is := is.New(t)
	parse := func(text string) Callers {
		v, err := ParseVM("vm.ini", []byte(minimalSettings+text))
		is.NoErr(err)
		return v.Callers
	}
	none := parse("")
	is.Equal(none.MaxConnections, 0) // nothing is known of the machine
	is.Equal(none.Memory, contract.Bytes(0))
	small := parse("[machine]\nmemory-mb = 88\ndescriptors = 4100\n")
	is.Equal(small.MaxConnections, 422)
	is.Equal(small.Memory, 88*contract.MiB/5)
	is.Equal(small.WorkspaceShare, 0.75)
	is.Equal(small.StallAfter, time.Second)
	is.Equal(small.WriteTimeout, 30*time.Second)
	is.Equal(small.ReceiveBuffer, 16*contract.KiB)
	few := parse("[machine]\nmemory-mb = 88\ndescriptors = 300\n")
	is.Equal(few.MaxConnections, 50)
	set := parse("[machine]\nmemory-mb = 88\n[callers]\nmax-connections = 7\nmemory-mb = 3\nworkspace-share = 0.5\nreceive-buffer-kb = 8\nsend-buffer-kb = 32\nstall-after = 2s\nwrite-timeout = 5s\n")
	is.Equal(set, Callers{
		MaxConnections: 7, Memory: 3 * contract.MiB, WorkspaceShare: 0.5, ReceiveBuffer: 8 * contract.KiB, SendBuffer: 32 * contract.KiB,
		StallAfter: 2 * time.Second, WriteTimeout: 5 * time.Second,
	})
}

// TestParseRejectsInvalidCallers checks that the errors about invalid limits for callers name the key.
func TestParseRejectsInvalidCallers(t *testing.T) {
	for _, line := range []string{
		"max-connections = -1", "memory-mb = many", "workspace-share = 1.5", "workspace-share = 0", "receive-buffer-kb = 1",
		"send-buffer-kb = 5000", "stall-after = soon", "write-timeout = -1s",
	} {
		is := is.New(t)
		_, err := ParseVM("vm.ini", []byte(minimalSettings+"[callers]\n"+line+"\n"))
		is.True(err != nil)
		key, _, _ := strings.Cut(line, " ")
		is.True(strings.Contains(err.Error(), "[callers] "+key))
	}
}

// TestParseEntryCallers checks the limits for callers of woaddoor-entry: they follow from its other limits.
func TestParseEntryCallers(t *testing.T) {
	is := is.New(t)
	s, err := Parse("a1.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Entry.MaxConnections, 2*(defaultMaxInFlight+defaultMaxQueue))
	is.Equal(s.Entry.CallerMemory, 256*contract.MiB)
	s, err = Parse("a1.ini", []byte(strings.Replace(validSettings, "[control]", "max-in-flight = 64\nmax-body-bytes = 4194304\nmax-connections = 9\n[control]", 1)))
	is.NoErr(err)
	is.Equal(s.Entry.MaxConnections, 9)
	is.Equal(s.Entry.CallerMemory, 16*contract.MiB) // four of the largest bodies
	_, err = Parse("a1.ini", []byte(strings.Replace(validSettings, "[control]", "caller-memory-mb = much\n[control]", 1)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "caller-memory-mb"))
}
