package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// problemTypePrefix is the prefix of each problem type. The kind of the refusal follows the prefix.
const problemTypePrefix = "urn:woaddoor:refusal:"

// problem is the response body of a refusal: an RFC 9457 problem document.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Step    string `json:"step"`
	Request string `json:"request"`
	// RetryAfterMillis is the value of the Retry-After header in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// statusOf maps each kind of refusal to its HTTP status.
var statusOf = map[contract.RefusalKind]int{
	contract.RefusedUnknownKey:          http.StatusUnauthorized,
	contract.RefusedInvalidRequest:      http.StatusBadRequest,
	contract.RefusedRequestTooLarge:     http.StatusRequestEntityTooLarge,
	contract.RefusedVersionNotAllowed:   http.StatusForbidden,
	contract.RefusedVersionWithdrawn:    http.StatusGone,
	contract.RefusedStaleConfiguration:  http.StatusServiceUnavailable,
	contract.RefusedInvalidSession:      http.StatusForbidden,
	contract.RefusedLimitReached:        http.StatusTooManyRequests,
	contract.RefusedNoUpstream:          http.StatusServiceUnavailable,
	contract.RefusedUpstreamFailed:      http.StatusBadGateway,
	contract.RefusedUpstreamsBackedOff:  http.StatusServiceUnavailable,
	contract.RefusedRegionNotAllowed:    http.StatusServiceUnavailable,
	contract.RefusedUpstreamsAtLimit:    http.StatusServiceUnavailable,
	contract.RefusedQuarantined:         http.StatusServiceUnavailable,
	contract.RefusedDeadlinePassed:      http.StatusGatewayTimeout,
	contract.RefusedTicketNeeded:        http.StatusPreconditionRequired,
	contract.RefusedInvalidTicket:       http.StatusForbidden,
	contract.RefusedTicketClaimed:       http.StatusConflict,
	contract.RefusedArbitersUnreachable: http.StatusServiceUnavailable,
	contract.RefusedBillNotStored:       http.StatusServiceUnavailable,
	contract.RefusedStopping:            http.StatusServiceUnavailable,
	contract.RefusedStreamCut:           http.StatusBadGateway,
	contract.RefusedInvalidStreamToken:  http.StatusForbidden,
	contract.RefusedNoMemory:            http.StatusServiceUnavailable,
}

// problemOf returns the problem document for a refusal of request id.
func problemOf(id contract.RequestID, r *contract.Refusal) problem {
	return problem{
		Type: problemTypePrefix + string(r.Kind), Title: string(r.Kind), Status: statusOf[r.Kind],
		Detail: r.Detail, Outcome: r.Outcome.String(), Step: string(r.Step), Request: string(id),
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
}

// writeRefusal counts and logs a refusal and sends it to the caller as a problem document.
func (s *Server) writeRefusal(w http.ResponseWriter, id contract.RequestID, r *contract.Refusal) {
	s.metrics.refusals.Inc(1)
	s.logRefusal(id, r)
	p := problemOf(id, r)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// logRefusal logs a refusal of request id.
func (s *Server) logRefusal(id contract.RequestID, r *contract.Refusal) {
	s.log.Info("refused", zap.String("request", string(id)), zap.String("kind", string(r.Kind)),
		zap.String("outcome", r.Outcome.String()), zap.String("step", string(r.Step)),
		zap.String("peer", r.Peer), zap.String("detail", r.Detail), zap.Duration("retry-after", r.RetryAfter))
}

// newRefusal returns a refusal. The detail is sent to the caller.
func newRefusal(kind contract.RefusalKind, outcome contract.Outcome, step contract.Step, detail string) *contract.Refusal {
	return &contract.Refusal{Kind: kind, Outcome: outcome, Step: step, Detail: detail}
}
