package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"crocusstep/platform/double"
)

// beginTime is the time between the begin of an answer and the crash.
const beginTime = 20 * time.Millisecond

// Run is a request that reached a worker.
type Run struct {
	At      time.Time
	Worker  string
	Attempt string
	Path    string
	// Crashed is set if the run crashed the worker.
	Crashed bool
}

// PlainWorker is a worker of the plain service. It can crash, and starts again under another id.
type PlainWorker struct {
	Host string
	// Crashes reports whether a request crashes the worker. It may be nil.
	Crashes func(*http.Request) bool
	// AnswerBegins makes the worker crash once it has sent the head and a part of its answer.
	AnswerBegins bool
	// DownTime is how long the worker is down after a crash.
	DownTime time.Duration
	// WorkTime is the duration of a run.
	WorkTime time.Duration

	rig   *Rig
	mutex sync.Mutex
	name  string
	born  int64
	count int
	conns map[net.Conn]bool
	// server is nil while the worker is down.
	server *http.Server
	runs   []Run
	// active holds the attempts that run, broken those of other requests that a crash broke off.
	active, broken map[string]bool
}

// NewPlainWorker returns a worker that is not started.
func (r *Rig) NewPlainWorker() *PlainWorker {
	return &PlainWorker{Host: r.NewHost(), rig: r, DownTime: 2 * time.Second, WorkTime: 60 * time.Millisecond, active: map[string]bool{}, broken: map[string]bool{}}
}

// Address returns the worker's address.
func (w *PlainWorker) Address() string {
	return net.JoinHostPort(w.Host, strconv.Itoa(w.rig.ports.worker))
}

// Start starts an incarnation and registers it.
func (w *PlainWorker) Start() error {
	listener, err := net.Listen("tcp", w.Address())
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.count++
	w.born = time.Now().UnixMilli()
	w.name = fmt.Sprintf("i-%s-%d", w.Host, w.count)
	name := w.name
	w.conns = map[net.Conn]bool{}
	w.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) { w.serve(name, response, request) })}
	server := w.server
	w.mutex.Unlock()
	go func() { _ = server.Serve(&trackedListener{Listener: listener, worker: w}) }()
	w.rig.Record("worker %s started", name)
	return w.rig.Store.Put("servers", name, map[string]any{
		"service": double.PlainService, "address": w.Address(), "zone": zoneName, "slots": 6, "state": "ready", "stage": "",
		"born": w.born, "version": "1", "coldLeftMs": 0, "seqNum": 1,
	})
}

type trackedListener struct {
	net.Listener
	worker *PlainWorker
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.worker.mutex.Lock()
		l.worker.conns[c] = true
		l.worker.mutex.Unlock()
	}
	return c, err
}

// crash resets all connections, and starts another incarnation later. The record of the old one
// is removed after three heartbeats.
func (w *PlainWorker) crash(cause string) {
	w.mutex.Lock()
	if w.server == nil {
		w.mutex.Unlock()
		return
	}
	server, name := w.server, w.name
	w.server = nil
	for attempt := range w.active {
		if attempt != cause {
			w.broken[attempt] = true
		}
	}
	w.active = map[string]bool{}
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	w.mutex.Unlock()
	_ = server.Close()
	w.rig.Record("worker %s crashed, running %s", name, cause)
	time.AfterFunc(3*HeartbeatInterval, func() { w.rig.Store.Remove("servers", name) })
	time.AfterFunc(w.DownTime, func() {
		if err := w.Start(); err != nil {
			w.rig.Record("worker %s did not start again: %v", w.Host, err)
		}
	})
}

func (w *PlainWorker) serve(name string, response http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Expect-Instance") != name {
		response.Header().Set("X-Instance-Id", name)
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	crashes := w.Crashes != nil && w.Crashes(r)
	w.mutex.Lock()
	w.runs = append(w.runs, Run{At: time.Now(), Worker: name, Attempt: attempt, Path: r.URL.Path, Crashed: crashes})
	w.active[attempt] = true
	w.mutex.Unlock()
	w.rig.Record("worker %s runs %s %s", name, attempt, r.URL.Path)
	if crashes && !w.AnswerBegins {
		w.crash(attempt)
		return
	}
	time.Sleep(w.WorkTime)
	if crashes {
		beginAnswer(response, attempt)
		w.crash(attempt)
		return
	}
	w.mutex.Lock()
	delete(w.active, attempt)
	w.mutex.Unlock()
	double.WriteResponse(response, r, []byte(double.ResponseBody(attempt)))
}

// beginAnswer sends the head and a part of the body of an answer.
func beginAnswer(w http.ResponseWriter, attempt string) {
	body := []byte(double.ResponseBody(attempt))
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Seal", "seal")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(beginTime)
}

// Runs returns the requests that reached the worker.
func (w *PlainWorker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]Run(nil), w.runs...)
}

// Broken returns the attempts of other requests that crashes broke off.
func (w *PlainWorker) Broken() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.broken)
}

// sortRuns sorts runs by time.
func sortRuns(list []Run) {
	slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
}
