// Package rating is a client for the platform's rating service, which rates the quality of answers.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"woaddoor/contract"
)

// Path is the URL path of the service's only endpoint.
const Path = "/rate"

// GoodScore is the minimum score of a good answer.
const GoodScore = 0.5

// Answer is the request body: the answer to be rated.
type Answer struct {
	Request   contract.RequestID   `json:"request"`
	Workspace contract.WorkspaceID `json:"workspace"`
	Version   contract.VersionID   `json:"version"`
	Text      string               `json:"text"`
}

// Rating is the response of the service.
type Rating struct {
	// Score ranges from 0 (bad) to 1 (good).
	Score float64 `json:"score"`
}

// maxResponseBytes bounds the size of a response.
const maxResponseBytes = 4 * contract.KiB

// Client calls the rating service. It does not retry: a failed call only costs one rating.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{http: &http.Client{}} }

// Rate asks the service at url to rate an answer.
func (c *Client) Rate(ctx context.Context, url string, a Answer) (Rating, error) {
	var rating Rating
	body, err := json.Marshal(a)
	if err != nil {
		return rating, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+Path, bytes.NewReader(body))
	if err != nil {
		return rating, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return rating, contract.WrapStep(contract.StepRate, url, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxResponseBytes)))
	if err != nil {
		return rating, contract.WrapStep(contract.StepRate, url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return rating, contract.WrapStep(contract.StepRate, url, fmt.Errorf("status %d", resp.StatusCode))
	}
	return rating, contract.WrapStep(contract.StepRate, url, json.Unmarshal(raw, &rating))
}
