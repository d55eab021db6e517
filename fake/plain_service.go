package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one execution of a call by a plain service.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// FencingToken is the header of that name, empty if there was none.
	FencingToken string `json:"fencing-token"`
}

// PlainServiceConfig configures a Plain service.
type PlainServiceConfig struct {
	// ExecutionTime is the time that each call takes before it has its effect.
	ExecutionTime time.Duration
	// ResponseDelay is the time between the effect and the answer.
	ResponseDelay time.Duration
}

// PlainService is a stand-in for a plain service: it counts its runs and is free to
// run a call twice, as a service without idempotency does.
type PlainService struct {
	config PlainServiceConfig
	mutex  sync.Mutex
	runs   []Run
}

// NewPlainService returns a service that has run nothing yet.
func NewPlainService(config PlainServiceConfig) *PlainService { return &PlainService{config: config} }

// Runs returns every call that the service executed.
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
