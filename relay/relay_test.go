package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/route"
)

func testRelay() *Relay {
	return New(&Options{
		Log: zap.NewNop(), Now: time.Now, VMs: func() int { return 1 }, Seed: 1,
		Budget: retry.WindowOptions{Ratio: 1, Slack: 100},
	})
}

func testJob(resumable bool) *job {
	now := time.Now()
	r := &route.Route{
		Name: "r", Kind: route.Stream, Resumable: resumable, MaxAttempts: 3, Objective: time.Second,
		Models: []contract.ModelID{"small", "large"},
	}
	return &job{Request: &Request{Route: r, ChooseModel: true, Arrived: now, Deadline: now.Add(time.Minute)}, model: "small"}
}

// TestNoEscalationOfWhatMayNotRepeat checks that a poor answer is given up only
// where the request may run again, where another attempt is left, and before
// the caller has any of it.
func TestNoEscalationOfWhatMayNotRepeat(t *testing.T) {
	poor := &Head{Confidence: 0.1}
	for name, c := range map[string]struct {
		change func(j *job)
		up     bool
	}{
		"may run again":   {func(*job) {}, true},
		"may not":         {func(j *job) { j.Route.Resumable = false }, false},
		"last attempt":    {func(j *job) { j.sends = 2 }, false},
		"begun":           {func(j *job) { j.began = true }, false},
		"largest already": {func(j *job) { j.model = "large" }, false},
		"named by caller": {func(j *job) { j.ChooseModel = false }, false},
		"too late":        {func(j *job) { j.Arrived = j.Arrived.Add(-time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := testJob(true)
			c.change(j)
			is.New(t).Equal(testRelay().escalates(j, poor), c.up)
		})
	}
}

// TestModelFirst checks which model answers first.
func TestModelFirst(t *testing.T) {
	is := is.New(t)
	first := func(j *job, r *Relay) contract.ModelID {
		j.model = ""
		r.locked(func() { r.chooseModel(j) })
		return j.model
	}
	is.Equal(first(testJob(true), testRelay()), contract.ModelID("small"))
	is.Equal(first(testJob(false), testRelay()), contract.ModelID("large")) // it could not be given up
	slow := testRelay()
	j := testJob(false)
	j.model = "large"
	for range paceKnown {
		slow.paced(j, 5*time.Second)
	}
	is.Equal(first(testJob(false), slow), contract.ModelID("small")) // the larger one would be late
}
