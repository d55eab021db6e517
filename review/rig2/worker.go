package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat       = 1200 * time.Millisecond
	stageSwitch     = 2 * time.Second
	prefillRate     = 55 // tokens in a millisecond
	engineCapacity  = 101752
	engineSlots     = 64
	tokensPerEvent  = 61
	expectHeader    = "X-Expect-Instance"
	attemptIDHeader = "X-Attempt-Id"
)

// workerConfig says what a worker is.
type workerConfig struct {
	id, service, version, stage, zone, address string
	slots                                      int
	// events is the number of events of each stream, and interval the time between two.
	events   int
	interval time.Duration
}

// worker is a stand-in of a model worker, or of a worker of a plain service, if it has no stage.
type worker struct {
	workerConfig
	system *system
	born   int64
	server *http.Server

	mutex sync.Mutex
	// changing is set while an order is carried out.
	changing bool
	orders   int
	beats    int
	state    string
	// handles maps each KV handle to the request whose prompt it holds.
	handles map[string]string
	// runs holds the tokens of each request in the engine.
	runs map[string]int
	// leaving is set once the worker says in all its answers that it leaves. It writes no entry any more.
	leaving bool
	// arrivals holds the requests that have arrived.
	arrivals []arrival
	// ended is closed when the worker has ended.
	ended chan struct{}
}

// arrival is a request that has arrived at a worker.
type arrival struct {
	id string
	at time.Time
}

// startWorker starts a worker and registers it.
func startWorker(s *system, config workerConfig) (*worker, error) {
	listener, err := net.Listen("tcp", config.address)
	if err != nil {
		return nil, err
	}
	w := &worker{workerConfig: config, system: s, born: time.Now().UnixMilli(), state: "ready", handles: map[string]string{}, runs: map[string]int{}, ended: make(chan struct{})}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	w.beat()
	go func() { _ = w.server.Serve(listener) }()
	go w.keepRegistered()
	return w, nil
}

// leave makes the worker leave without a report: it says so in its answers, its entry is removed, and it
// serves on.
func (w *worker) leave() {
	w.mutex.Lock()
	w.leaving = true
	w.mutex.Unlock()
	w.system.store.remove("servers", w.id)
}

// restart ends the worker at once and starts it again after a pause, under its id, with another software.
func (w *worker) restart(pause time.Duration, version string) (*worker, error) {
	w.end()
	time.Sleep(pause)
	config := w.workerConfig
	config.version = version
	next, err := startWorker(w.system, config)
	if err != nil {
		return nil, err
	}
	w.system.mutex.Lock()
	defer w.system.mutex.Unlock()
	w.system.workers[config.address] = next
	return next, nil
}

// end ends the worker's process.
func (w *worker) end() {
	close(w.ended)
	_ = w.server.Close()
}

func (w *worker) keepRegistered() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.ended:
			return
		case <-ticker.C:
			w.beat()
		}
	}
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leaving {
		return
	}
	w.beats++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots,
		"state": w.state, "coldLeftMs": 0, "seqNum": w.beats, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	w.system.store.put("servers", w.id, entry)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get(expectHeader); expected != "" && expected != w.id {
		w.reject(out, r, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		w.report(out)
	case r.URL.Path == "/-/order":
		w.order(out, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		w.free(strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
	case r.Header.Get(attemptIDHeader) == "":
		w.reject(out, r, http.StatusBadRequest)
	case w.stage == "" && w.events > 0:
		w.stream(out, r, r.Header.Get(attemptIDHeader), 0)
	case w.stage == "":
		w.call(out, r)
	default:
		w.serveModel(out, r)
	}
}

func (w *worker) isLeaving() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaving
}

// call runs a request of a plain service.
func (w *worker) call(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptIDHeader)
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, arrival{id: id, at: time.Now()})
	w.mutex.Unlock()
	w.system.note("%s runs %s", w.id, id)
	select {
	case <-time.After(w.interval):
	case <-w.ended:
		w.system.note("%s ends while it runs %s", w.id, id)
		panic(http.ErrAbortHandler)
	}
	w.sign(out, r)
	_, _ = io.WriteString(out, "answer to "+id)
}

// reject responds that the request is not run.
func (w *worker) reject(out http.ResponseWriter, r *http.Request, status int) {
	out.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
	out.Header().Set("X-Instance-Id", w.id)
	out.Header().Set("X-Not-Executed", "1")
	if w.isLeaving() {
		out.Header().Set("Server-Leaving", "1")
	}
	out.WriteHeader(status)
}

// sign sets the headers of a response that the worker has made.
func (w *worker) sign(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
	out.Header().Set("X-Server-Seal", w.id+".seal")
	if w.isLeaving() {
		out.Header().Set("Server-Leaving", "1")
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mutex.Lock()
	runs, used := [][]any{}, 0
	for id, tokens := range w.runs {
		runs = append(runs, []any{id, tokens, 0, 5})
		used += tokens
	}
	answer := map[string]any{
		"stage": w.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": w.changing,
		"seqNum": w.orders, "waiting": 0, "running": len(runs), "kvUsed": used, "kvTotal": engineCapacity, "kvHandles": len(w.handles),
		"state": w.state, "nextToken": 0, "runs": runs, "born": w.born,
	}
	w.mutex.Unlock()
	sendJSON(out, answer)
}

// order changes the stage.
func (w *worker) order(out http.ResponseWriter, body []byte) {
	var o struct {
		Op       string `json:"opCode"`
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Fence    *int64 `json:"fence"`
		Expected *int   `json:"expected"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Op != "stage" || o.Holder == "" || o.Fence == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case o.Stage == w.stage:
	case w.changing || o.Expected != nil && *o.Expected != w.orders:
		out.WriteHeader(http.StatusConflict)
	default:
		w.changing = true
		w.orders++
		w.system.note("%s changes its stage to %s", w.id, o.Stage)
		time.AfterFunc(stageSwitch, func() {
			w.mutex.Lock()
			w.stage, w.changing = o.Stage, false
			w.mutex.Unlock()
			w.beat()
		})
		out.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) free(handle string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.handles, handle)
}

// take consumes a handle and reports whether it held the prompt of the request.
func (w *worker) take(handle, attempt string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	owner, found := w.handles[handle]
	delete(w.handles, handle)
	return found && owner == attempt
}

func (w *worker) serveModel(out http.ResponseWriter, r *http.Request) {
	w.mutex.Lock()
	stage, changing := w.stage, w.changing
	w.mutex.Unlock()
	isPrefill := r.Header.Get("X-Serving-Stage") == "prefill"
	switch {
	case changing:
		w.reject(out, r, http.StatusServiceUnavailable)
		return
	case isPrefill != (stage == "prefill"):
		w.reject(out, r, http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get(attemptIDHeader)
	count, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(count)
	if isPrefill {
		time.Sleep(time.Duration(tokens/prefillRate) * time.Millisecond)
		handle := randomID()
		w.mutex.Lock()
		w.handles[handle] = attempt
		w.mutex.Unlock()
		out.Header().Set(attemptIDHeader, attempt)
		sendJSON(out, map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
		return
	}
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		address, handle, _ := strings.Cut(source, "/")
		if holder := w.system.workerAt(address); holder == nil || !holder.take(handle, attempt) {
			w.reject(out, r, http.StatusServiceUnavailable)
			return
		}
	}
	w.stream(out, r, attempt, tokens)
}

// stream sends the events after the one that the request names. The text depends on the request's path
// and on the version of the worker's software.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, attempt string, tokens int) {
	w.mutex.Lock()
	w.runs[attempt] = tokens
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.runs, attempt)
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.system.note("%s (%s, software %s) runs %s (%s) from event %d", w.id, w.service, w.version, attempt, r.URL.Path, last+1)
	w.sign(out, r)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(out)
	for id := last + 1; id <= w.events; id++ {
		select {
		case <-r.Context().Done():
			w.system.note("%s stops %s before event %d", w.id, attempt, id)
			return
		case <-w.ended:
			// The connection breaks off without the end of the response.
			panic(http.ErrAbortHandler)
		case <-time.After(w.interval):
		}
		if _, err := io.WriteString(out, eventText(r.URL.Path, w.version, id)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		w.mutex.Lock()
		w.runs[attempt] += tokensPerEvent
		w.mutex.Unlock()
	}
}

// eventText returns an event of the text that a version of the software makes for a path.
func eventText(path, version string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s software %s piece %d\n\n", id, path, version, id)
}

func randomID() string {
	buffer := make([]byte, 8)
	_, _ = rand.Read(buffer) // crypto/rand.Read never fails.
	return hex.EncodeToString(buffer)
}
