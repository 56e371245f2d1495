package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// One of two engines got 3 requests and then none for ten seconds, while the other got 978.
// Its first answers had taken long, on a busy machine, and from then on it counted as slow:
// it was no home of any prompt, and with the least expected wait the other always came first.
// Its time was only learnt anew from answers, of which there were none.
//
// Two engines here answer alike but for the first three requests at one of them. Requests
// come one at a time, each with a prompt of its own. Each slow answer costs that engine two
// seconds at the most, so in the last three of ten it has its share.
func TestSlowOnceIsAskedAgain(t *testing.T) {
	for name, prefix := range map[string]uint64{"prompts with a prefix": 1, "without": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const slow, fast = 400 * time.Millisecond, 4 * time.Millisecond
			const all, last = 1000, 300 // in steps of 10 ms
			now, draw := time.Unix(100, 0), random()
			tb := table("a", "b")
			got := make(map[contract.UpstreamID]int)
			late := 0
			for n := range uint64(all) {
				for _, id := range []contract.UpstreamID{"a", "b"} {
					tb.Reported(id, report(1), now)
				}
				q := query
				q.Prefix = prefix * (n + 1) * 0x9e3779b97f4a7c15
				id, err := tb.Pick(q, now, draw)
				is.NoErr(err)
				took := fast
				if got[id]++; id == "a" && got[id] <= 3 {
					took = slow
				}
				if id == "a" && n >= all-last {
					late++
				}
				tb.Sent(id)
				now = now.Add(10 * time.Millisecond)
				tb.Done(id, Good, took, now)
			}
			t.Logf("%d and %d requests, %d of the last %d", got["a"], got["b"], late, last)
			is.True(late >= last/3)
		})
	}
}
