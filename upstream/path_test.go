package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestPathState checks when a path counts as lost: refused connections count as failed, one or two
// upstreams that fail do not, and the state ends only when a connection is established.
func TestPathState(t *testing.T) {
	start := time.Unix(100, 0)
	all := []contract.UpstreamID{"a", "b", "c", "d"}
	fail := func(m *PathMonitor, ids ...contract.UpstreamID) {
		for _, id := range ids {
			m.RecordConnect("s", id, false, start)
		}
	}
	for name, c := range map[string]struct {
		observe func(m *PathMonitor)
		usable  []contract.UpstreamID
		state   PathState
	}{
		"nothing observed":       {func(*PathMonitor) {}, all, PathOpen},
		"two fail":               {func(m *PathMonitor) { fail(m, "a", "b", "a", "b") }, all, PathOpen},
		"three fail":             {func(m *PathMonitor) { fail(m, "a", "b", "c") }, all, PathLost},
		"all of two fail":        {func(m *PathMonitor) { fail(m, "a", "b") }, all[:2], PathLost},
		"the only one fails":     {func(m *PathMonitor) { fail(m, "a") }, all[:1], PathLost},
		"the failed ones leave":  {func(m *PathMonitor) { fail(m, "a", "b", "c") }, all[2:], PathOpen},
		"none may be used":       {func(m *PathMonitor) { fail(m, "a", "b", "c") }, nil, PathOpen},
		"another service fails":  {func(m *PathMonitor) { m.RecordConnect("t", "a", false, start) }, all[:1], PathOpen},
		"answers still arrive":   {func(m *PathMonitor) { fail(m, "a", "b", "c"); m.RecordAnswer("s", start) }, all, PathNoConnects},
		"a connection succeeds":  {func(m *PathMonitor) { fail(m, "a", "b", "c"); m.RecordConnect("s", "d", true, start) }, all, PathOpen},
		"a restart is forgotten": {func(m *PathMonitor) { fail(m, "a", "b", "c"); m.Forget("s", "c") }, all, PathOpen},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewPathMonitor()
			c.observe(m)
			is.Equal(m.State("s", c.usable, start), c.state)
			later := c.state
			if later == PathNoConnects {
				later = PathLost // no further answer
			}
			is.Equal(m.State("s", c.usable, start.Add(time.Hour)), later) // the state does not expire
		})
	}
}
