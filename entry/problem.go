package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// problemBase begins the type of each problem; the kind follows.
const problemBase = "urn:woaddoor:refusal:"

// problem is the body of a refusal, as RFC 9457 has it.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Step    string `json:"step"`
	Request string `json:"request"`
	// RetryAfterMillis is the Retry-After header, finer.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// statusOf gives the HTTP status of each kind of refusal.
var statusOf = map[contract.RefusalKind]int{
	contract.RefusedKey:             http.StatusUnauthorized,
	contract.RefusedRequest:         http.StatusBadRequest,
	contract.RefusedTooLarge:        http.StatusRequestEntityTooLarge,
	contract.RefusedNotAllowed:      http.StatusForbidden,
	contract.RefusedWithdrawn:       http.StatusGone,
	contract.RefusedNoWord:          http.StatusServiceUnavailable,
	contract.RefusedSession:         http.StatusForbidden,
	contract.RefusedLimit:           http.StatusTooManyRequests,
	contract.RefusedNoUpstream:      http.StatusServiceUnavailable,
	contract.RefusedUpstream:        http.StatusBadGateway,
	contract.RefusedResting:         http.StatusServiceUnavailable,
	contract.RefusedRegion:          http.StatusServiceUnavailable,
	contract.RefusedAtLimit:         http.StatusServiceUnavailable,
	contract.RefusedHeld:            http.StatusServiceUnavailable,
	contract.RefusedDeadline:        http.StatusGatewayTimeout,
	contract.RefusedTicketNeeded:    http.StatusPreconditionRequired,
	contract.RefusedTicket:          http.StatusForbidden,
	contract.RefusedClaimed:         http.StatusConflict,
	contract.RefusedArbiters:        http.StatusServiceUnavailable,
	contract.RefusedBill:            http.StatusServiceUnavailable,
	contract.RefusedStopping:        http.StatusServiceUnavailable,
	contract.RefusedStreamCut:       http.StatusBadGateway,
	contract.RefusedStreamForbidden: http.StatusForbidden,
}

func problemOf(id contract.RequestID, f *contract.Refusal) problem {
	return problem{
		Type: problemBase + string(f.Kind), Title: string(f.Kind), Status: statusOf[f.Kind],
		Detail: f.Detail, Outcome: f.Outcome.String(), Step: string(f.Step), Request: string(id),
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}
}

// refuse gives a request its final answer.
func (s *Server) refuse(w http.ResponseWriter, id contract.RequestID, f *contract.Refusal) {
	s.metrics.refusals.Inc(1)
	s.logRefusal(id, f)
	p := problemOf(id, f)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *Server) logRefusal(id contract.RequestID, f *contract.Refusal) {
	s.log.Info("refused", zap.String("request", string(id)), zap.String("kind", string(f.Kind)),
		zap.String("outcome", f.Outcome.String()), zap.String("step", string(f.Step)),
		zap.String("peer", f.Peer), zap.String("detail", f.Detail), zap.Duration("retry-after", f.RetryAfter))
}

func refusal(kind contract.RefusalKind, o contract.Outcome, step contract.Step, detail string) *contract.Refusal {
	return &contract.Refusal{Kind: kind, Outcome: o, Step: step, Detail: detail}
}
