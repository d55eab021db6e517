package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/docset"
	"crocusstep/fault"
	"crocusstep/ident"
)

// doubtRetry is when to come back for a service whose document is in doubt.
const doubtRetry = 2 * time.Second

// requestHeader carries the request id back to the caller.
const requestHeader = "X-Request-Id"

// Handler returns the callers' interface. It has no internal route.
func (e *Entry) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.tagged(e.serveChat))
	router.GET("/v1/models", e.tagged(e.serveModels))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, "/services/:service/*path", e.tagged(e.serveCall))
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault.WriteProblem(w, fault.New(fault.UnknownRoute, "there is nothing at %s", r.URL.Path), "")
	})
	return router
}

// handler serves one request under its id.
type handler func(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params)

// tagged gives each request the id that stands in every log line about it.
func (e *Entry) tagged(next handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		request := ident.NewRequestID()
		w.Header().Set(requestHeader, string(request))
		next(w, r, request, params)
	}
}

// readBody reads a caller's body within the limits of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *fault.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.SlowClient, "the body did not arrive within %s", e.config.BodyTimeout)
	}
	return nil, fault.New(fault.BadRequest, "the body could not be read: %v", err)
}

// find returns a service's document in force.
func (e *Entry) find(service ident.ServiceName) (docset.Entry, *fault.Refusal) {
	if !e.docs.Loaded() {
		return docset.Entry{}, fault.New(fault.DocumentsNotLoaded, "this entry has just started").After(time.Second)
	}
	found, standing := e.docs.Find(service)
	switch standing {
	case docset.Absent:
		return docset.Entry{}, fault.New(fault.UnknownService, "there is no service %q", service)
	case docset.Doubtful:
		return docset.Entry{}, fault.New(fault.DocumentDoubtful, "a change of %q cannot be confirmed", service).After(e.spread(doubtRetry))
	}
	return found, nil
}

func (e *Entry) refuse(w http.ResponseWriter, request ident.RequestID, refusal *fault.Refusal) {
	e.Log.Info("refused", "request", request, "code", refusal.Code, "outcome", refusal.Outcome, "detail", refusal.Detail)
	fault.WriteProblem(w, refusal, string(request))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
