// Package rating meets the platform's rating service, which rates answers.
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

// Path of the service's one call.
const Path = "/rate"

// Good is the score from which an answer counts as good.
const Good = 0.5

// Answer is what the service rates.
type Answer struct {
	Request   contract.RequestID   `json:"request"`
	Workspace contract.WorkspaceID `json:"workspace"`
	Version   contract.VersionID   `json:"version"`
	Text      string               `json:"text"`
}

// Rating is the service's answer.
type Rating struct {
	// Score is from 0, bad, to 1, good.
	Score float64 `json:"score"`
}

// maxRating bounds the service's answer.
const maxRating = 4 * contract.KiB

// Client calls the service. A lost call or answer is one rating less.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{http: &http.Client{}} }

// Rate asks the service at url for its rating.
func (c *Client) Rate(ctx context.Context, url string, a Answer) (Rating, error) {
	var r Rating
	body, err := json.Marshal(a)
	if err != nil {
		return r, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+Path, bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, contract.Fail(contract.StepRate, url, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxRating)))
	if err != nil {
		return r, contract.Fail(contract.StepRate, url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r, contract.Fail(contract.StepRate, url, fmt.Errorf("status %d", resp.StatusCode))
	}
	return r, contract.Fail(contract.StepRate, url, json.Unmarshal(raw, &r))
}
