// Package relay carries a request through a VM.
// The relay admits the request, chooses the model and the upstream,
// sends the request and checks the answer.
// The relay then delivers or resumes the answer, retries,
// escalates to a larger model, or ends the request.
// The package is independent of the wire protocols: a front end decodes callers' requests
// into Request and encodes the answers, and an UpstreamProtocol does the same for upstreams.
//
// The packages upstream, retry, stream, cascade and rollout make the decisions and do no I/O.
// Package relay passes events to these packages.
package relay

import (
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/memory"
	"woaddoor/prefill"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Request is a request of one caller.
type Request struct {
	ID        contract.RequestID
	Workspace contract.WorkspaceID
	// Regions are the regions to which the workspace restricts its requests;
	// empty means any region.
	Regions []string
	// Priority of the request; 0 is the most urgent.
	Priority int
	Route    *route.Route
	// Revision is the revision of the configuration that contains Route.
	Revision contract.Revision

	Method, URI, Host string
	// Header holds the header fields that are forwarded to upstreams.
	Header http.Header
	Body   []byte
	// Memory accounts for what the request makes the process hold. Nil means that nothing is accounted for.
	Memory *memory.Holder

	Arrived time.Time
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// LastEvent is the ID of the last stream event that the caller has received;
	// nil if the caller has received none.
	LastEvent *int64

	// ChooseModel is set if the router chooses the model.
	ChooseModel bool
	// PromptTokens is the size of the prompt and OutputTokens the largest size of the answer,
	// both in tokens; zero means unknown.
	PromptTokens, OutputTokens int
	// PromptParts are the parts of the prompt in order.
	// The last part belongs to this request alone.
	PromptParts []prefill.Part
	// PartNames are the names of PromptParts, as the caller sent them.
	PartNames []string
	// SharedPromptKey is a key of the part of the prompt
	// that is shared with other requests; zero if no part is shared.
	SharedPromptKey uint64
	// Session is a key shared by all requests of one session;
	// zero if the request belongs to no session.
	Session uint64
}

// ResponseHead is the status and header of an upstream's answer, in decoded form.
type ResponseHead struct {
	Status int
	// Header holds the header fields that are forwarded to the caller.
	Header http.Header
	// Signed is set if the answer carries the upstream's signature.
	// Successful answers without a signature are not forwarded.
	Signed bool
	// NotRun is set if the upstream states that it did not execute the request.
	NotRun bool
	// AddressReused is set if another upstream now uses the address to which the request was sent.
	AddressReused bool
	// Confidence is the confidence that the model reports for its answer,
	// from 0 to 1; negative if the model reports none.
	Confidence float64
	// WeightsVersion is the version of the model weights that produced the answer;
	// empty if the upstream does not report it.
	WeightsVersion string
	// Load is the load that the upstream reports; nil if the upstream reports none.
	Load *Load
	// Notices holds the notices with which the upstream asks senders to back off,
	// to observe a rate limit or to expect its shutdown.
	// NoticeError is the error of a notice that could not be parsed.
	Notices     upstream.Notices
	NoticeError error
}

// Load is the number of running requests, of waiting requests,
// and of slots for concurrent requests at an upstream.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes at the upstream at this moment,
	// in percent of the usual time. Zero means that the upstream did not state it.
	SlowdownPercent int
}

// Caller receives the answer to a request.
// An error of any method of Caller means that the caller has disconnected.
type Caller interface {
	// SendResponse delivers a complete answer.
	SendResponse(h *ResponseHead, body []byte) error
	// BeginStream delivers the head of a stream,
	// SendEvents delivers complete events, and EndStream ends the stream.
	BeginStream(h *ResponseHead) error
	SendEvents(events []byte) error
	EndStream() error
}

// RequestEnd is the way in which a request ended.
type RequestEnd uint8

// Ways in which a request ends.
const (
	// Delivered means that the caller has received a complete answer.
	Delivered RequestEnd = iota
	// Refused means that the request was refused; the refusal has yet to be sent to the caller.
	Refused
	// StreamCut means that a stream was started but cannot be completed.
	// The connection must be broken, so that the stream does not look complete.
	StreamCut
	// CallerGone means that the caller has disconnected.
	CallerGone
)
