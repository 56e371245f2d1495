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

// Names of the HTTP API, shared with the stand-in.
const (
	ObjectsPath  = "/objects/"
	ListPath     = "/objects"
	VMsPath      = "/vms"
	ParamPrefix  = "prefix"
	ParamAfter   = "after"
	ParamWait    = "wait"
	HeaderIfHas  = "If-Match"
	HeaderIfNone = "If-None-Match"
	HeaderETag   = "ETag"
)

// ETag returns the entity tag of a version.
func ETag(v contract.ObjectVersion) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag returns the version of an entity tag.
func ParseETag(tag string) (contract.ObjectVersion, error) {
	unquoted, err := strconv.Unquote(tag)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q: %w", tag, err)
	}
	n, err := strconv.ParseUint(unquoted, 10, 64)
	return contract.ObjectVersion(n), err
}

// Client speaks the object API over HTTP, with entity tags as versions.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// Options set up a Client.
type Options struct {
	// URL is the base of the platform's API, such as "http://10.0.0.1:7000".
	URL string
	// Timeout bounds each call, beyond the wait of a watch. Zero means 2 s.
	Timeout time.Duration
}

// defaultTimeout bounds a call to a service that answers in milliseconds.
const defaultTimeout = 2 * time.Second

// NewClient returns a client of the platform at opts.URL.
func NewClient(opts *Options) *Client {
	timeout := opts.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{ResponseHeaderTimeout: timeout + maxWatchWait, MaxIdleConnsPerHost: 8}
	return &Client{baseURL: opts.URL, httpClient: &http.Client{Transport: transport}}
}

// maxWait is the longest wait of a watch.
const maxWatchWait = 10 * time.Second

// Read returns an object.
func (c *Client) Read(ctx context.Context, name string) (Object, error) {
	return c.getObject(ctx, name, "", "")
}

// Watch waits for a version of the object other than after.
func (c *Client) Watch(ctx context.Context, name string, after contract.ObjectVersion, wait time.Duration) (Object, error) {
	return c.getObject(ctx, name, ETag(after), "?"+ParamWait+"="+min(wait, maxWatchWait).String())
}

func (c *Client) getObject(ctx context.Context, name, tag, query string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+ObjectsPath+name+query, nil)
	if err != nil {
		return Object{}, err
	}
	if tag != "" {
		req.Header.Set(HeaderIfNone, tag)
	}
	body, header, err := c.do(req)
	if err != nil {
		return Object{}, err
	}
	version, err := ParseETag(header.Get(HeaderETag))
	return Object{Name: name, Version: version, Value: body}, err
}

// Create writes a new object.
func (c *Client) Create(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	return c.putObject(ctx, name, value, HeaderIfNone, "*", ErrExists)
}

// Update replaces an object of a known version.
func (c *Client) Update(ctx context.Context, name string, value []byte, version contract.ObjectVersion) (contract.ObjectVersion, error) {
	return c.putObject(ctx, name, value, HeaderIfHas, ETag(version), ErrConflict)
}

func (c *Client) putObject(ctx context.Context, name string, value []byte, header, tag string, preconditionErr error) (contract.ObjectVersion, error) {
	// The reader is wrapped so that the transport cannot send it a second time
	// by itself: whether a write is tried again is decided by its caller.
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

// List returns names under a prefix.
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

// errPrecondition is a condition that did not hold; put says which.
var errPreconditionFailed = fmt.Errorf("precondition failed")

func (c *Client) do(req *http.Request) ([]byte, http.Header, error) {
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, nil, contract.Fail(contract.StepPlatform, c.baseURL, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(2*contract.MiB)))
	if err != nil {
		return nil, nil, contract.Fail(contract.StepPlatform, c.baseURL, err)
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
		return nil, nil, ErrTooMany
	}
	return nil, nil, contract.Fail(contract.StepPlatform, c.baseURL, fmt.Errorf("status %d: %.200s", resp.StatusCode, body))
}
