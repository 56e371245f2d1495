package replica

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ReadinessPath is the path on which a load balancer asks a VM whether it accepts connections.
const ReadinessPath = "/api/readyz"

// NewCall returns a request to a VM as a caller of the users' platform sends it.
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

// ID returns the id of the request, which the upstream repeats in its answer.
func (r *Request) ID() string { return r.Header.Get("X-Attempt-Id") }

// Deadline returns how long the caller or VM waits for the answer, from when it sent the request.
// It is zero if the request does not state it.
func (r *Request) Deadline() time.Duration {
	milliseconds, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// SetDeadline sets the header that states how long the caller waits for the answer.
func SetDeadline(r *http.Request, wait time.Duration) {
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
}

// SetPrompt sets the header that names the parts of the request's prompt.
func SetPrompt(r *http.Request, parts ...string) {
	r.Header.Set("X-Prompt-Prefix", strings.Join(parts, ":100,")+":100")
}

// SharedParts returns the names of the parts of the request's prompt but the last.
func (r *Request) SharedParts() []string {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	names := make([]string, 0, len(parts))
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		names = append(names, name)
	}
	return names
}

// HasSignature reports whether an answer carries an upstream's signature.
func HasSignature(resp *http.Response) bool { return resp.Header.Get("X-Response-Signature") != "" }

// LastEventID returns the number of the last stream event that the caller has received, or 0 if
// the caller has received no event.
func (r *Request) LastEventID() int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}

// Head is the head of a request to a VM as a caller of the users' platform sends it, for callers that write it to a
// connection themselves.
type Head struct {
	Host, Path, ID, Key string
	// Wait is how long the caller waits for the answer. Zero leaves it out.
	Wait time.Duration
}

// Text returns the lines of the head, followed by further lines, without the empty line that ends it.
func (h Head) Text(lines ...string) string {
	all := []string{"POST " + h.Path + " HTTP/1.1", "Host: " + h.Host, "X-Attempt-Id: " + h.ID}
	if h.Key != "" {
		all = append(all, "X-Key: "+h.Key)
	}
	if h.Wait > 0 {
		all = append(all, "X-Deadline-Ms: "+strconv.FormatInt(h.Wait.Milliseconds(), 10))
	}
	return strings.Join(append(all, lines...), "\r\n") + "\r\n"
}

// PromptLine returns the line of a head that names the parts of a prompt.
func PromptLine(parts string) string { return "X-Prompt-Prefix: " + parts }
