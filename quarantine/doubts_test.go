package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestDoubtsAreSettledOnce follows lives whose connections broke off: each is tried
// once, what ran there is told once its end is known, by the try or by the list, and
// never of one that was only cut off.
func TestDoubtsAreSettledOnce(t *testing.T) {
	is := is.New(t)
	d := NewDoubts()
	now := time.Unix(1000, 0)
	one, two := contract.Life{Upstream: "u1", Born: 1}, contract.Life{Upstream: "u2", Born: 1}
	suspect := func(id string) Suspect { return Suspect{Route: id, Broke: now} }
	try, ended := d.Broke(one, "a:1", suspect("1"))
	is.True(try && !ended)
	try, ended = d.Broke(one, "a:1", suspect("2"))
	is.True(!try && !ended) // one try is enough
	is.Equal(len(d.Ended(one)), 2)
	is.Equal(len(d.Ended(one)), 0) // told already
	_, ended = d.Broke(one, "a:1", suspect("3"))
	is.True(ended) // what breaks off later ran there as well

	d.Broke(two, "b:1", suspect("4"))
	listed := contract.Life{Upstream: "u2", Born: 1}
	at := func(string) (contract.Life, bool) { return listed, true }
	is.Equal(len(d.Replaced(at)), 0) // still there: its connection alone broke off
	listed = contract.Life{Upstream: "u2", Born: 2}
	is.Equal(d.Replaced(at), []contract.Life{two})
	is.Equal(len(d.Ended(two)), 1)
	d.Expire(now.Add(doubtFor))
	is.True(d.Any())
	d.Expire(now.Add(doubtFor + 1))
	is.True(!d.Any())
}
