package engine

import (
	"context"

	"woaddoor/contract"
)

// PlainResponse is the complete response of a plain HTTP service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallPlain sends a call to a plain HTTP service and returns the complete response of the service,
// whatever the status of the response. A plain HTTP service need not echo the request id,
// but an echoed id must match the id of the request.
func (c *Client) CallPlain(ctx context.Context, call Call, method, path string) (*PlainResponse, error) {
	call.AcceptAnyStatus = true
	open, callErr := c.send(ctx, call, method, path)
	if callErr != nil {
		return nil, callErr
	}
	defer open.close()
	fail := func(err error) error {
		return &CallError{Outcome: contract.OutcomeRan, Err: contract.WrapStep(contract.StepAnswer, string(call.Upstream), err)}
	}
	body, err := readResponse(ctx, open.resp)
	if err != nil {
		return nil, fail(err)
	}
	return &PlainResponse{Status: open.resp.StatusCode, ContentType: open.resp.Header.Get("Content-Type"), Body: body}, nil
}
