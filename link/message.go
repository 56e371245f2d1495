// Package link carries typed messages between the processes of woaddoor, over
// QUIC with mutual TLS and pinned keys.
//
// A call uses one QUIC stream: the caller writes the request and closes its side of the stream,
// and the peer writes the response and closes its side. A failed stream affects only its own call.
// A request can be lost, a response can be lost after the request was handled,
// and a request can arrive late. The documentation of each message type explains why these faults
// are harmless.
package link

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"woaddoor/contract"
)

// Kind is the type of a message. Its numeric values are part of the wire protocol.
type Kind uint8

// The kinds of messages.
const (
	// KindPullConfig requests the newest configuration from a control process.
	KindPullConfig Kind = iota + 1
	// KindHeartbeat sends a control process the list of live VMs.
	KindHeartbeat
	// KindTicketVote requests a vote on a ticket from an entry process.
	KindTicketVote
	// KindCopyBills asks an entry process to store copies of bill records.
	KindCopyBills
	// KindFileBills asks a control process to write bill records to the platform.
	KindFileBills
	// KindBillsFiled notifies an entry process that bill records have been written to the platform.
	// The entry process can then delete its copies of the records.
	KindBillsFiled
	// KindTicketSettled notifies an entry process of the outcome of a ticket.
	KindTicketSettled
	// KindGossip is the periodic gossip message: it sends a VM the list of live VMs and
	// the newest revisions that the sender knows.
	KindGossip
	// KindObjectChanges requests from a VM the objects that changed after a revision.
	KindObjectChanges
	// KindUpstreamReport sends a VM the prompts that the sender has sent to upstreams,
	// and what the sender has learned about these upstreams.
	KindUpstreamReport
	// KindUsageReport sends the lease holder the usage that the sender has aggregated.
	KindUsageReport
	// KindReach asks a VM whether it reaches the upstreams of a service.
	KindReach
	// KindForward is the kind of streams with which a VM that reaches no upstream of a service passes
	// a request to another VM. A lost message ends the stream; package forward states what the VMs
	// then know of the request.
	KindForward
)

// kindNames maps each kind to its label in metrics.
var kindNames = map[Kind]string{
	KindPullConfig: "pull", KindHeartbeat: "heartbeat", KindTicketVote: "vote", KindCopyBills: "keep", KindFileBills: "file", KindBillsFiled: "filed",
	KindTicketSettled: "settled", KindGossip: "word", KindObjectChanges: "changes", KindUpstreamReport: "reads", KindUsageReport: "usage",
	KindReach: "reach", KindForward: "forward",
}

// String returns the label of the kind in metrics.
func (k Kind) String() string { return kindNames[k] }

// maxFrame bounds an encoded message. The largest message carries a complete configuration.
const maxFrame = 2 * contract.MiB

// requestFrame is the wire format of a request.
type requestFrame struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// responseFrame is the wire format of a response. Error is empty on success.
type responseFrame struct {
	Body  cbor.RawMessage `cbor:"1,keyasint"`
	Error string          `cbor:"2,keyasint,omitempty"`
}

// RemoteError is an error that the peer returned in its response.
type RemoteError struct{ Text string }

// Error returns the error text of the peer.
func (e *RemoteError) Error() string { return "peer returned an error: " + e.Text }

// decMode bounds the nesting and the sizes of decoded messages, which are untrusted.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant, so an invalid one fails every start
	}
	return mode
}

// Decode decodes a message from untrusted CBOR bytes.
func Decode(raw []byte, into any) error { return decMode.Unmarshal(raw, into) }

// Encode encodes a message as CBOR.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// readFrame reads r to its end and decodes the bytes, of which there may be at most
// maxFrame.
func readFrame(r io.Reader, into any) error {
	raw, err := io.ReadAll(io.LimitReader(r, int64(maxFrame)+1))
	if err != nil {
		return err
	}
	if contract.Bytes(len(raw)) > maxFrame {
		return fmt.Errorf("frame is larger than the limit of %d bytes", maxFrame)
	}
	return Decode(raw, into)
}
