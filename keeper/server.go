package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/gossip"
	"crocusstep/intake"
	"crocusstep/quota"
)

// decodedFactor is how much memory a byte of a message takes once it is decoded, beside that of the
// body.
const decodedFactor = 2

// NewHandler returns the handler of the keeper's calls.
func NewHandler(k *Keeper, h *gossip.Hub) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, ReservePath, handle(func(ctx context.Context, request ReserveRequest) ReserveResponse {
		response := k.Reserve(ctx, request)
		k.Log.With(k.orderFields(request.Order)...).Info("place asked for", "request", request.Attempt, "granted", response.Granted, "prompt", request.Prompt,
			"output", request.Output.Median, "spread", request.Output.Spread, "urgency", request.Urgency,
			"free", response.Headroom, "used", response.Used, "running", response.Running, "waiting", response.Waiting,
			"expected-wait", response.ExpectedWait, "report-age", response.ReportAge, "step", response.StepTime, "down", response.Down)
		return response
	}))
	router.HandlerFunc(http.MethodPost, PrefillPath, handle(func(ctx context.Context, request PrefillRequest) PrefillResponse {
		response := k.SchedulePrefill(ctx, request)
		k.Log.With(k.orderFields(request.Order)...).Info("turn asked for", "request", request.Attempt, "granted", response.Granted, "tokens", request.Tokens,
			"ahead", response.Backlog, "wait", request.MaxWait, "pace", response.Slowdown, "own", request.Local,
			"stall", request.MaxStall, "down", response.Down)
		return response
	}))
	router.HandlerFunc(http.MethodPost, PermitPath, handle(func(_ context.Context, request PermitRequest) PermitResponse {
		response := k.Permit(request)
		k.Log.Info("permit requested", "endpoint", request.Endpoint, "limit", request.Limit, "granted", response.Granted,
			"wait", response.Wait, "max-wait", request.MaxWait)
		return response
	}))
	router.HandlerFunc(http.MethodPost, QuotaPath, handle(func(_ context.Context, request QuotaRequest) quota.Response {
		response := k.Quota(request)
		k.Log.Info("quota requested", "workspace", request.Workspace, "need", request.Need, "extra", request.Extra,
			"emergency", request.Emergency, "granted", response.Granted, "level", response.Level, "wait", response.Wait,
			"retry-after", response.RetryAfter, "table", response.Version, "restarted", response.Restarted,
			"view-age", request.ViewAge, "changed", request.Changed, "unused", len(request.Unused))
		return response
	}))
	router.HandlerFunc(http.MethodPost, OriginPath, handle(func(_ context.Context, request OriginRequest) OriginResponse { return k.Origin(request) }))
	router.HandlerFunc(http.MethodPost, LoadPath, handle(k.Load))
	router.HandlerFunc(http.MethodPost, StagePath, handle(func(ctx context.Context, request StageRequest) StageResponse {
		response := k.ChangeStage(ctx, request)
		k.Log.Info("stage change requested", "endpoint", request.Endpoint, "born", request.StartMillis, "stage", request.Stage,
			"want", request.TargetPrefill, "taken", response.Accepted, "why", response.Reason)
		return response
	}))
	router.HandlerFunc(http.MethodPost, ReleasePath, handle(func(_ context.Context, request ReleaseRequest) struct{} {
		k.Release(request)
		return struct{}{}
	}))
	router.HandlerFunc(http.MethodPost, GossipPath, handle(func(_ context.Context, message gossip.Message) *gossip.Message {
		return h.Exchange(&message, time.Now())
	}))
	return router
}

// handle adapts a function from request to response to an HTTP handler of JSON bodies.
func handle[Request, Response any](do func(context.Context, Request) Response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := intake.ReadBody(w, r, maxMessageBytes)
		if err == nil {
			err = intake.Hold(r, decodedFactor*int64(len(body)))
		}
		if errors.Is(err, intake.ErrOverloaded) {
			http.Error(w, "other messages have used up the memory", http.StatusServiceUnavailable)
			return
		}
		var request Request
		if err == nil {
			err = json.Unmarshal(body, &request)
		}
		if err != nil {
			http.Error(w, "the message cannot be read", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(do(r.Context(), request))
	}
}
