package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"woaddoor/contract"
	"woaddoor/engine"
)

// defaultTokens is the length of an answer whose request does not bound it.
const defaultTokens = 8

// Handler serves the engine's pages.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathChat, e.serveChat).Methods(http.MethodPost)
	r.HandleFunc(engine.PathCancel, e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc(engine.PathLoad, e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc(engine.PathOrders, e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc(engine.PathCache, e.serveCache).Methods(http.MethodGet)
	return r
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	silent, l := e.faults.Silent, e.report()
	e.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.order(o) {
		http.Error(w, "fencing number is old", http.StatusConflict)
	}
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.events[min(after, uint64(len(e.events))):]
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.streams[r.Header.Get(engine.HeaderRequest)]
	e.mu.Unlock()
	if ok {
		g.cancel()
	}
}

// serveChat takes a request through the faults that concern its start.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	drop, refuse := take(&e.faults.DropBefore), false
	if !drop {
		refuse = take(&e.faults.Refuse) || e.draining
	}
	e.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	var req engine.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	w.Header().Set(engine.HeaderRequest, e.idFor(id))
	if refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if late(r) {
		http.Error(w, "permission has ended", http.StatusServiceUnavailable)
		return
	}
	if last := r.Header.Get(engine.HeaderLastEvent); last != "" {
		e.resume(w, r, id, last)
		return
	}
	e.run(w, r, id, req)
}

// late tells whether the permission that the call carries has ended.
func late(r *http.Request) bool {
	end, err := time.Parse(time.RFC3339Nano, r.Header.Get(engine.HeaderNotAfter))
	return err == nil && time.Now().After(end)
}

func (e *Engine) idFor(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crossed {
		return "another-" + id
	}
	return id
}

// versionFor returns the version that really runs, "" when it is not held.
func (e *Engine) versionFor(asked string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.HeldVersion != "" {
		return string(e.faults.HeldVersion)
	}
	if !e.held[contract.VersionID(asked)] {
		return ""
	}
	return asked
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, id string, req engine.Request) {
	version := e.versionFor(req.Model)
	if version == "" {
		http.Error(w, "version is not held", http.StatusNotFound)
		return
	}
	if err := e.enter(r.Context(), req.Priority); err != nil {
		return
	}
	n := req.MaxTokens
	if n == 0 {
		n = defaultTokens
	}
	g := e.start(id, version, req, n)
	if !e.cached(prefixOf(req.Messages)) {
		e.pace(r.Context(), e.opts.Prefill)
	}
	go e.generate(g)
	if req.Stream {
		e.sendStream(w, r, g, 0)
		return
	}
	e.sendWhole(w, r, g)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id, last string) {
	e.mu.Lock()
	g, ok := e.streams[id]
	e.mu.Unlock()
	n, err := strconv.Atoi(last)
	if !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.sendStream(w, r, g, n)
}

// sendWhole answers with the whole completion.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	n, _ := g.await(r.Context(), g.total)
	e.mu.Lock()
	drop, cut := take(&e.faults.DropAfter), e.faults.TruncateAt
	e.mu.Unlock()
	if drop || n < g.total {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(engine.Completion{
		ID: "chatcmpl-" + g.id, Object: "chat.completion", Created: g.created, Model: g.version,
		Choices: []engine.Choice{{Message: engine.AnswerMessage{Role: "assistant", Content: strings.Join(g.words, "")}, FinishReason: "stop"}},
		Usage:   g.usage(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut > 0 {
		_, _ = w.Write(body[:len(body)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// sendStream streams the tokens after from.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for i := from; i < g.total; i++ {
		if n, err := g.await(r.Context(), i+1); err != nil || n <= i {
			panic(http.ErrAbortHandler)
		}
		e.cutHere(r.Context(), i, from)
		e.sendChunk(w, g, i)
		flusher.Flush()
	}
	usage := g.usage()
	sendEvent(w, g.total+1, engine.Chunk{ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: g.created, Model: g.version, Choices: []engine.ChunkChoice{}, Usage: &usage})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", g.total+2, engine.StreamEnd)
	flusher.Flush()
}

// cutHere does what the faults ask for before token i is sent. A resumed
// stream is not cut again at the same place.
func (e *Engine) cutHere(ctx context.Context, i, from int) {
	e.mu.Lock()
	truncate, stall := e.faults.TruncateAt, e.faults.StallAt
	e.mu.Unlock()
	if truncate > 0 && i == truncate && from == 0 {
		panic(http.ErrAbortHandler)
	}
	if stall > 0 && i == stall && from == 0 {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) sendChunk(w http.ResponseWriter, g *generation, i int) {
	var finish *string
	if i == g.total-1 {
		stop := "stop"
		finish = &stop
	}
	sendEvent(w, i+1, engine.Chunk{
		ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: g.created, Model: g.version,
		Choices: []engine.ChunkChoice{{Delta: engine.AnswerMessage{Role: "assistant", Content: g.words[i]}, FinishReason: finish}},
	})
}

func sendEvent(w http.ResponseWriter, id int, c engine.Chunk) {
	raw, _ := json.Marshal(c)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, raw)
}
