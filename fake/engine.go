package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/engine"
	"crocusstep/ident"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Slots is the maximum number of concurrent decodes.
	Slots int
	// PrefillPerToken is the prefill time of one token that is not cached.
	PrefillPerToken time.Duration
	// StepBase is the duration of a decode step with an empty batch.
	StepBase time.Duration
	// StepPerRequest is the time that each request in the batch adds to a step.
	StepPerRequest time.Duration
	// HandleTTL is how long a prefilled KV cache is kept for its import.
	HandleTTL time.Duration
	// TransferPerToken is the time to transfer the KV cache of one token.
	TransferPerToken time.Duration
	// MaxCachedPrompts is the number of prompts in the prefix cache.
	MaxCachedPrompts int
	// HTTP is the client for imports from other engines.
	HTTP *http.Client
}

// DefaultEngineConfig returns the configuration that the demo uses.
func DefaultEngineConfig(client *http.Client) EngineConfig {
	return EngineConfig{
		Slots:            20,
		PrefillPerToken:  100 * time.Microsecond,
		StepBase:         20 * time.Millisecond,
		StepPerRequest:   time.Millisecond,
		HandleTTL:        800 * time.Millisecond,
		TransferPerToken: 10 * time.Microsecond,
		MaxCachedPrompts: 64,
		HTTP:             client,
	}
}

// PoisonMarker makes a prompt crash the engine that decodes it.
const PoisonMarker = "POISON"

// LengthMarker before a number in a prompt sets the output length in tokens.
const LengthMarker = "length="

const defaultOutputTokens = 40

type kvEntry struct {
	prompt string
	tokens ident.TokenCount
}

type runningRequest struct {
	state  string
	prompt string
	cancel context.CancelFunc
}

// Engine is a fake model engine. A decode continues after its client has
// disconnected, as in engines that can resume streams, until it ends or is
// cancelled. Engine is safe for concurrent use.
type Engine struct {
	config EngineConfig
	mutex  sync.Mutex
	kv     map[engine.KVHandle]kvEntry
	// requests holds the requests that occupy memory.
	requests    map[ident.AttemptID]*runningRequest
	prefixCache []string
	crashed     bool
	// onCrash is called once, when a poison prompt crashes the engine.
	onCrash func()
	// prefillSlot serializes prefills; it is full while one runs.
	prefillSlot chan struct{}
	// prefilledTokens counts the prompt tokens that were computed, not cached.
	prefilledTokens ident.TokenCount
	// prompts holds the hashes of the prompts of all accepted prefills.
	prompts map[uint64]bool
	// promptTokens counts the prompt tokens of all accepted prefills, including
	// cached ones.
	promptTokens ident.TokenCount
	// slowdown multiplies the time of prefills and decode steps; at least 1.
	slowdown int
	// transfersStalled makes imports hang until they are cancelled.
	transfersStalled bool
	// droppedCancels is the number of cancel requests still to be dropped.
	droppedCancels int
	// decodesStalled stops the generation of tokens.
	decodesStalled bool
}

// NewEngine returns an idle engine; onCrash is called once when a prompt crashes it.
func NewEngine(config EngineConfig, onCrash func()) *Engine {
	return &Engine{
		config:      config,
		kv:          map[engine.KVHandle]kvEntry{},
		requests:    map[ident.AttemptID]*runningRequest{},
		prompts:     map[uint64]bool{},
		onCrash:     onCrash,
		prefillSlot: make(chan struct{}, 1),
		slowdown:    1,
	}
}

// PromptTokens returns the number of prompt tokens of all accepted prefills,
// including cached ones.
func (e *Engine) PromptTokens() ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.promptTokens
}

// PrefilledTokens returns the number of prompt tokens computed, without cached ones.
func (e *Engine) PrefilledTokens() ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prefilledTokens
}

// Requests returns the requests that occupy memory, sorted by attempt.
func (e *Engine) Requests() []engine.RunningRequest {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := []engine.RunningRequest{}
	for attempt, r := range e.requests {
		list = append(list, engine.RunningRequest{Attempt: attempt, State: r.state})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Attempt < list[j].Attempt })
	return list
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/engine/prefill", e.prefill)
	router.POST("/engine/import", e.importKV)
	router.GET("/engine/export/:handle", e.export)
	router.POST("/engine/decode", e.decode)
	router.POST("/engine/cancel", e.cancel)
	router.GET("/engine/requests", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, e.Requests()) })
	return router
}

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request engine.PrefillRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tokens := CountTokens(request.Prompt + " " + request.Generated)
	cached := e.startPrefill(request, tokens, cancel)
	if !e.runPrefill(ctx, time.Duration(tokens-cached)*e.config.PrefillPerToken) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	handle := engine.KVHandle(request.Attempt)
	e.mutex.Lock()
	delete(e.requests, request.Attempt)
	e.prefilledTokens += tokens - cached
	e.kv[handle] = kvEntry{prompt: request.Prompt, tokens: tokens}
	time.AfterFunc(e.config.HandleTTL, func() { e.evict(handle) })
	e.mutex.Unlock()
	writeJSON(w, engine.PrefillResult{Handle: handle, Tokens: tokens, CachedTokens: cached})
}

// runPrefill waits for the prefill slot and then for the duration of the work. It
// reports false if the prefill was cancelled.
func (e *Engine) runPrefill(ctx context.Context, work time.Duration) bool {
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefillSlot }()
	e.mutex.Lock()
	work *= time.Duration(e.slowdown)
	e.mutex.Unlock()
	return sleep(ctx, work)
}

func (e *Engine) startPrefill(request engine.PrefillRequest, tokens ident.TokenCount, cancel context.CancelFunc) ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.requests[request.Attempt] = &runningRequest{state: "prefill", prompt: request.Prompt, cancel: cancel}
	e.promptTokens += tokens
	e.prompts[hashPrompt(request.Prompt)] = true
	cached := ident.TokenCount(0)
	for _, prompt := range e.prefixCache {
		cached = max(cached, CountTokens(commonPrefix(prompt, request.Prompt)))
	}
	e.prefixCache = append(e.prefixCache, request.Prompt)
	if len(e.prefixCache) > e.config.MaxCachedPrompts {
		e.prefixCache = e.prefixCache[1:]
	}
	return min(cached, tokens-1)
}

func (e *Engine) evict(handle engine.KVHandle) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.kv, handle)
}

func (e *Engine) export(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	handle := engine.KVHandle(params.ByName("handle"))
	e.mutex.Lock()
	entry, ok := e.kv[handle]
	delete(e.kv, handle)
	e.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	writeJSON(w, engine.PrefillRequest{Prompt: entry.prompt})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request engine.ImportRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !e.reserve(request.Attempt, cancel) {
		cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prompt, status := e.fetchKV(ctx, request)
	if status != http.StatusOK {
		e.removeRequest(request.Attempt)
		w.WriteHeader(status)
		return
	}
	e.mutex.Lock()
	if running, ok := e.requests[request.Attempt]; ok {
		running.state = "imported"
		running.prompt = prompt
	}
	e.mutex.Unlock()
}

func (e *Engine) reserve(attempt ident.AttemptID, cancel context.CancelFunc) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.requests) >= e.config.Slots {
		return false
	}
	e.requests[attempt] = &runningRequest{state: "import", cancel: cancel}
	return true
}

func (e *Engine) fetchKV(ctx context.Context, request engine.ImportRequest) (prompt string, status int) {
	e.mutex.Lock()
	stalled := e.transfersStalled
	e.mutex.Unlock()
	if stalled {
		<-ctx.Done()
		return "", http.StatusConflict
	}
	source := "http://" + string(request.Source) + "/engine/export/" + string(request.Handle)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return "", http.StatusBadRequest
	}
	response, err := e.config.HTTP.Do(httpRequest)
	if err != nil {
		return "", http.StatusGone
	}
	defer func() { _ = response.Body.Close() }()
	var exported engine.PrefillRequest
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&exported) != nil {
		return "", http.StatusGone
	}
	if !sleep(ctx, time.Duration(CountTokens(exported.Prompt))*e.config.TransferPerToken) {
		return "", http.StatusConflict
	}
	return exported.Prompt, http.StatusOK
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request engine.DecodeRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	e.mutex.Lock()
	running, ok := e.requests[request.Attempt]
	if ok {
		running.state = "decode"
	}
	e.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	if strings.Contains(running.prompt, PoisonMarker) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, request, running)
}

// stream generates the output. Unless the request is cancelled it continues to the
// end, even if the client has disconnected.
func (e *Engine) stream(w http.ResponseWriter, request engine.DecodeRequest, running *runningRequest) {
	defer e.removeRequest(request.Attempt)
	total := min(OutputLength(running.prompt), request.MaxTokens)
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for position := request.StartPosition; position < total; position++ {
		if !e.waitStep(request.Attempt) {
			panic(http.ErrAbortHandler)
		}
		_ = encoder.Encode(engine.Token{Position: position, Text: TokenText(running.prompt, position)})
		_ = controller.Flush()
	}
	_ = encoder.Encode(engine.Token{Position: total, Finish: "stop"})
}

// waitStep waits for one decode step, or longer while decodes are stalled. It reports
// whether the attempt still runs.
func (e *Engine) waitStep(attempt ident.AttemptID) bool {
	e.mutex.Lock()
	duration := (e.config.StepBase + time.Duration(len(e.requests))*e.config.StepPerRequest) * time.Duration(e.slowdown)
	e.mutex.Unlock()
	for {
		time.Sleep(duration)
		e.mutex.Lock()
		_, ok := e.requests[attempt]
		active, stalled := ok && !e.crashed, e.decodesStalled
		e.mutex.Unlock()
		if !active || !stalled {
			return active
		}
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request engine.CancelRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	if e.shouldDropCancel() {
		panic(http.ErrAbortHandler)
	}
	e.removeRequest(request.Attempt)
	e.mutex.Lock()
	delete(e.kv, engine.KVHandle(request.Attempt))
	e.mutex.Unlock()
}

func (e *Engine) removeRequest(attempt ident.AttemptID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if running, ok := e.requests[attempt]; ok {
		running.cancel()
		delete(e.requests, attempt)
	}
}

func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
