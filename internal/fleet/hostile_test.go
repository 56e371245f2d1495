package fleet

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestHostileInput sends malformed, oversized and forged requests. Each gets a
// specific refusal, no engine runs anything, and no API key appears in a log.
func TestHostileInput(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, 1, 1, 0)
	vm := f.VMs[0]
	runs := func() int {
		return f.Engines["dc1-engine-1"].TotalRunCount() + f.Engines["dc1-engine-2"].TotalRunCount()
	}
	before := runs()
	const chat = "/v1/chat/completions"
	valid := ChatBody("chat-small", "hello", 4, false)
	for name, c := range map[string]struct {
		key, path, body string
		headers         []string
		status          int
		kind            contract.RefusalKind
	}{
		"no key":            {"nobody", chat, valid, nil, http.StatusUnauthorized, contract.RefusedUnknownKey},
		"not JSON":          {APIKeyNorte, chat, "{", nil, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"no messages":       {APIKeyNorte, chat, `{"model":"chat-small"}`, nil, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"wrong types":       {APIKeyNorte, chat, `{"model":7,"messages":"x"}`, nil, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"too large":         {APIKeyNorte, chat, strings.Repeat("x", 2<<20), nil, http.StatusRequestEntityTooLarge, contract.RefusedRequestTooLarge},
		"wrong unit":        {APIKeyNorte, chat, valid, []string{"Woaddoor-Timeout", "30"}, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"endless timeout":   {APIKeyNorte, chat, valid, []string{"Woaddoor-Timeout", "9000h"}, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"long idempotency":  {APIKeyNorte, chat, valid, []string{"Idempotency-Key", strings.Repeat("k", 300)}, http.StatusBadRequest, contract.RefusedInvalidRequest},
		"forged session":    {APIKeyNorte, chat, valid, []string{"Woaddoor-Session", "a.b"}, http.StatusForbidden, contract.RefusedInvalidSession},
		"forged ticket":     {APIKeyNorte, chat, valid, []string{"Woaddoor-Repeatable", "no", "Woaddoor-Ticket", "a.b"}, http.StatusForbidden, contract.RefusedInvalidTicket},
		"forged stream":     {APIKeyNorte, chat, valid, []string{"Woaddoor-Stream", "a.b", "Last-Event-ID", "1"}, http.StatusForbidden, contract.RefusedInvalidStreamToken},
		"no such service":   {APIKeyNorte, "/services/none/x", valid, nil, http.StatusForbidden, contract.RefusedVersionNotAllowed},
		"version not there": {APIKeyNorte, chat, ChatBody("chat-small@77", "hello", 4, false), nil, http.StatusForbidden, contract.RefusedVersionNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := vm.Call(ctx, c.key, http.MethodPost, c.path, c.body, c.headers...)
			is.NoErr(err)
			is.Equal(r.Status, c.status)
			is.Equal(parseRefusal(t, r), refusal{string(c.kind), "not run"})
			is.Equal(r.Header.Get("Content-Type"), "application/problem+json")
		})
	}
	t.Run("large header", func(t *testing.T) {
		is := is.New(t)
		r, err := vm.Call(ctx, APIKeyNorte, http.MethodPost, chat, valid, "X-Large", strings.Repeat("x", 1<<20))
		is.True(err != nil || r.Status == http.StatusRequestHeaderFieldsTooLarge)
	})
	is := is.New(t)
	is.Equal(runs(), before)
	for _, program := range programs {
		raw, err := os.ReadFile(f.LogFile(program, vm))
		is.NoErr(err)
		is.True(!bytes.Contains(raw, []byte(APIKeyNorte)))
	}
}
