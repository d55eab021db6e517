package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// seal is the signature of all workers.
	seal = "3e1b.07.5a2.600.0.c9f2a4d1"
	// workTime is the duration of a plain request, prefillTime that of a prefill.
	workTime    = 60 * time.Millisecond
	prefillTime = 60 * time.Millisecond
	// kvTokens is an engine's memory; each stream holds tokensPerRun of it.
	kvTokens     = 101752
	tokensPerRun = 5200
	// poison is in the body of requests that crash each worker that begins to run them.
	poison = "crashes"
)

// worker is one process of a service.
type worker struct {
	*deployment
	id      string
	service string
	// stage is empty for plain services.
	stage   string
	version string
	host    string
	born    int64
	server  *http.Server
	leaving atomic.Bool
	// onPoison is called when a request that crashes workers begins to run; it may be nil.
	onPoison func(w *worker, attempt string)
	// pieces is the number of events of a stream, one each pieceGap.
	pieces   int
	pieceGap time.Duration

	runsMutex sync.Mutex
	runs      map[string]bool
}

// addWorker starts a worker, registers it, and starts its keeper if it is an engine on a new
// machine. The configuration of the worker is taken from w.
func (d *deployment) addWorker(w *worker) error {
	w.deployment = d
	isNew := w.host == ""
	if isNew {
		w.host = d.newHost()
	}
	d.mutex.Lock()
	d.lastBorn = max(d.lastBorn+1, time.Now().UnixMilli())
	w.born = d.lastBorn
	d.workers = append(d.workers, w)
	d.mutex.Unlock()
	w.id = fmt.Sprintf("i-%x", w.born)
	w.runs = map[string]bool{}
	listener, err := net.Listen("tcp", w.address())
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.register("ready"); err != nil || w.stage == "" || !isNew {
		return err
	}
	return d.addKeeper(w.host)
}

func (w *worker) address() string { return fmt.Sprintf("%s:%d", w.host, workerPort) }

// register writes the worker's entry.
func (w *worker) register(state string) error {
	return w.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address(), "zone": zone, "version": w.version, "slots": 64, "state": state,
		"coldLeftMs": 0, "stage": w.stage, "seqNum": 1, "born": w.born,
	})
}

// stop ends the worker's process: all its connections are closed.
func (w *worker) stop() { _ = w.server.Close() }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if w.leaving.Load() {
		out.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/-/report":
		w.serveReport(out)
		return
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	out.Header().Set("X-Attempt-Id", attempt)
	if r.Header.Get("X-Expect-Instance") != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch w.stage {
	case "":
		w.servePlain(out, r, attempt, body)
	case "prefill":
		w.servePrefill(out, attempt)
	default:
		w.serveStream(out, r, attempt)
	}
}

func (w *worker) servePlain(out http.ResponseWriter, r *http.Request, attempt string, body []byte) {
	if w.onPoison != nil && bytes.Contains(body, []byte(poison)) {
		w.onPoison(w, attempt)
		<-r.Context().Done()
		return
	}
	time.Sleep(workTime)
	out.Header().Set("X-Server-Seal", seal)
	_, _ = io.WriteString(out, "filed "+attempt)
}

func (w *worker) servePrefill(out http.ResponseWriter, attempt string) {
	time.Sleep(prefillTime)
	handle := "h" + attempt
	w.deployment.mutex.Lock()
	w.handles[handle] = attempt
	w.deployment.mutex.Unlock()
	writeJSON(out, map[string]any{"kvHandle": handle, "tokens": tokensPerRun, "version": 1})
}

// takeHandle takes a handle once.
func (d *deployment) takeHandle(handle string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := d.handles[handle]
	delete(d.handles, handle)
	return found
}

func (w *worker) serveReport(out http.ResponseWriter) {
	w.runsMutex.Lock()
	runs := [][]any{}
	for attempt := range w.runs {
		runs = append(runs, []any{attempt, tokensPerRun, 1, 5})
	}
	w.runsMutex.Unlock()
	writeJSON(out, map[string]any{
		"stage": w.stage, "models": []any{}, "busy": false, "seqNum": 0, "waiting": 0, "running": len(runs), "born": w.born,
		"kvUsed": len(runs) * tokensPerRun, "kvTotal": kvTokens, "kvHandles": 0, "runs": runs,
	})
}

func (w *worker) setRunning(attempt string, running bool) {
	w.runsMutex.Lock()
	defer w.runsMutex.Unlock()
	if running {
		w.runs[attempt] = true
	} else {
		delete(w.runs, attempt)
	}
}

// serveStream sends the pieces after Last-Event-Id. Each names the software that made it.
func (w *worker) serveStream(out http.ResponseWriter, r *http.Request, attempt string) {
	if _, handle, found := strings.Cut(r.Header.Get("X-Kv-Source"), "/"); found && !w.takeHandle(handle) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.add("worker %s (%s) runs %s from piece %d", w.id, w.version, attempt, last+1)
	w.setRunning(attempt, true)
	defer w.setRunning(attempt, false)
	out.Header().Set("X-Server-Seal", seal)
	out.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= w.pieces; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.pieceGap):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, w.version); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
}

func writeJSON(out http.ResponseWriter, value any) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(value)
}
