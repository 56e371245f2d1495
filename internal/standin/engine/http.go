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

// defaultTokens is the length of an answer if the request does not limit it.
const defaultTokens = 8

// Handler serves the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.PathChat, e.serveChat).Methods(http.MethodPost)
	r.HandleFunc(engine.PathCancel, e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc(engine.PathLoad, e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc(engine.PathOrders, e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc(engine.PathCacheEvents, e.serveCache).Methods(http.MethodGet)
	return r
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	silent, load := e.faults.DropLoadCalls, e.laggedLoad()
	e.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(order) {
		http.Error(w, "fencing number is old", http.StatusConflict)
	}
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cacheEvents[min(after, uint64(len(e.cacheEvents))):]
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.generations[r.Header.Get(engine.HeaderRequestID)]
	e.mu.Unlock()
	if ok {
		g.cancel()
	}
}

// serveChat applies the faults that concern the start of a request, and then runs or resumes it.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	drop, refuse := countDown(&e.faults.DropBeforeRead), false
	if !drop {
		refuse = countDown(&e.faults.Refuse) || e.draining
	}
	e.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	var req engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, e.responseID(id))
	if refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if permissionExpired(r) {
		http.Error(w, "permission has ended", http.StatusServiceUnavailable)
		return
	}
	if lastEventID := r.Header.Get(engine.HeaderLastEventID); lastEventID != "" {
		e.serveResume(w, r, id, lastEventID)
		return
	}
	e.serveGeneration(w, r, id, req)
}

// permissionExpired reports whether the deadline that the request carries has passed.
func permissionExpired(r *http.Request) bool {
	notAfter, err := time.Parse(time.RFC3339Nano, r.Header.Get(engine.HeaderNotAfter))
	return err == nil && time.Now().After(notAfter)
}

func (e *Engine) responseID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.WrongRequestID {
		return "another-" + id
	}
	return id
}

// selectVersion returns the version that runs, or "" if the requested version is not loaded.
func (e *Engine) selectVersion(requested string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RunsVersion != "" {
		return string(e.faults.RunsVersion)
	}
	if !e.loadedVersions[contract.VersionID(requested)] {
		return ""
	}
	return requested
}

func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request, id string, req engine.ChatRequest) {
	version := e.selectVersion(req.Model)
	if version == "" {
		http.Error(w, "version is not held", http.StatusNotFound)
		return
	}
	if err := e.acquireSlot(r.Context(), req.Priority); err != nil {
		return
	}
	tokens := req.MaxTokens
	if tokens == 0 {
		tokens = defaultTokens
	}
	g := e.startGeneration(id, version, req, tokens)
	if !e.usePrefix(prefixHash(req.Messages)) {
		e.sleep(r.Context(), e.opts.PrefillTime)
	}
	go e.generate(g)
	if req.Stream {
		e.sendStream(w, r, g, 0)
		return
	}
	e.sendCompletion(w, r, g)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id, lastEventID string) {
	e.mu.Lock()
	g, ok := e.generations[id]
	e.mu.Unlock()
	tokensSent, err := strconv.Atoi(lastEventID)
	if !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.sendStream(w, r, g, tokensSent)
}

// sendCompletion sends the whole answer once it is generated.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, g *generation) {
	generated, _ := g.await(r.Context(), g.totalTokens)
	e.mu.Lock()
	drop, truncate := countDown(&e.faults.DropAfterRun), e.faults.TruncateAt
	e.mu.Unlock()
	if drop || generated < g.totalTokens {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(engine.ChatCompletion{
		ID: "chatcmpl-" + g.id, Object: "chat.completion", Created: g.created, Model: g.version,
		Choices: []engine.Choice{{Message: engine.ResponseMessage{Role: "assistant", Content: strings.Join(g.tokens, "")}, FinishReason: "stop"}},
		Usage:   g.usage(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncate > 0 {
		_, _ = w.Write(body[:len(body)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// sendStream streams the tokens, starting at index firstToken.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, g *generation, firstToken int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for i := firstToken; i < g.totalTokens; i++ {
		if n, err := g.await(r.Context(), i+1); err != nil || n <= i {
			panic(http.ErrAbortHandler)
		}
		e.applyStreamFaults(r.Context(), i, firstToken)
		e.sendToken(w, g, i)
		flusher.Flush()
	}
	usage := g.usage()
	writeEvent(w, g.totalTokens+1, engine.Chunk{ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: g.created, Model: g.version, Choices: []engine.ChunkChoice{}, Usage: &usage})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", g.totalTokens+2, engine.StreamEndMarker)
	flusher.Flush()
}

// applyStreamFaults closes the connection of the stream or stalls it if a fault is set for token
// i. A resumed stream is not affected.
func (e *Engine) applyStreamFaults(ctx context.Context, i, firstToken int) {
	e.mu.Lock()
	truncate, stall := e.faults.TruncateAt, e.faults.StallAt
	e.mu.Unlock()
	if truncate > 0 && i == truncate && firstToken == 0 {
		panic(http.ErrAbortHandler)
	}
	if stall > 0 && i == stall && firstToken == 0 {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) sendToken(w http.ResponseWriter, g *generation, i int) {
	var finish *string
	if i == g.totalTokens-1 {
		stop := "stop"
		finish = &stop
	}
	writeEvent(w, i+1, engine.Chunk{
		ID: "chatcmpl-" + g.id, Object: "chat.completion.chunk", Created: g.created, Model: g.version,
		Choices: []engine.ChunkChoice{{Delta: engine.ResponseMessage{Role: "assistant", Content: g.tokens[i]}, FinishReason: finish}},
	})
}

func writeEvent(w http.ResponseWriter, id int, c engine.Chunk) {
	raw, _ := json.Marshal(c)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, raw)
}
