package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/gossip"
)

// NewHandler serves the processes that serve callers.
func NewHandler(k *Keeper, b *gossip.Hub) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, ReservePath, answer(func(ctx context.Context, ask ReserveRequest) ReserveResponse {
		a := k.Reserve(ctx, ask)
		k.Log.Info("place asked for", "request", ask.Attempt, "granted", a.Granted, "prompt", ask.Prompt,
			"output", ask.Output.Median, "spread", ask.Output.Spread, "urgency", ask.Urgency, "free", a.Headroom, "used", a.Used,
			"running", a.Running, "waiting", a.Waiting, "expected-wait", a.ExpectedWait, "report-age", a.ReportAge, "down", a.Down)
		return a
	}))
	router.HandlerFunc(http.MethodPost, PrefillPath, answer(func(ctx context.Context, turn PrefillRequest) PrefillResponse {
		a := k.SchedulePrefill(ctx, turn)
		k.Log.Info("turn asked for", "request", turn.Attempt, "granted", a.Granted, "tokens", turn.Tokens,
			"ahead", a.Backlog, "wait", turn.MaxWait, "pace", a.Slowdown, "own", turn.Local, "stall", turn.MaxStall, "down", a.Down)
		return a
	}))
	router.HandlerFunc(http.MethodPost, StagePath, answer(func(ctx context.Context, order StageRequest) StageResponse {
		a := k.ChangeStage(ctx, order)
		k.Log.Info("change of stage asked for", "endpoint", order.Endpoint, "born", order.StartMillis, "stage", order.Stage,
			"want", order.TargetPrefill, "taken", a.Accepted, "why", a.Reason)
		return a
	}))
	router.HandlerFunc(http.MethodPost, ReleasePath, answer(func(_ context.Context, release ReleaseRequest) struct{} {
		k.Release(release.Attempt)
		return struct{}{}
	}))
	router.HandlerFunc(http.MethodPost, GossipPath, answer(func(_ context.Context, bulletin gossip.Message) *gossip.Message {
		return b.Exchange(&bulletin, time.Now())
	}))
	return router
}

// answer decodes a message, has it answered and encodes the reply.
func answer[Message, Reply any](do func(context.Context, Message) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message Message
		if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
			http.Error(w, "the message cannot be read", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The peer may be gone already; it then has no use for the answer.
		_ = json.NewEncoder(w).Encode(do(r.Context(), message))
	}
}
