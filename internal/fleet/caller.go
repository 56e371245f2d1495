package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"woaddoor/contract"
	"woaddoor/ticket"
)

// Reply is a complete HTTP response, including the body.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends an API request to a VM. headers alternates names and values.
func (vm *VM) Call(ctx context.Context, key, method, path, body string, headers ...string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, vm.APIURL+path, bytes.NewBufferString(body))
	if err != nil {
		return Reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(text)}, err
}

// Chat sends a non-streaming chat request with a single user message.
func (vm *VM) Chat(ctx context.Context, key, model, text string, headers ...string) (Reply, error) {
	return vm.Call(ctx, key, http.MethodPost, "/v1/chat/completions", ChatBody(model, text, 8, false), headers...)
}

// ChatBody returns the JSON body of a chat request with a single user message. tokens is
// the maximum length of the answer.
func ChatBody(model, text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, model, text, tokens, stream)
}

// pollInterval is the time after which WaitFor checks its condition again.
const pollInterval = 50 * time.Millisecond

// WaitFor polls condition until it returns true or ctx ends. It returns nil once condition
// returns true, even if ctx has ended meanwhile.
func WaitFor(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// WaitForPeers waits until every VM knows the entry processes of its peers: the processes
// that vote on tickets (arbiters), and the processes that hold copies
// of the VM's bill records (keepers).
func (f *Fleet) WaitForPeers(ctx context.Context) error {
	for _, vm := range f.VMs {
		err := WaitFor(ctx, func() bool {
			st, err := vm.Status(ctx)
			return err == nil && st.Arbiters == min(f.opts.VMs, ticket.MaxArbiters) && st.Keepers == f.expectedKeepers()
		})
		if err != nil {
			return fmt.Errorf("%s does not know its peers: %w", vm.Name, err)
		}
	}
	return nil
}

// expectedKeepers returns how many peers hold a copy of each bill record once
// all peers are known: a peer in the VM's own data centre and a peer in another data centre.
func (f *Fleet) expectedKeepers() int {
	n := 0
	if f.opts.VMs > 1 {
		n++
	}
	if len(f.opts.DataCentres) > 1 {
		n++
	}
	return n
}

// Status holds the fields of an entry process's status page that tests read.
//
// Members is the number of VMs known to be live. Arbiters and Keepers are the numbers of
// processes that vote on this VM's tickets and that hold copies of its bill records.
// ConfigurationAge is the time since the configuration was last confirmed as the newest.
// BillsHeld counts the bill records stored on the VM. BillsAtRisk counts the VM's bill records
// that no peer holds and that are not filed with the platform.
type Status struct {
	Revision         contract.Revision `json:"revision"`
	Members          int               `json:"members"`
	Arbiters         int               `json:"arbiters"`
	Keepers          int               `json:"keepers"`
	ConfigurationAge time.Duration     `json:"age_nanoseconds"`
	BillsHeld        int               `json:"bills_held"`
	BillsAtRisk      int               `json:"bills_at_risk"`
}

// Status fetches the status page of the VM's entry process.
func (vm *VM) Status(ctx context.Context) (Status, error) {
	var st Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.HealthURL+"/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// WaitUntilServing waits until every VM answers a chat request to model with status 200.
func (f *Fleet) WaitUntilServing(ctx context.Context, model string) error {
	for _, vm := range f.VMs {
		err := WaitFor(ctx, func() bool {
			r, err := vm.Chat(ctx, APIKeyNorte, model, "are you there")
			return err == nil && r.Status == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%s does not serve: %w", vm.Name, err)
		}
	}
	return nil
}
