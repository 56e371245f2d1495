package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestSlowUpstreamIsRetried guards against an upstream that permanently gets no requests after a
// few slow answers: one of two engines got 3 requests and then none for ten seconds, while the
// other got 978. Its first answers were slow on a busy machine, so it counted as slow: it was no
// longer the home of any prompt, and the other engine always had the shorter expected wait. Only
// answers update the service time, and it got no requests that could.
//
// In this test two engines answer equally fast except for the first three requests at one of them.
// Requests arrive one at a time, each with a different prompt. Each slow answer may keep that engine
// unused for at most two seconds, so it must have its share in the last three of ten seconds.
func TestSlowUpstreamIsRetried(t *testing.T) {
	for name, prefix := range map[string]uint64{"with prefix": 1, "without prefix": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const slowAnswer, fastAnswer = 400 * time.Millisecond, 4 * time.Millisecond
			const requests, lastRequests = 1000, 300 // requests arrive every 10 ms
			now, draw := time.Unix(100, 0), seededRandom()
			tb := newReportingTable("a", "b")
			got := make(map[contract.UpstreamID]int)
			gotLate := 0
			for n := range uint64(requests) {
				for _, id := range []contract.UpstreamID{"a", "b"} {
					tb.ApplyReport(id, loadReport(1), now)
				}
				q := reportingQuery
				q.Prefix = prefix * (n + 1) * 0x9e3779b97f4a7c15
				id, err := tb.Pick(q, now, draw)
				is.NoErr(err)
				took := fastAnswer
				if got[id]++; id == "a" && got[id] <= 3 {
					took = slowAnswer
				}
				if id == "a" && n >= requests-lastRequests {
					gotLate++
				}
				tb.RecordSent(id)
				now = now.Add(10 * time.Millisecond)
				tb.RecordDone(id, Succeeded, took, now)
			}
			t.Logf("a got %d requests and b %d; a got %d of the last %d", got["a"], got["b"], gotLate, lastRequests)
			is.True(gotLate >= lastRequests/3)
		})
	}
}
