package replica

import (
	"context"
	"net/http"
	"strings"
)

// NewCall returns a request as a caller of the platform sends it to a VM.
func NewCall(ctx context.Context, address, host, path, id, key, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	return req, nil
}

// ID returns the id of a request.
func (r *Request) ID() string { return r.Header.Get("X-Attempt-Id") }
