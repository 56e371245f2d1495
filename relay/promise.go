package relay

import (
	"errors"
	"fmt"
	"net/http"

	"woaddoor/contract"
)

// promisesNotRun reports whether callers take the status of an answer for the promise that the request has not run and
// never will. This promise is given only by a refusal, from what is known of the attempts: an upstream that means it
// states it apart from the status (see ResponseHead.NotRun).
func (h *ResponseHead) promisesNotRun() bool {
	switch h.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isFailure reports whether an upstream has run the request and answers that it failed.
func (h *ResponseHead) isFailure() bool {
	return h.Status >= http.StatusInternalServerError || h.promisesNotRun()
}

// errUnprovenPromise means that an answer would promise that a request has not run, which is not known.
var errUnprovenPromise = errors.New("status of the answer promises that the request has not run")

// refuseUnprovenPromise refuses a request in place of an answer of an upstream whose status would promise that the
// request has not run.
func refuseUnprovenPromise(j *job, h *ResponseHead) *contract.Refusal {
	return &contract.Refusal{
		Kind: contract.RefusedUpstreamFailed, Outcome: j.outcome(), Step: contract.StepAnswer, Peer: string(j.lastUpstream.ID),
		Detail: fmt.Sprintf("upstream answered with status %d and did not state that it has not run the request", h.Status),
	}
}
