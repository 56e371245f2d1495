package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"woaddoor/contract"
)

// Paths, query parameters and headers of the platform's HTTP API. The stand-in of the
// platform in the tests uses them too.
const (
	ObjectsPath       = "/objects/"
	ListPath          = "/objects"
	VMsPath           = "/vms"
	ParamPrefix       = "prefix"
	ParamAfter        = "after"
	ParamWait         = "wait"
	HeaderIfMatch     = "If-Match"
	HeaderIfNoneMatch = "If-None-Match"
	HeaderETag        = "ETag"
)

// ETag returns the HTTP entity tag that represents an object version.
func ETag(v contract.ObjectVersion) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag returns the object version that an HTTP entity tag represents.
func ParseETag(tag string) (contract.ObjectVersion, error) {
	unquoted, err := strconv.Unquote(tag)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q: %w", tag, err)
	}
	n, err := strconv.ParseUint(unquoted, 10, 64)
	return contract.ObjectVersion(n), err
}

// Client accesses the platform's object API over HTTP. Entity tags carry the object versions.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// Options configures a Client.
type Options struct {
	// URL is the base URL of the platform's API, such as "http://10.0.0.1:7000".
	URL string
	// Timeout limits how long the client waits for the response headers of a call,
	// in addition to the maximum wait of a watch. Zero means 2 s.
	Timeout time.Duration
}

// defaultTimeout is the Timeout if Options sets none.
// The platform normally answers within milliseconds.
const defaultTimeout = 2 * time.Second

// NewClient returns a client for the platform's API at opts.URL.
func NewClient(opts *Options) *Client {
	timeout := opts.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{ResponseHeaderTimeout: timeout + maxWatchWait, MaxIdleConnsPerHost: 8}
	return &Client{baseURL: opts.URL, httpClient: &http.Client{Transport: transport}}
}

// maxWatchWait is the longest time that a watch may wait for a new version.
const maxWatchWait = 10 * time.Second

// Read returns the object with the given name, or ErrNotFound.
func (c *Client) Read(ctx context.Context, name string) (Object, error) {
	return c.getObject(ctx, name, "", "")
}

// Watch waits for a version of the object that differs from the argument after. It waits for
// at most the shorter of wait and maxWatchWait.
func (c *Client) Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (Object, error) {
	return c.getObject(ctx, name, ETag(after), "?"+ParamWait+"="+min(wait, maxWatchWait).String())
}

// getObject reads an object. A non-empty tag is sent as If-None-Match;
// query is appended to the URL.
func (c *Client) getObject(ctx context.Context, name, tag, query string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+ObjectsPath+name+query, nil)
	if err != nil {
		return Object{}, err
	}
	if tag != "" {
		req.Header.Set(HeaderIfNoneMatch, tag)
	}
	body, header, err := c.do(req)
	if err != nil {
		return Object{}, err
	}
	version, err := ParseETag(header.Get(HeaderETag))
	return Object{Name: name, Version: version, Value: body}, err
}

// Create writes a new object, or returns ErrExists if it already exists.
func (c *Client) Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	return c.putObject(ctx, name, value, HeaderIfNoneMatch, "*", ErrExists)
}

// Update replaces the object if it still has the given version, or else returns ErrConflict.
func (c *Client) Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error) {
	return c.putObject(ctx, name, value, HeaderIfMatch, ETag(version), ErrConflict)
}

// putObject writes an object under the condition in header and tag. It returns
// preconditionErr if the condition does not hold.
func (c *Client) putObject(ctx context.Context, name string, value []byte, header, tag string, preconditionErr error) (contract.ObjectVersion, error) {
	// Wrap the reader, so that the HTTP transport cannot send the body again on
	// its own. Only the caller may decide to retry a write.
	body := io.NopCloser(bytes.NewReader(value))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+ObjectsPath+name, body)
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(value))
	req.Header.Set(header, tag)
	_, respHeader, err := c.do(req)
	if err == errPreconditionFailed {
		return 0, preconditionErr
	}
	if err != nil {
		return 0, err
	}
	return ParseETag(respHeader.Get(HeaderETag))
}

// List returns the names of objects that begin with prefix
// and sort after the name in the argument after.
func (c *Client) List(ctx context.Context, prefix, after string) ([]string, error) {
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {after}}
	var names []string
	err := c.getJSON(ctx, ListPath+"?"+query.Encode(), &names)
	return names, err
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]contract.VMEntry, error) {
	var entries []contract.VMEntry
	err := c.getJSON(ctx, VMsPath, &entries)
	return entries, err
}

// getJSON reads a JSON document at path, which includes the query, into target.
func (c *Client) getJSON(ctx context.Context, path string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return err
	}
	body, _, err := c.do(req)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, target)
}

// errPreconditionFailed means that the condition of a write did not hold. putObject
// returns ErrExists or ErrConflict instead of errPreconditionFailed.
var errPreconditionFailed = fmt.Errorf("precondition failed")

// do sends a request and returns the body and the headers of a successful response. It
// maps the statuses of unsuccessful responses to errors.
func (c *Client) do(req *http.Request) ([]byte, http.Header, error) {
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, nil, contract.WrapStep(contract.StepPlatform, c.baseURL, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(2*contract.MiB)))
	if err != nil {
		return nil, nil, contract.WrapStep(contract.StepPlatform, c.baseURL, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return body, resp.Header, nil
	case http.StatusNotModified:
		return nil, nil, ErrUnchanged
	case http.StatusNotFound:
		return nil, nil, ErrNotFound
	case http.StatusPreconditionFailed:
		return nil, nil, errPreconditionFailed
	case http.StatusTooManyRequests:
		return nil, nil, ErrRateLimited
	}
	return nil, nil, contract.WrapStep(contract.StepPlatform, c.baseURL, fmt.Errorf("status %d: %.200s", resp.StatusCode, body))
}
