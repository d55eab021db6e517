package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one execution of a call by a PlainService.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// FencingToken is the value of the Fencing-Token header, or empty without one.
	FencingToken string `json:"fencing-token"`
}

// PlainServiceConfig configures a PlainService.
type PlainServiceConfig struct {
	// ExecutionTime is the time from a call's arrival to its effect.
	ExecutionTime time.Duration
	// ResponseDelay is the time from the effect to the response.
	ResponseDelay time.Duration
}

// PlainService is a fake plain service that records its runs. Like a service without
// idempotency, it executes a repeated call again.
type PlainService struct {
	config PlainServiceConfig
	mutex  sync.Mutex
	runs   []Run
}

// NewPlainService returns a service without runs.
func NewPlainService(config PlainServiceConfig) *PlainService { return &PlainService{config: config} }

// Runs returns all executed calls in order.
func (p *PlainService) Runs() []Run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]Run(nil), p.runs...)
}

// Handler returns the service's HTTP interface.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand-in/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Runs()) })
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(p.config.ExecutionTime)
	p.mutex.Lock()
	p.runs = append(p.runs, Run{Method: r.Method, Path: r.URL.Path, Body: string(body), FencingToken: r.Header.Get("Fencing-Token")})
	count := len(p.runs)
	p.mutex.Unlock()
	time.Sleep(p.config.ResponseDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int{"run": count})
}
