package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/relay"
)

// testHelper is a VM that answers offers as the function serve does.
type testHelper struct {
	endpoint *link.Endpoint
	requests chan relay.ForwardedRequest // requests that have arrived
}

func newTestEndpoint(t *testing.T, name string) *link.Endpoint {
	t.Helper()
	is := is.New(t)
	identity, err := keys.NewAddressIdentity(name, func(string) bool { return true })
	is.NoErr(err)
	e, err := link.Listen("127.0.0.1:0", identity)
	is.NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// newTestHelper starts a VM that reaches every service. It answers each offer with the admission, if
// there is one, and a request with the parts.
func newTestHelper(t *testing.T, name string, admission *Admission, parts ...Part) *testHelper {
	t.Helper()
	h := &testHelper{endpoint: newTestEndpoint(t, name), requests: make(chan relay.ForwardedRequest, 8)}
	link.Handle(h.endpoint, link.KindReach, func(context.Context, string, ReachQuery) (ReachAnswer, error) {
		return ReachAnswer{Reaches: true}, nil
	})
	link.HandleStream(h.endpoint, link.KindForward, func(ctx context.Context, _ string, s *link.Stream) {
		var o Offer
		if s.Receive(&o, time.Second) != nil || admission == nil {
			<-ctx.Done()
			return
		}
		if s.Send(admission) != nil || !admission.Accepted {
			return
		}
		var f relay.ForwardedRequest
		if s.Receive(&f, time.Second) != nil {
			return
		}
		h.requests <- f
		for _, p := range parts {
			_ = s.Send(p)
		}
		<-ctx.Done() // silent from here on
	})
	go func() { _ = h.endpoint.Serve(t.Context()) }()
	return h
}

// testReceiver collects an answer.
type testReceiver struct{ got string }

func (r *testReceiver) ReceiveAnswer(_ *relay.ResponseHead, body []byte) error {
	r.got += "answer " + string(body)
	return nil
}

func (r *testReceiver) ReceiveHead(*relay.ResponseHead) error { r.got += "head "; return nil }

func (r *testReceiver) ReceiveEvents(events []byte) error { r.got += string(events); return nil }

// TestForwardOutcomes checks what a forwarding VM concludes from the behaviour of two helpers, of
// which the first is nearer: a request counts as not run exactly if no helper has got it.
func TestForwardOutcomes(t *testing.T) {
	accepts := &Admission{Accepted: true}
	ended := Part{End: &End{RequestEnd: relay.Delivered, Outcome: contract.OutcomeRan, Sends: 1}}
	whole := Part{Head: &Head{Status: 200}, Whole: true, Body: []byte("b")}
	for name, c := range map[string]struct {
		first       *Admission
		firstParts  []Part
		second      *Admission
		secondParts []Part
		end         relay.ForwardEnd
		got         string
		sent        [2]int // requests that each helper has got
	}{
		"the nearest answers":          {accepts, []Part{whole, ended}, accepts, []Part{whole, ended}, relay.ForwardEnded, "answer b", [2]int{1, 0}},
		"a stream":                     {accepts, []Part{{Head: &Head{Status: 200}}, {}, {Events: []byte("e")}, ended}, nil, nil, relay.ForwardEnded, "head e", [2]int{1, 0}},
		"the nearest declines":         {&Admission{Why: Full}, nil, accepts, []Part{whole, ended}, relay.ForwardEnded, "answer b", [2]int{0, 1}},
		"the nearest answers no offer": {nil, nil, accepts, []Part{whole, ended}, relay.ForwardEnded, "answer b", [2]int{0, 1}},
		"both decline":                 {&Admission{Why: Stopping}, nil, &Admission{Why: NoPath}, nil, relay.ForwardNotTaken, "", [2]int{0, 0}},
		"silent after the request":     {accepts, nil, accepts, []Part{whole, ended}, relay.ForwardLost, "", [2]int{1, 0}},
		"silent within the answer":     {accepts, []Part{{Head: &Head{Status: 200}}}, accepts, []Part{whole, ended}, relay.ForwardLost, "head ", [2]int{1, 0}},
		"abandoned by the helper":      {accepts, []Part{{End: &End{RequestEnd: relay.CallerGone}}}, accepts, []Part{whole, ended}, relay.ForwardLost, "", [2]int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first, second := newTestHelper(t, "h1", c.first, c.firstParts...), newTestHelper(t, "h2", c.second, c.secondParts...)
			client := NewClient(&ClientOptions{
				Endpoint: newTestEndpoint(t, "c"), Log: zap.NewNop(), Now: time.Now,
				Candidates: func() []Candidate {
					return []Candidate{{VM: "h1", Address: first.endpoint.Address(), DataCentre: "d"}, {VM: "h2", Address: second.endpoint.Address(), DataCentre: "e", Distance: 1}}
				},
			})
			client.Ask(t.Context(), "s")
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) { // until both have answered
				client.helpers.mu.Lock()
				known := len(client.helpers.service("s").helpers)
				client.helpers.mu.Unlock()
				if known == 2 {
					break
				}
			}
			to := &testReceiver{}
			result := client.Forward(t.Context(), &relay.ForwardedRequest{ID: "x", Service: "s", Body: []byte("body")}, anywhere, to)
			is.Equal(result.End, c.end)
			is.Equal(to.got, c.got)
			is.Equal([2]int{len(first.requests), len(second.requests)}, c.sent)
			if c.end == relay.ForwardLost {
				is.True(result.Err != nil)
			}
		})
	}
}
