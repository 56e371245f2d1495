package upstream

// Result is the outcome of a request at an upstream.
type Result uint8

// Possible values of Result.
const (
	// Succeeded means that a complete answer arrived.
	Succeeded Result = iota
	// Failed means that the upstream failed. A failure counts towards the circuit breaker
	// (which stops requests to the upstream for a while).
	Failed
	// Abandoned means that the caller cancelled; the result shows nothing about the upstream.
	Abandoned
	// Unreachable means that no connection could be established: nothing was sent.
	Unreachable
	// ConnectionRefused means that the connection was refused because no process listens on
	// the port: nothing was sent, and the upstream's machine is reachable.
	ConnectionRefused
	// NoConnection means that no connection to the upstream is free: nothing was sent.
	NoConnection
	// Rejected means that the upstream rejected the request without executing it.
	Rejected
	// Broken means that the connection closed or stalled before the answer was complete.
	// The upstream process may have ended.
	Broken
)

// String returns the name of the result as it appears in the log.
func (r Result) String() string {
	names := [...]string{"succeeded", "failed", "cancelled", "unreachable", "connection-refused", "no-connection", "rejected", "broken"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}
