package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "woaddoor/internal/standin/engine"
)

// openStream sends a streaming chat request and returns a scanner over the lines
// of the response. headers alternates names and values.
func openStream(ctx context.Context, t *testing.T, vm *VM, body string, headers ...string) (*http.Response, *bufio.Scanner) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.APIURL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+APIKeyNorte)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp, bufio.NewScanner(resp.Body)
}

// readStream reads server-sent events until the end marker, or until n events
// have been read if n is not zero. It returns the text, the last event ID, and
// whether the end marker was read.
func readStream(lines *bufio.Scanner, n int) (text, lastID string, complete bool) {
	for events := 0; lines.Scan(); {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, lastID, true
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			text += c.Choices[0].Delta.Content
		}
		if events++; events == n {
			return text, lastID, false
		}
	}
	return text, lastID, false
}

// TestPlannedStop sends SIGTERM twice to an entry process in the middle of a
// stream. The stream still completes, and then the process exits without error.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 20*time.Millisecond)
	vm := f.VMs[0]
	resp, lines := openStream(ctx, t, vm, ChatBody("chat-small", "long", 200, true))
	is.Equal(resp.StatusCode, http.StatusOK)
	_, _, _ = readStream(lines, 3)
	vm.Entry.Terminate()
	vm.Entry.Terminate()
	waitUntil(ctx, t, "new requests are refused", func() bool {
		r, err := vm.Chat(ctx, APIKeyNorte, "chat-small", "hello")
		return err != nil || r.Status == http.StatusServiceUnavailable
	})
	_, _, complete := readStream(lines, 0)
	is.True(complete)
	<-vm.Entry.Done()
	is.NoErr(vm.Entry.Err())
}

// TestPlannedStopAnswersUnfinishedRequests guards against requests that run longer than the drain time of a planned stop
// being cut at its end without an answer.
func TestPlannedStopAnswersUnfinishedRequests(t *testing.T) {
	t.Parallel()
	const long = 600 // tokens, of 20 ms
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFleetWith(t, 1, 1, 20*time.Millisecond, "drain = 2s\n")
		_, lines := openStream(ctx, t, f.VMs[0], ChatBody("chat-small", "hello", long, true))
		_, _, _ = readStream(lines, 3)
		f.VMs[0].Entry.Terminate()
		_, _, complete := readStream(lines, 0)
		is.True(!complete)
		is.NoErr(lines.Err()) // the stream ends with an event that tells why
	})
	t.Run("whole answer", func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFleetWith(t, 1, 1, 20*time.Millisecond, "drain = 2s\n")
		runs := func() int {
			return f.Engines["dc1-engine-1"].TotalRunCount() + f.Engines["dc1-engine-2"].TotalRunCount()
		}
		before := runs()
		go func() {
			waitUntil(ctx, t, "the request runs", func() bool { return runs() > before })
			f.VMs[0].Entry.Terminate()
		}()
		r, err := f.VMs[0].Call(ctx, APIKeyNorte, http.MethodPost, "/v1/chat/completions", ChatBody("chat-small", "hello", long, false))
		is.NoErr(err)
		is.True(parseRefusal(t, r).Outcome != "not run")
	})
}

// TestStreamResumedOnOtherVM kills a VM in the middle of a stream. The caller
// resumes the stream at another VM after the last event it received, and gets the
// complete answer.
func TestStreamResumedOnOtherVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 2, 20*time.Millisecond)
	body := ChatBody("chat-small", "long", 60, true)
	whole, err := f.VMs[1].Call(ctx, APIKeyNorte, http.MethodPost, "/v1/chat/completions", strings.Replace(body, `"stream":true`, `"stream":false`, 1))
	is.NoErr(err)

	resp, lines := openStream(ctx, t, f.VMs[0], body)
	token := resp.Header.Get("Woaddoor-Stream")
	first, last, _ := readStream(lines, 10)
	f.VMs[0].Entry.Kill()
	_, lines = openStream(ctx, t, f.VMs[1], "", "Woaddoor-Stream", token, "Last-Event-ID", last)
	remaining, _, ended := readStream(lines, 0)
	is.True(ended)
	is.True(strings.Contains(whole.Body, first+remaining)) // no token is missing or repeated

	resp, _ = openStream(ctx, t, f.VMs[1], "", "Woaddoor-Stream", token+"x", "Last-Event-ID", last)
	is.Equal(resp.StatusCode, http.StatusForbidden)

	// The engines have lost the stream. The refusal must not have the outcome "not run".
	for _, e := range f.Engines {
		e.DropGenerations()
	}
	r, err := f.VMs[1].Call(ctx, APIKeyNorte, http.MethodPost, "/v1/chat/completions", "", "Woaddoor-Stream", token, "Last-Event-ID", last)
	is.NoErr(err)
	is.Equal(parseRefusal(t, r).Outcome, "ran")
}

// TestStreamRecovered truncates or stalls streams at the engines. The caller gets
// the complete text each time.
func TestStreamRecovered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 1, 5*time.Millisecond)
	body := ChatBody("chat-small", "long", 40, true)
	_, lines := openStream(ctx, t, f.VMs[0], body)
	want, _, complete := readStream(lines, 0)
	is.True(complete)
	for name, faults := range map[string]standin.Faults{
		"truncated": {TruncateAt: 7}, "stalled": {StallAt: 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, e := range f.Engines {
				e.SetFaults(faults)
			}
			_, lines := openStream(ctx, t, f.VMs[0], body)
			got, _, complete := readStream(lines, 0)
			is.True(complete)
			is.Equal(got, want)
		})
	}
}
