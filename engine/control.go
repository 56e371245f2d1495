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

// maxControlResponseBytes limits how much is read of a response to a control request.
const maxControlResponseBytes = 64 * contract.KiB

// Load requests the load report of an upstream.
func (c *Client) Load(ctx context.Context, url string) (contract.LoadReport, error) {
	var load contract.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+PathLoad, nil)
	if err != nil {
		return load, err
	}
	raw, err := c.doControl(req)
	if err != nil {
		return load, contract.WrapStep(contract.StepLoad, url, err)
	}
	return load, contract.WrapStep(contract.StepLoad, url, json.Unmarshal(raw, &load))
}

// Order sends an order to an engine. If Order fails, the engine may still have carried out the
// order: Load returns the versions that the engine has loaded.
func (c *Client) Order(ctx context.Context, url string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+PathOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = c.doControl(req)
	return contract.WrapStep(contract.StepOrder, url, err)
}

// Cancel asks an engine to stop working on a request that no client waits for.
// The engine may have finished the request before Cancel arrives, so the success of Cancel does not
// prove that the request did not run.
func (c *Client) Cancel(ctx context.Context, url string, id contract.RequestID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+PathCancel, nil)
	if err != nil {
		return err
	}
	req.Header.Set(HeaderRequestID, string(id))
	_, err = c.doControl(req)
	return contract.WrapStep(contract.StepCancel, url, err)
}

// doControl sends a control request and returns the body of the response. A status
// other than 200 is an error.
func (c *Client) doControl(req *http.Request) ([]byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxControlResponseBytes)))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %.200s", resp.StatusCode, raw)
	}
	return raw, nil
}
