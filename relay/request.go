// Package relay is the path of a request through a VM: it admits, chooses the
// model and the upstream, sends, judges the answer, and delivers, resumes,
// retries, escalates or ends. It knows no protocol's names: a front decodes
// callers' requests into Request and encodes what comes back, and a Dialect
// does the same towards upstreams.
//
// The decisions are made by the pure packages upstream, retry, stream, cascade
// and rollout; this one feeds them with what happens.
package relay

import (
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/reading"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Request is one caller's request.
type Request struct {
	ID        contract.RequestID
	Workspace contract.WorkspaceID
	// Regions are those in which the workspace allows its requests to be; empty for all.
	Regions []string
	// Priority is its rank; 0 is the most urgent.
	Priority int
	Route    *route.Route
	// Revision is that of the configuration that Route is from.
	Revision contract.Revision

	Method, URI, Host string
	// Header holds what is passed on to upstreams.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Deadline is when the answer is no longer wanted, or the route's timeout
	// if that comes first.
	Deadline time.Time
	// LastEvent is the id of the last event that the caller has of a stream,
	// if it has any.
	LastEvent *int64

	// ChooseModel tells whether the router names the model.
	ChooseModel bool
	// PromptTokens and OutputTokens are the size of the prompt and the most
	// that may come out; zero when unknown.
	PromptTokens, OutputTokens int
	// Parts are those of the prompt, in order; the last one is the request's own.
	Parts []reading.Part
	// Subject keys the part of the prompt that other requests share; zero for
	// none.
	Subject uint64
	// Session keys the requests that belong together; zero for none.
	Session uint64
}

// Head is the head of an answer.
type Head struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// Sealed tells whether the answer carries the upstream's signature, without
	// which no success is passed on.
	Sealed bool
	// NotRun tells whether the upstream says that it did not run the request.
	NotRun bool
	// Moved tells whether another upstream has the address.
	Moved bool
	// Confidence is the model's own opinion of its answer, 0 to 1; negative
	// when it tells none.
	Confidence float64
	// Weights is the version of the weights that made the answer; empty when
	// the upstream does not tell.
	Weights string
	// Load is what the upstream tells of itself, if it does.
	Load *Load
	// Said is what it asks of those that send to it, and Unread why a part of that could
	// not be understood.
	Said   upstream.Said
	Unread error
}

// Load is what an upstream has to do.
type Load struct{ Running, Waiting, Slots int }

// Caller is where the answer goes. An error of any of its methods means that
// the caller is gone.
type Caller interface {
	// Whole gives a whole answer.
	Whole(h *Head, body []byte) error
	// Begin gives the head of a stream, Pass whole events of it, and End its
	// end.
	Begin(h *Head) error
	Pass(events []byte) error
	End() error
}

// End says how a request ended.
type End uint8

// The ends.
const (
	// Delivered means that the caller has a whole answer.
	Delivered End = iota
	// Refused means that the caller is owed a refusal.
	Refused
	// Cut means that a stream that had begun cannot be finished: its
	// connection has to be broken, so that it does not look whole.
	Cut
	// Gone means that the caller left.
	Gone
)
