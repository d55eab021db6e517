package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"crocusstep/fault"
	"crocusstep/intake"
	"crocusstep/wire"
)

// maxRequestBytes is the size limit of a request body.
const maxRequestBytes = 8 << 20

// decodedFactor is how much memory a byte of a request takes once it is decoded, beside that of the
// body.
const decodedFactor = 2

// Handler returns the agent's peer API. It rejects requests that are not signed
// by a process of the router.
func (a *Agent) Handler() http.Handler {
	router := httprouter.New()
	router.POST(wire.ReservePrefillPath, authenticated(a, a.serveReservePrefill))
	router.POST(wire.ReserveDecodePath, authenticated(a, a.serveReserveDecode))
	router.POST(wire.ReleasePath, authenticated(a, a.serveRelease))
	router.POST(wire.PrefillPath, authenticated(a, a.servePrefill))
	router.POST(wire.DecodePath, authenticated(a, a.serveDecode))
	router.POST(wire.CallPath, authenticated(a, a.serveCall))
	router.POST(wire.LoadPath, authenticated(a, a.serveLoad))
	return router
}

// authenticated verifies and decodes a request before it is served.
func authenticated[Request any](a *Agent, serve func(http.ResponseWriter, *http.Request, Request)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := intake.ReadBody(w, r, maxRequestBytes)
		if err != nil {
			w.WriteHeader(statusOfBody(err))
			return
		}
		if err := a.config.Keyring.Verify(r, body, time.Now()); err != nil {
			a.Log.Warn("rejected a request without a valid signature", "path", r.URL.Path, "error", err)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if err := intake.Hold(r, decodedFactor*int64(len(body))); err != nil {
			w.WriteHeader(statusOfBody(err))
			return
		}
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		serve(w, r, request)
	}
}

// statusOfBody returns the status of a request that is not read or decoded.
func statusOfBody(err error) int {
	if errors.Is(err, intake.ErrOverloaded) {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestEntityTooLarge
}

func (a *Agent) serveReservePrefill(w http.ResponseWriter, r *http.Request, request wire.ReservePrefillRequest) {
	err := a.reservePrefill(r.Context(), request)
	writeJSON(w, wire.Response{Load: a.load(), Fault: a.chatRefusal(r.Context(), err)})
}

func (a *Agent) serveReserveDecode(w http.ResponseWriter, r *http.Request, request wire.ReserveDecodeRequest) {
	err := a.reserveDecode(r.Context(), request)
	writeJSON(w, wire.Response{Load: a.load(), Fault: a.chatRefusal(r.Context(), err)})
}

func (a *Agent) serveRelease(w http.ResponseWriter, _ *http.Request, request wire.ReleaseRequest) {
	a.release(request)
	writeJSON(w, wire.Response{Load: a.load()})
}

func (a *Agent) servePrefill(w http.ResponseWriter, r *http.Request, request wire.PrefillRequest) {
	result, err := a.prefill(r.Context(), request)
	writeJSON(w, wire.PrefillResponse{
		Load:   a.load(),
		Fault:  a.chatRefusal(r.Context(), err),
		Source: a.config.EndpointAddress,
		Result: result,
	})
}

func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request, request wire.CallRequest) {
	response, err := a.call(r.Context(), request)
	response.Load = a.load()
	response.Fault = refusalOf(err)
	writeJSON(w, response)
}

func (a *Agent) serveLoad(w http.ResponseWriter, _ *http.Request, _ struct{}) {
	writeJSON(w, wire.Response{Load: a.load()})
}

// serveDecode streams frames. Keep-alive frames keep the stream from timing out
// during the KV transfer.
func (a *Agent) serveDecode(w http.ResponseWriter, r *http.Request, request wire.DecodeRequest) {
	stream := newFrameWriter(w)
	var tasks conc.WaitGroup
	done := make(chan struct{})
	tasks.Go(func() { stream.keepAlive(request.Info, done) })
	err := a.decode(r.Context(), request, stream.send)
	close(done)
	tasks.Wait()
	if err == nil {
		return
	}
	load := a.load()
	a.Log.Info("decode failed", "request", request.Info.Request, "attempt", request.Info.Attempt, "error", err)
	_ = stream.send(wire.Frame{
		Request: request.Info.Request,
		Attempt: request.Info.Attempt,
		Kind:    wire.FaultFrame,
		Fault:   a.chatRefusal(r.Context(), err),
		Load:    &load,
	})
}

// chatRefusal converts an error of a step of a chat. If the agent itself has cancelled it, as its
// process stops, the entry goes on at another endpoint.
func (a *Agent) chatRefusal(ctx context.Context, err error) *fault.Refusal {
	if err != nil && errors.Is(context.Cause(ctx), fault.ErrGraceEnded) {
		return a.drainingRefusal()
	}
	return refusalOf(err)
}

func refusalOf(err error) *fault.Refusal {
	if err == nil {
		return nil
	}
	var refusal *fault.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return fault.NewUnknown(fault.EndpointFailed, "%v", err)
}

func writeJSON(w http.ResponseWriter, value any) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(value); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes())
}
