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

// EngineConfig is the timing of an engine.
type EngineConfig struct {
	// Slots is how many requests decode at once.
	Slots int
	// PrefillPerToken is the time to read one token that is not cached.
	PrefillPerToken time.Duration
	// StepBase is the time of a decode step with an empty batch.
	StepBase time.Duration
	// StepPerRequest is what each request in the batch adds to a step.
	StepPerRequest time.Duration
	// HandleTTL is how long a prefill's result waits for its import.
	HandleTTL time.Duration
	// TransferPerToken is the time to move one token's KV cache.
	TransferPerToken time.Duration
	// MaxCachedPrompts is how many prompts the prefix cache remembers.
	MaxCachedPrompts int
	// HTTP carries imports from other engines.
	HTTP *http.Client
}

// DefaultEngineConfig returns the timing that the demo runs with.
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

// PoisonMarker in a prompt crashes the engine that decodes it.
const PoisonMarker = "POISON"

// LengthMarker before a number in a prompt sets the answer's length in tokens.
const LengthMarker = "length="

const defaultAnswerTokens = 40

type heldKV struct {
	prompt string
	tokens ident.TokenCount
}

type running struct {
	state  string
	prompt string
	cancel context.CancelFunc
}

// Engine is a stand-in for a model engine. A decode goes on when its reader is
// gone, as engines that can resume streams do, until it ends or is cancelled.
type Engine struct {
	config EngineConfig
	mutex  sync.Mutex
	kv     map[engine.KVHandle]heldKV
	// requests holds all that takes memory, by attempt.
	requests map[ident.AttemptID]*running
	cache    []string
	crashed  bool
	// crash is called once when a poisoned prompt ends the engine.
	crash func()
	// reader lets one prompt be read at a time.
	reader chan struct{}
	// prefilled counts the tokens that were really read.
	prefilled ident.TokenCount
	// ordered counts the tokens of all prompts taken on, cached ones included.
	ordered ident.TokenCount
	// slowdown multiplies the time of all work; at least 1.
	slowdown int
	// stalled makes imports hang until their context ends.
	stalled bool
	// lostCancels is how many cancels are dropped before one is taken.
	lostCancels int
	// silent makes decodes hang without a token.
	silent bool
}

// NewEngine returns an idle engine; crash is called when a prompt ends it.
func NewEngine(config EngineConfig, crash func()) *Engine {
	return &Engine{
		config:   config,
		kv:       map[engine.KVHandle]heldKV{},
		requests: map[ident.AttemptID]*running{},
		crash:    crash,
		reader:   make(chan struct{}, 1),
		slowdown: 1,
	}
}

// PromptTokens returns how many prompt tokens the engine has taken on.
func (e *Engine) PromptTokens() ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ordered
}

// PrefilledTokens returns how many tokens the engine has read.
func (e *Engine) PrefilledTokens() ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prefilled
}

// Requests returns what holds memory at the moment.
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
	router.GET("/engine/requests", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { reply(w, e.Requests()) })
	return router
}

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.PrefillRequest
	if !readOrder(w, r, &order) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tokens := CountTokens(order.Prompt + " " + order.Generated)
	cached := e.admit(order, tokens, cancel)
	if !e.read(ctx, time.Duration(tokens-cached)*e.config.PrefillPerToken) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	handle := engine.KVHandle(order.Attempt)
	e.mutex.Lock()
	delete(e.requests, order.Attempt)
	e.prefilled += tokens - cached
	e.kv[handle] = heldKV{prompt: order.Prompt, tokens: tokens}
	time.AfterFunc(e.config.HandleTTL, func() { e.evict(handle) })
	e.mutex.Unlock()
	reply(w, engine.PrefillResult{Handle: handle, Tokens: tokens, CachedTokens: cached})
}

// read waits for the one reader of the engine and then for the work.
func (e *Engine) read(ctx context.Context, work time.Duration) bool {
	select {
	case e.reader <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.reader }()
	e.mutex.Lock()
	work *= time.Duration(e.slowdown)
	e.mutex.Unlock()
	return sleep(ctx, work)
}

func (e *Engine) admit(order engine.PrefillRequest, tokens ident.TokenCount, cancel context.CancelFunc) ident.TokenCount {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.requests[order.Attempt] = &running{state: "prefill", prompt: order.Prompt, cancel: cancel}
	e.ordered += tokens
	cached := ident.TokenCount(0)
	for _, prompt := range e.cache {
		cached = max(cached, CountTokens(commonPrefix(prompt, order.Prompt)))
	}
	e.cache = append(e.cache, order.Prompt)
	if len(e.cache) > e.config.MaxCachedPrompts {
		e.cache = e.cache[1:]
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
	held, ok := e.kv[handle]
	delete(e.kv, handle)
	e.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	reply(w, engine.PrefillRequest{Prompt: held.prompt})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.ImportRequest
	if !readOrder(w, r, &order) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !e.reserve(order.Attempt, cancel) {
		cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prompt, status := e.fetch(ctx, order)
	if status != http.StatusOK {
		e.drop(order.Attempt)
		w.WriteHeader(status)
		return
	}
	e.mutex.Lock()
	if held, ok := e.requests[order.Attempt]; ok {
		held.state = "imported"
		held.prompt = prompt
	}
	e.mutex.Unlock()
}

func (e *Engine) reserve(attempt ident.AttemptID, cancel context.CancelFunc) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.requests) >= e.config.Slots {
		return false
	}
	e.requests[attempt] = &running{state: "import", cancel: cancel}
	return true
}

func (e *Engine) fetch(ctx context.Context, order engine.ImportRequest) (prompt string, status int) {
	e.mutex.Lock()
	stalled := e.stalled
	e.mutex.Unlock()
	if stalled {
		<-ctx.Done()
		return "", http.StatusConflict
	}
	source := "http://" + string(order.Source) + "/engine/export/" + string(order.Handle)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return "", http.StatusBadRequest
	}
	response, err := e.config.HTTP.Do(request)
	if err != nil {
		return "", http.StatusGone
	}
	defer func() { _ = response.Body.Close() }()
	var held engine.PrefillRequest
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&held) != nil {
		return "", http.StatusGone
	}
	if !sleep(ctx, time.Duration(CountTokens(held.Prompt))*e.config.TransferPerToken) {
		return "", http.StatusConflict
	}
	return held.Prompt, http.StatusOK
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.DecodeRequest
	if !readOrder(w, r, &order) {
		return
	}
	e.mutex.Lock()
	held, ok := e.requests[order.Attempt]
	if ok {
		held.state = "decode"
	}
	e.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	if strings.Contains(held.prompt, PoisonMarker) {
		e.fail()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, order, held)
}

// stream generates to the end even when nobody reads, until it is cancelled.
func (e *Engine) stream(w http.ResponseWriter, order engine.DecodeRequest, held *running) {
	defer e.drop(order.Attempt)
	total := min(OutputLength(held.prompt), order.MaxTokens)
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for position := order.StartPosition; position < total; position++ {
		if !e.step(order.Attempt) {
			panic(http.ErrAbortHandler)
		}
		_ = encoder.Encode(engine.Token{Position: position, Text: TokenText(held.prompt, position)})
		_ = controller.Flush()
	}
	_ = encoder.Encode(engine.Token{Position: total, Finish: "stop"})
}

// step waits for one decode step; it reports whether the attempt still runs.
func (e *Engine) step(attempt ident.AttemptID) bool {
	e.mutex.Lock()
	span := (e.config.StepBase + time.Duration(len(e.requests))*e.config.StepPerRequest) * time.Duration(e.slowdown)
	e.mutex.Unlock()
	for {
		time.Sleep(span)
		e.mutex.Lock()
		_, ok := e.requests[attempt]
		goesOn, silent := ok && !e.crashed, e.silent
		e.mutex.Unlock()
		if !goesOn || !silent {
			return goesOn
		}
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.CancelRequest
	if !readOrder(w, r, &order) {
		return
	}
	if e.loseCancel() {
		panic(http.ErrAbortHandler)
	}
	e.drop(order.Attempt)
	e.mutex.Lock()
	delete(e.kv, engine.KVHandle(order.Attempt))
	e.mutex.Unlock()
}

func (e *Engine) drop(attempt ident.AttemptID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if held, ok := e.requests[attempt]; ok {
		held.cancel()
		delete(e.requests, attempt)
	}
}

func readOrder(w http.ResponseWriter, r *http.Request, order any) bool {
	if err := json.NewDecoder(r.Body).Decode(order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
