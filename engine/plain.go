package engine

import (
	"context"
	"errors"
	"io"

	"woaddoor/contract"
)

// PlainAnswer is the whole answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Plain sends a call to a plain service and returns its whole answer. A
// service need not give the request id back; when it does, it has to fit.
func (c *Client) Plain(ctx context.Context, call Call, method, path string) (*PlainAnswer, error) {
	call.AnyStatus = true
	x, failed := c.send(ctx, call, method, path)
	if failed != nil {
		return nil, failed
	}
	defer x.close()
	fail := func(err error) error {
		return &CallError{Outcome: contract.Ran, Err: contract.Fail(contract.StepAnswer, string(call.Upstream), err)}
	}
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return nil, fail(errors.Join(ErrTruncated, err))
	}
	if contract.Bytes(len(body)) > maxAnswer {
		return nil, fail(ErrTooLarge)
	}
	return &PlainAnswer{Status: x.resp.StatusCode, ContentType: x.resp.Header.Get("Content-Type"), Body: body}, nil
}
