// Package link carries typed messages between the system's processes, over
// QUIC with mutual TLS by pinned keys.
//
// A call is one stream: the request, its end, the answer, its end. A stream
// that is lost costs only its own call. A call may be lost, or run and its
// answer lost, or arrive late; each message's type says why that is harmless.
package link

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"woaddoor/contract"
)

// Kind says what a message is. The numbers are part of the protocol.
type Kind uint8

// The kinds of calls.
const (
	// KindPull asks a control process for the newest configuration.
	KindPull Kind = iota + 1
	// KindHeartbeat tells a control process who lives.
	KindHeartbeat
	// KindVote asks an entry process for its vote on a ticket.
	KindVote
	// KindKeep asks an entry process to hold copies of bill records.
	KindKeep
	// KindFile asks a control process to file bill records.
	KindFile
	// KindFiled tells an entry process that records are filed.
	KindFiled
	// KindSettled asks an entry process what became of a ticket.
	KindSettled
	// KindWord tells a VM who lives and up to which revision the teller knows.
	KindWord
	// KindChanges asks a VM for the objects changed after a revision.
	KindChanges
	// KindReads tells a VM which prompts the teller has sent to upstreams.
	KindReads
	// KindUsage tells the VM that acts for all what the teller has gathered of usage.
	KindUsage
)

// kindNames are the names of the kinds, for metrics.
var kindNames = map[Kind]string{
	KindPull: "pull", KindHeartbeat: "heartbeat", KindVote: "vote", KindKeep: "keep", KindFile: "file", KindFiled: "filed",
	KindSettled: "settled", KindWord: "word", KindChanges: "changes", KindReads: "reads", KindUsage: "usage",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// maxFrame bounds a message: a whole configuration and what goes round it.
const maxFrame = 2 * contract.MiB

// envelope is the form of a request on the wire.
type envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// answer is the form of an answer on the wire.
type answer struct {
	Body  cbor.RawMessage `cbor:"1,keyasint"`
	Error string          `cbor:"2,keyasint,omitempty"`
}

// RemoteError is an error that the peer answered with.
type RemoteError struct{ Text string }

// Error returns the peer's words.
func (e *RemoteError) Error() string { return "peer answered: " + e.Text }

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant: a fault shows at the first start
	}
	return mode
}

// Decode reads a message of untrusted bytes.
func Decode(raw []byte, into any) error { return decoding.Unmarshal(raw, into) }

// Encode writes a message.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

func readFrame(r io.Reader, into any) error {
	raw, err := io.ReadAll(io.LimitReader(r, int64(maxFrame)+1))
	if err != nil {
		return err
	}
	if contract.Bytes(len(raw)) > maxFrame {
		return fmt.Errorf("frame of more than %d bytes", maxFrame)
	}
	return Decode(raw, into)
}
