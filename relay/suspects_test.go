package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// recordCrashes makes the content of a job count as having crashed n upstreams one after another.
func recordCrashes(r *Relay, j *job, n int, now time.Time) {
	for i, id := range []contract.UpstreamID{"x", "y", "z"}[:n] {
		at := now.Add(time.Duration(i) * time.Second)
		crash := quarantine.Crash{UpstreamInstance: contract.UpstreamInstance{Upstream: id}, SentAt: at, BrokenAt: at.Add(time.Millisecond)}
		r.quarantineCases.RecordCrash(j.contentFingerprint(), quarantine.Source{}, crash, crash.BrokenAt)
	}
}

// newContentJob returns a job with a request body.
func newContentJob(now time.Time, body string) *job {
	j := newStreamJob(true)
	j.execution = newExecution()
	j.service, j.Arrived, j.Deadline, j.Body = "s", now, now.Add(time.Minute), []byte(body)
	return j
}

// TestSuspectRunsOnceAtATime guards against several requests with one content, which one more
// crash would quarantine, each crashing an upstream before the first of them has ended.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	for crashes, refusedBeside := range map[int]bool{0: false, 1: false, quarantine.CrashLimit - 1: true} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		r, _ := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
		first, second, other := newContentJob(now, "a"), newContentJob(now, "a"), newContentJob(now, "b")
		_, refused := r.selectUpstream(first) // before the content is suspected
		is.True(refused == nil)
		recordCrashes(r, first, crashes, now)
		_, refused = r.selectUpstream(other)
		is.True(refused == nil)
		_, refused = r.selectUpstream(second)
		is.Equal(refused != nil, refusedBeside)
		if refusedBeside {
			is.Equal(refused.Kind, contract.RefusedQuarantined)
			is.Equal(refused.Outcome, contract.OutcomeNotRun)
			is.True(refused.RetryAfter > 0)
			next, _ := r.reserveRetry(first, true, true)
			is.True(next == nil) // a silent attempt is not followed by another one either
		}
		r.recordAttemptEnd(first, first.lastUpstream, upstream.Abandoned, 0)
		if refusedBeside {
			_, refused = r.selectUpstream(second)
			is.True(refused == nil)
		}
		r.recordAttemptEnd(second, second.lastUpstream, upstream.Abandoned, 0)
		r.recordAttemptEnd(other, other.lastUpstream, upstream.Abandoned, 0)
		is.Equal(len(r.running), 0)
	}
}

// TestNextAttemptAwaitsVerdict guards against sending a content once more in the milliseconds
// before the probe of its last upstream shows the crash that quarantines the content.
func TestNextAttemptAwaitsVerdict(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
	recordCrashes(r, j, quarantine.CrashLimit-1, now)
	probe := make(chan struct{})
	r.probesRunning[j.lastUpstream.Instance()] = probe
	j.recordFailure(contract.OutcomeRan, true)
	go func() {
		time.Sleep(verdictTimeout / 10)
		r.withLock(func() { recordCrashes(r, newContentJob(now, ""), quarantine.CrashLimit, now) })
		close(probe)
	}()
	_, refused := r.selectUpstream(j)
	is.True(refused != nil)
	is.Equal(refused.Kind, contract.RefusedQuarantined)
}

// TestAttemptEndedForSilenceIsNoBreak guards against an attempt that this VM has ended counting as
// a broken connection, so that its content was suspected when the upstream crashed later.
func TestAttemptEndedForSilenceIsNoBreak(t *testing.T) {
	for _, ended := range []bool{true, false} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
		j.sentAt, j.upstreamSeen = now.Add(-time.Second), true
		if ended {
			j.reserved, _ = r.reserveRetry(j, true, false)
			is.True(j.reserved != nil)
		}
		r.recordAttemptEnd(j, j.lastUpstream, upstream.Broken, 0)
		r.withLock(func() { is.Equal(r.possibleCrashes.Any(), !ended) })
	}
}

// TestNoFingerprintsWithoutSuspects guards against the body of each answered request being hashed while
// nothing is suspected.
func TestNoFingerprintsWithoutSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, j := newSilentAttempt(&now, retry.ResendWindowOptions{Slack: 100})
	j.PartNames = []string{"system", "own"}
	answered := &attempt{entry: j.lastUpstream, answer: &exchange.Response{Delimited: true}, head: &ResponseHead{Status: 200}}
	r.recordSurvival(j, answered)
	is.True(j.cachedFingerprint == nil && j.cachedFingerprints == nil)
	recordCrashes(r, newContentJob(now, "another"), 1, now)
	r.recordSurvival(j, answered)
	is.Equal(len(j.cachedFingerprints), 2)
}
