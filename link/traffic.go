package link

import "sync/atomic"

// maxKinds is one more than the highest Kind that is counted.
const maxKinds = 32

// traffic counts the messages that an endpoint has sent, by the location of the peer and the kind
// of message. traffic also counts the bytes that the endpoint has received.
type traffic struct {
	messages      [2][maxKinds]atomic.Int64
	bytes         [2][maxKinds]atomic.Int64
	receivedBytes atomic.Int64 // message bodies only
	dials         atomic.Int64
}

// countSent counts one message sent to the peer at address.
func (e *Endpoint) countSent(address string, kind Kind, bytes int) {
	location := sameDataCentre
	if e.InOtherDataCentre != nil && e.InOtherDataCentre(address) {
		location = otherDataCentre
	}
	if int(kind) < maxKinds {
		e.traffic.messages[location][kind].Add(1)
		e.traffic.bytes[location][kind].Add(int64(bytes))
	}
}

// The locations of a peer relative to this endpoint, as indexes of the counters in traffic.
const (
	sameDataCentre = iota
	otherDataCentre
)

// SentCount is the number of messages of one kind, requests and responses together,
// that an endpoint has sent, and their total size in bytes before encryption.
// The messages went to peers in the endpoint's own data centre or, if OtherDataCentre is set,
// to peers in other data centres.
type SentCount struct {
	Kind            Kind
	OtherDataCentre bool
	Messages, Bytes int64
}

// SentCounts returns the counts of the messages that the endpoint has sent so far.
// Kinds of messages that were never sent are omitted.
func (e *Endpoint) SentCounts() []SentCount {
	var counts []SentCount
	for kind := range maxKinds {
		for location := range e.traffic.messages {
			if n := e.traffic.messages[location][kind].Load(); n > 0 {
				counts = append(counts, SentCount{Kind(kind), location == otherDataCentre, n, e.traffic.bytes[location][kind].Load()})
			}
		}
	}
	return counts
}

// TrafficBytes returns the numbers of bytes sent and received so far.
func (e *Endpoint) TrafficBytes() (sent, received int64) {
	for _, s := range e.SentCounts() {
		sent += s.Bytes
	}
	return sent, e.traffic.receivedBytes.Load()
}

// DialCount returns the number of connections that this endpoint has opened so far.
func (e *Endpoint) DialCount() int64 { return e.traffic.dials.Load() }
