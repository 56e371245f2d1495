package link

import "sync/atomic"

// kinds bounds the numbers of kinds that are counted.
const kinds = 32

// traffic counts what an endpoint has sent, by kind of message, to peers that are
// near and to those that are far.
type traffic struct {
	messages [2][kinds]atomic.Int64
	bytes    [2][kinds]atomic.Int64
	received atomic.Int64 // bytes of the bodies of messages
	dialed   atomic.Int64
}

func (e *Endpoint) sent(address string, k Kind, bytes int) {
	to := near
	if e.Far != nil && e.Far(address) {
		to = far
	}
	if int(k) < kinds {
		e.traffic.messages[to][k].Add(1)
		e.traffic.bytes[to][k].Add(int64(bytes))
	}
}

// Places of counters.
const (
	near = iota
	far
)

// Sent is how many messages of a kind an endpoint has sent to peers that are near,
// or to those that are far, questions and answers together, and how many bytes they
// had before encryption.
type Sent struct {
	Kind            Kind
	Far             bool
	Messages, Bytes int64
}

// Sent returns what the endpoint has sent so far, kinds without any left out.
func (e *Endpoint) Sent() []Sent {
	var out []Sent
	for k := range kinds {
		for to := range e.traffic.messages {
			if n := e.traffic.messages[to][k].Load(); n > 0 {
				out = append(out, Sent{Kind(k), to == far, n, e.traffic.bytes[to][k].Load()})
			}
		}
	}
	return out
}

// Traffic returns the bytes of messages sent and received so far.
func (e *Endpoint) Traffic() (sent, received int64) {
	for _, s := range e.Sent() {
		sent += s.Bytes
	}
	return sent, e.traffic.received.Load()
}

// Dialed returns how many links this endpoint has opened so far.
func (e *Endpoint) Dialed() int64 { return e.traffic.dialed.Load() }
