package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// Engines of the replays below. A disturbed engine is slowed down by other work on its machine
// for one period out of disturbedOneIn.
const (
	fastPace, slowPace   = 0.55, 1.2
	disturbedFactor      = 2.5
	disturbancePeriod    = 600 * time.Millisecond
	disturbedOneIn       = 7
	replayEventTokens    = 8
	replayStreamDuration = 3 * time.Second
)

// unevenEngine is an engine with a pace of its own, whose running streams wait for prefills.
type unevenEngine struct {
	basePace         float64
	busyFrom, freeAt time.Time
	number           int
	streams          []*replayStream
	// undisturbed means that nothing else runs on the engine's machine.
	undisturbed bool
}

// replayStream is a stream that runs at an engine.
type replayStream struct {
	begin, end time.Time
	target     time.Duration
	late       bool
}

// pace returns how long work takes at the engine at a time.
func (e *unevenEngine) pace(now time.Time) float64 {
	period := now.UnixNano() / int64(disturbancePeriod)
	if !e.undisturbed && (uint64(period)*2654435761+uint64(e.number)*40503)%disturbedOneIn == 0 {
		return e.basePace * disturbedFactor
	}
	return e.basePace
}

// recordPauses marks the streams that a prefill until freeAt makes wait for longer than their target.
func (e *unevenEngine) recordPauses(now time.Time) {
	longest := time.Duration(replayEventTokens * prefillChunkTokens * replayLargeTokenSeconds * e.basePace * float64(time.Second))
	if e.pace(now) > e.basePace {
		longest += disturbancePeriod * 3 / 5 // the work of a period then takes 2.5 periods
	}
	running := e.streams[:0]
	for _, s := range e.streams {
		from := s.begin
		if e.busyFrom.After(from) {
			from = e.busyFrom
		}
		if min(e.freeAt.Sub(from), longest) > s.target {
			s.late = true
		}
		if s.end.After(now) {
			running = append(running, s)
		}
	}
	e.streams = running
}

// prefill lets the engine prefill a prompt and returns when the answer begins.
func (e *unevenEngine) prefill(p prefill.Prompt, now time.Time) time.Time {
	if e.freeAt.Before(now) {
		e.busyFrom, e.freeAt = now, now
	}
	token := replaySmallTokenSeconds
	if p.Model == "large" {
		token = replayLargeTokenSeconds
	}
	e.freeAt = e.freeAt.Add(time.Duration(token * float64(p.Tokens) * e.pace(now) * float64(time.Second)))
	e.recordPauses(now)
	return e.freeAt.Add(prefill.BaseLatency)
}

// unevenReplay is a replay with engines of different paces.
type unevenReplay struct {
	*replay
	uneven     map[contract.UpstreamID]*unevenEngine
	loseGossip bool
	streams    []*replayStream
}

// newUnevenReplay returns a replay in which every fourth engine is fast. Engines cache nothing.
func newUnevenReplay(t *testing.T, vms, engines int, disabled ...string) *unevenReplay {
	r := &unevenReplay{replay: newReplay(t, vms, engines, append(disabled, "kept")...), uneven: make(map[contract.UpstreamID]*unevenEngine)}
	for i := range engines {
		e := &unevenEngine{basePace: slowPace, number: i}
		if i%4 == 0 {
			e.basePace = fastPace
		}
		r.uneven[contract.UpstreamID(fmt.Sprintf("e%02d", i))] = e
	}
	for _, tb := range r.vms {
		for _, s := range tb.sortedStates {
			s.eventTokens = replayEventTokens
		}
	}
	return r
}

// play sends the requests, each as a stream with a target for its pauses.
func (r *unevenReplay) play(requests []replayRequest, target time.Duration) {
	for _, q := range requests {
		r.schedule(q.arrival, func() { r.sendStream(q, target) })
	}
	r.run([]replayRequest{})
}

// sendStream sends one request from a random VM.
func (r *unevenReplay) sendStream(q replayRequest, target time.Duration) {
	sender := r.random.IntN(len(r.vms))
	tb := r.vms[sender]
	tb.CompareUpstreams("d", r.now)
	tb.RecordPrompt(q.objective, 1, len(r.vms), r.now)
	w := Work{Prompt: q.prompt, Objective: q.objective, PauseTarget: target}
	id, err := tb.Pick(Query{Kind: config.EnginePool, DataCentre: "d", Prefix: q.prompt.Parts[0].Key, Work: w}, r.now, r.random)
	if err != nil {
		r.t.Fatal(err)
	}
	tb.RecordSent(id)
	expected, queueID := tb.RecordExpected(id, w, "d", r.now)
	for i, other := range r.vms {
		if i == sender || r.loseGossip {
			continue
		}
		token, pace := tb.PrefillTokenTime(q.prompt.Model), tb.BasePace(id)
		r.schedule(replayGossipDelay, func() {
			other.RecordPeerPace(id, pace)
			other.RecordPeerPrompt(id, q.prompt, expected.Prefill, token, r.now)
		})
	}
	sent, engine := r.now, r.uneven[id]
	begin := engine.prefill(q.prompt, r.now)
	stream := &replayStream{begin: begin, end: begin.Add(replayStreamDuration), target: target}
	r.streams = append(r.streams, stream)
	r.schedule(begin.Sub(r.now), func() {
		engine.streams = append(engine.streams, stream)
		engine.recordPauses(r.now)
		took := r.now.Sub(sent)
		tb.RecordAnswerBegin(id, queueID, w, expected, took, r.now)
		tb.RecordAnswerLoad(id, len(engine.streams), 0, r.now)
		tb.RecordStatedPace(id, int(100*engine.pace(r.now)), r.now)
		r.total[q.kind]++
		if took > q.objective {
			r.late[q.kind]++
		}
	})
	r.schedule(begin.Add(replayStreamDuration).Sub(r.now), func() { tb.RecordDone(id, Succeeded, 0, r.now) })
}

// latePauses returns the fraction of all streams that waited for longer than their target.
func (r *unevenReplay) latePauses() float64 {
	late := 0
	for _, s := range r.streams {
		if s.late {
			late++
		}
	}
	return float64(late) / float64(max(len(r.streams), 1))
}

// playReviews plays long prompts whose objective only an engine without a queue can reach.
func playReviews(t *testing.T, loseGossip bool, disabled ...string) *unevenReplay {
	r := newUnevenReplay(t, 6, 16, append(disabled, "stream-pauses")...)
	r.loseGossip = loseGossip
	for _, e := range r.uneven {
		e.undisturbed = true
	}
	r.play(r.steady("review", 0, 30*time.Second, 4, "large", 50, 5000, 7000, 1100*time.Millisecond), 0)
	return r
}

// TestReplayUnevenEngines guards against one prefill rate for engines that differ by a factor of
// two: prompts then queue at the slow engines while the fast ones are idle.
func TestReplayUnevenEngines(t *testing.T) {
	is := is.New(t)
	without, with := playReviews(t, false, "upstream-pace"), playReviews(t, false)
	t.Logf("late: %.3f without the pace, %.3f with", without.lateFraction("review"), with.lateFraction("review"))
	is.True(with.lateFraction("review") < 0.6*without.lateFraction("review"))
}

// TestReplayLostPaceReports guards against a pace that is of use only with the reports of other
// VMs: without any report, a VM still learns the paces from its own answers, and VMs that all see
// the same fast engines do not make more prompts late there than without the pace.
func TestReplayLostPaceReports(t *testing.T) {
	is := is.New(t)
	without, with := playReviews(t, true, "upstream-pace"), playReviews(t, true)
	t.Logf("late: %.3f without the pace, %.3f with", without.lateFraction("review"), with.lateFraction("review"))
	is.True(with.lateFraction("review") <= without.lateFraction("review"))
}

// TestReplayLongPromptsBesideStreams guards against long prompts that are prefilled at slow
// engines beside running streams, whose events they delay beyond the target.
func TestReplayLongPromptsBesideStreams(t *testing.T) {
	is := is.New(t)
	play := func(disabled ...string) *unevenReplay {
		r := newUnevenReplay(t, 6, 16, disabled...)
		load := r.steady("answer", 0, 30*time.Second, 30, "small", 80, 300, 600, 3*time.Second)
		load = append(load, r.steady("review", 0, 30*time.Second, 7, "large", 50, 5000, 7000, 8*time.Second)...)
		r.play(load, 1200*time.Millisecond)
		return r
	}
	without, with := play("stream-pauses"), play()
	t.Logf("streams paused for too long: %.3f without the cost of pauses, %.3f with; late reviews %.3f, %.3f",
		without.latePauses(), with.latePauses(), without.lateFraction("review"), with.lateFraction("review"))
	is.True(with.latePauses() < 0.5*without.latePauses())
	is.True(with.lateFraction("review") <= without.lateFraction("review")+0.02)
}
