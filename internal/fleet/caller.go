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

// Reply is an answer to a caller, whole.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends a caller's request to a VM, with headers given as key, value.
func (vm *VM) Call(ctx context.Context, key, method, path, body string, headers ...string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, vm.Callers+path, bytes.NewBufferString(body))
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

// Chat sends a chat request of one message.
func (vm *VM) Chat(ctx context.Context, key, model, text string, headers ...string) (Reply, error) {
	return vm.Call(ctx, key, http.MethodPost, "/v1/chat/completions", ChatBody(model, text, 8, false), headers...)
}

// ChatBody returns the body of a chat request.
func ChatBody(model, text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, model, text, tokens, stream)
}

// pollEvery is how often Until looks.
const pollEvery = 50 * time.Millisecond

// Until waits until holds returns true, or ctx ends. Its verdict is that of
// holds, not of the time it took.
func Until(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Acquainted waits until every VM knows the entry processes of its peers, so
// that tickets have their arbiters and bill records their keepers.
func (f *Fleet) Acquainted(ctx context.Context) error {
	for _, vm := range f.VMs {
		err := Until(ctx, func() bool {
			st, err := vm.Status(ctx)
			return err == nil && st.Arbiters == min(f.opts.VMs, ticket.MaxArbiters) && st.Keepers == f.keepers()
		})
		if err != nil {
			return fmt.Errorf("%s does not know its peers: %w", vm.Name, err)
		}
	}
	return nil
}

// keepers returns how many peers an entry process asks to keep a record, once
// it knows them: one of its own data centre and one of another.
func (f *Fleet) keepers() int {
	n := 0
	if f.opts.VMs > 1 {
		n++
	}
	if len(f.opts.DataCentres) > 1 {
		n++
	}
	return n
}

// Status is what an entry process's status page shows, as far as tests read it.
type Status struct {
	Revision    contract.Revision `json:"revision"`
	Members     int               `json:"members"`
	Arbiters    int               `json:"arbiters"`
	Keepers     int               `json:"keepers"`
	Age         time.Duration     `json:"age_nanoseconds"`
	BillsHeld   int               `json:"bills_held"`
	BillsAtRisk int               `json:"bills_at_risk"`
}

// Status reads the status page of the VM's entry process.
func (vm *VM) Status(ctx context.Context) (Status, error) {
	var st Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.Health+"/status", nil)
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

// Serving waits until every VM answers a chat.
func (f *Fleet) Serving(ctx context.Context, model string) error {
	for _, vm := range f.VMs {
		err := Until(ctx, func() bool {
			r, err := vm.Chat(ctx, KeyNorte, model, "are you there")
			return err == nil && r.Status == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%s does not serve: %w", vm.Name, err)
		}
	}
	return nil
}
