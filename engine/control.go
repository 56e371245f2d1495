package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"woaddoor/contract"
)

// maxReport bounds an engine's report.
const maxReport = 64 * contract.KiB

// Load asks an upstream for its report.
func (c *Client) Load(ctx context.Context, url string) (contract.Load, error) {
	var l contract.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+PathLoad, nil)
	if err != nil {
		return l, err
	}
	raw, err := c.ask(req)
	if err != nil {
		return l, contract.Fail(contract.StepLoad, url, err)
	}
	return l, contract.Fail(contract.StepLoad, url, json.Unmarshal(raw, &l))
}

// Order gives an order to an engine. When it fails, the engine may still have
// acted: what it holds is read with Load.
func (c *Client) Order(ctx context.Context, url string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+PathOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = c.ask(req)
	return contract.Fail(contract.StepOrder, url, err)
}

// Cancel tells an engine that nobody waits for a request any more. It may lose
// its race with the answer, so it proves nothing.
func (c *Client) Cancel(ctx context.Context, url string, id contract.RequestID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+PathCancel, nil)
	if err != nil {
		return err
	}
	req.Header.Set(HeaderRequest, string(id))
	_, err = c.ask(req)
	return contract.Fail(contract.StepCancel, url, err)
}

func (c *Client) ask(req *http.Request) ([]byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxReport)))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %.200s", resp.StatusCode, raw)
	}
	return raw, nil
}
