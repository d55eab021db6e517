package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/socket"
	"crocusstep/store"
)

const (
	ownEndpointPort = 28600
	ownDirectPort   = 28601 // an endpoint's own port, without its proxy
	// ownCallTime is the time of a plain call before it takes effect, ownResponseTime that after.
	ownCallTime     = 20 * time.Millisecond
	ownResponseTime = 30 * time.Millisecond
)

// ownEndpoint is a fake engine or plain service behind its proxy, with its agent.
type ownEndpoint struct {
	name  string
	pool  string
	host  string
	agent string
	proxy *proxy
	// engine is nil for a plain service.
	engine *fake.Engine
}

func (e *ownEndpoint) address() string { return fmt.Sprintf("%s:%d", e.host, ownEndpointPort) }

// addOwnEndpoint starts an endpoint and its agent.
func (f *fleet) addOwnEndpoint(ctx context.Context, pool, host string, index int) error {
	e := &ownEndpoint{name: fmt.Sprintf("%s-%d", pool, index), pool: pool, host: host}
	e.agent = "agent-" + e.name
	var handler http.Handler
	if pool == servePool {
		handler = fake.NewPlainService(fake.PlainServiceConfig{ExecutionTime: ownCallTime, ResponseDelay: ownResponseTime}).Handler()
	} else {
		e.engine = fake.NewEngine(fake.DefaultEngineConfig(socket.NewClient()), func() {})
		handler = e.engine.Handler()
	}
	directAddress := fmt.Sprintf("%s:%d", host, ownDirectPort)
	if err := serve(ctx, directAddress, f.own.recorder.record(e, handler)); err != nil {
		return err
	}
	var err error
	if e.proxy, err = newProxy(ctx, e.address(), directAddress); err != nil {
		return err
	}
	f.own.endpoints = append(f.own.endpoints, e)
	if err := f.startAgent(e); err != nil {
		return err
	}
	f.addNode(agentRole, e.agent, fmt.Sprintf("%s:%d", host, agentPort), func() error { return f.startAgent(e) })
	f.own.platform.SetInstance(store.Instance{
		Name: ident.InstanceName(e.agent), Role: store.AgentRole, Address: ident.Address(fmt.Sprintf("%s:%d", host, agentPort)),
		Endpoint: ident.EndpointName(e.name), Pool: ident.PoolName(pool), Region: ownRegion, State: store.Live,
	})
	return nil
}

// ownRecorder records which requests reached which endpoints. It is safe for concurrent use.
type ownRecorder struct {
	mutex     sync.Mutex
	sightings map[string][]sighting
	// attempts maps the attempts at engines to their requests.
	attempts map[ident.AttemptID]string
}

func newOwnRecorder() *ownRecorder {
	return &ownRecorder{sightings: map[string][]sighting{}, attempts: map[ident.AttemptID]string{}}
}

func (r *ownRecorder) of(request string) []sighting {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sightings[request]
}

// record returns a handler that records requests before it passes them on.
func (r *ownRecorder) record(e *ownEndpoint, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if e.engine == nil {
			r.add(path.Base(request.URL.Path), e)
			next.ServeHTTP(w, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if request.URL.Path != "/engine/cancel" {
			r.addAttempt(body, e)
		}
		next.ServeHTTP(w, request)
	})
}

func (r *ownRecorder) add(request string, e *ownEndpoint) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sightings[request] = append(r.sightings[request], sighting{at: time.Now(), endpoint: e.name})
}

// addAttempt records a request to an engine. Only prefills carry the prompt.
func (r *ownRecorder) addAttempt(body []byte, e *ownEndpoint) {
	var call struct {
		Attempt ident.AttemptID `json:"attempt"`
		Prompt  string          `json:"prompt"`
	}
	if json.Unmarshal(body, &call) != nil || call.Attempt == "" {
		return
	}
	r.mutex.Lock()
	if words := strings.Fields(call.Prompt); len(words) > 2 {
		r.attempts[call.Attempt] = words[2]
	}
	request := r.attempts[call.Attempt]
	r.mutex.Unlock()
	r.add(request, e)
}

// chatPrompt returns the prompt of a request whose output has a number of tokens.
func chatPrompt(request string, tokens int) string {
	return fmt.Sprintf("soak %s %s%d", request, fake.LengthMarker, tokens)
}
