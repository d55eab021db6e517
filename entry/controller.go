package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/docset"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/intake"
)

// unconfirmedRetryAfter is the retry delay while a change of the service's
// document can't be confirmed.
const unconfirmedRetryAfter = 2 * time.Second

// requestHeader returns the request ID to the caller.
const requestHeader = "X-Request-Id"

// Handler serves callers. It has no internal routes.
func (e *Entry) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.withRequestID(e.serveChat))
	router.GET("/v1/models", e.withRequestID(e.serveModels))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, "/services/:service/*path", e.withRequestID(e.serveCall))
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault.WriteProblem(w, fault.New(fault.UnknownRoute, "there is nothing at %s", r.URL.Path), "")
	})
	return router
}

// requestHandler handles one request under its ID.
type requestHandler func(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params)

// withRequestID assigns the ID that every log line about the request carries.
func (e *Entry) withRequestID(next requestHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		request := ident.NewRequestID()
		w.Header().Set(requestHeader, string(request))
		next(w, r, request, params)
	}
}

// readBody reads a caller's body within the size and time limits, until the entry stops.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *fault.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.config.BodyTimeout))
	defer context.AfterFunc(r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })()
	body, err := intake.ReadBody(w, r, limit)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	case errors.Is(err, intake.ErrOverloaded):
		return nil, e.refuseForMemory()
	case errors.Is(context.Cause(r.Context()), fault.ErrGraceEnded):
		return nil, fault.New(fault.Draining, "the entry stopped before it had the body").WithRetryAfter(e.withJitter(0))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.SlowClient, "the body did not arrive within %s", e.config.BodyTimeout)
	}
	return nil, fault.New(fault.BadRequest, "the body could not be read: %v", err)
}

// refuseForMemory refuses a request for which there is no memory beside the others.
func (e *Entry) refuseForMemory() *fault.Refusal {
	return fault.New(fault.Overloaded, "%v", intake.ErrOverloaded).WithRetryAfter(e.withJitter(0))
}

// findDocument returns the service's current document.
func (e *Entry) findDocument(service ident.ServiceName) (docset.ActiveDocument, *fault.Refusal) {
	if !e.docs.Loaded() {
		return docset.ActiveDocument{}, fault.New(fault.DocumentsNotLoaded, "this entry has just started").WithRetryAfter(time.Second)
	}
	found, status := e.docs.Find(service)
	switch status {
	case docset.NotFound:
		return docset.ActiveDocument{}, fault.New(fault.UnknownService, "there is no service %q", service)
	case docset.Unconfirmed:
		return docset.ActiveDocument{}, fault.New(fault.DocumentUnconfirmed, "a change of %q cannot be confirmed", service).WithRetryAfter(e.withJitter(unconfirmedRetryAfter))
	}
	return found, nil
}

func (e *Entry) writeRefusal(w http.ResponseWriter, request ident.RequestID, refusal *fault.Refusal) {
	e.Log.Info("refused", "request", request, "code", refusal.Code, "outcome", refusal.Outcome, "detail", refusal.Detail)
	fault.WriteProblem(w, refusal, string(request))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
