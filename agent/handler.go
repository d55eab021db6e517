package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"crocusstep/fault"
	"crocusstep/wire"
)

// maxOrder is the longest order of an entry, in bytes.
const maxOrder = 8 << 20

// Handler returns the agent's peer interface. Only orders signed by our own
// processes reach a helper.
func (a *Agent) Handler() http.Handler {
	router := httprouter.New()
	router.POST(wire.ReservePrefillPath, ordered(a, a.serveTurn))
	router.POST(wire.ReserveDecodePath, ordered(a, a.serveReserve))
	router.POST(wire.ReleasePath, ordered(a, a.serveRelease))
	router.POST(wire.PrefillPath, ordered(a, a.servePrefill))
	router.POST(wire.DecodePath, ordered(a, a.serveDecode))
	router.POST(wire.CallPath, ordered(a, a.serveCall))
	router.POST(wire.LoadPath, ordered(a, a.serveLoad))
	return router
}

// ordered checks and decodes an order before it is served.
func ordered[Order any](a *Agent, serve func(http.ResponseWriter, *http.Request, Order)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if err := a.config.Keyring.Verify(r, body, time.Now()); err != nil {
			a.Log.Warn("an order was refused", "path", r.URL.Path, "error", err)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		var order Order
		if err := json.Unmarshal(body, &order); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		serve(w, r, order)
	}
}

func (a *Agent) serveTurn(w http.ResponseWriter, r *http.Request, order wire.ReservePrefillRequest) {
	err := a.turn(r.Context(), order)
	answer(w, wire.Response{Load: a.load(), Fault: refusalOf(err)})
}

func (a *Agent) serveReserve(w http.ResponseWriter, r *http.Request, order wire.ReserveDecodeRequest) {
	err := a.reserve(r.Context(), order)
	answer(w, wire.Response{Load: a.load(), Fault: refusalOf(err)})
}

func (a *Agent) serveRelease(w http.ResponseWriter, _ *http.Request, order wire.ReleaseRequest) {
	a.release(order)
	answer(w, wire.Response{Load: a.load()})
}

func (a *Agent) servePrefill(w http.ResponseWriter, r *http.Request, order wire.PrefillRequest) {
	result, err := a.prefill(r.Context(), order)
	answer(w, wire.PrefillResponse{
		Load:   a.load(),
		Fault:  refusalOf(err),
		Source: a.config.EndpointAddress,
		Result: result,
	})
}

func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request, order wire.CallRequest) {
	reply, err := a.call(r.Context(), order)
	reply.Load = a.load()
	reply.Fault = refusalOf(err)
	answer(w, reply)
}

func (a *Agent) serveLoad(w http.ResponseWriter, _ *http.Request, _ struct{}) {
	answer(w, wire.Response{Load: a.load()})
}

// serveDecode streams frames. Idle frames keep the stream from looking dead
// while the KV cache is on its way.
func (a *Agent) serveDecode(w http.ResponseWriter, r *http.Request, order wire.DecodeRequest) {
	stream := newFrameWriter(w)
	var tasks conc.WaitGroup
	done := make(chan struct{})
	tasks.Go(func() { stream.keepAlive(order.Info, done) })
	err := a.decode(r.Context(), order, stream.send)
	close(done)
	tasks.Wait()
	if err == nil {
		return
	}
	load := a.load()
	a.Log.Info("a decode failed", "request", order.Info.Request, "attempt", order.Info.Attempt, "error", err)
	_ = stream.send(wire.Frame{
		Request: order.Info.Request,
		Attempt: order.Info.Attempt,
		Kind:    wire.FaultFrame,
		Fault:   refusalOf(err),
		Load:    &load,
	})
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

func answer(w http.ResponseWriter, value any) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(value); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes())
}
