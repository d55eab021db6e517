package place

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/news"
)

// NewHandler serves asks and news to the processes that serve callers.
func NewHandler(k *Keeper, b *news.Board) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, AskPath, func(w http.ResponseWriter, r *http.Request) {
		var ask Ask
		if !decode(w, r, &ask) {
			return
		}
		answer := k.Ask(r.Context(), ask)
		k.Log.Info("place asked for", "request", ask.Attempt, "granted", answer.Granted, "prompt", ask.Prompt,
			"output", ask.Answer.Median, "spread", ask.Answer.Spread, "free", answer.Free, "used", answer.Used, "running", answer.Running, "waiting", answer.Waiting,
			"expected-wait", answer.Wait, "report-age", answer.Age, "down", answer.Down)
		encode(w, answer)
	})
	router.HandlerFunc(http.MethodPost, TurnPath, func(w http.ResponseWriter, r *http.Request) {
		var turn Turn
		if !decode(w, r, &turn) {
			return
		}
		answer := k.Turn(r.Context(), turn)
		k.Log.Info("turn asked for", "request", turn.Attempt, "granted", answer.Granted, "tokens", turn.Tokens,
			"ahead", answer.Ahead, "wait", turn.Wait, "down", answer.Down)
		encode(w, answer)
	})
	router.HandlerFunc(http.MethodPost, StagePath, func(w http.ResponseWriter, r *http.Request) {
		var order StageOrder
		if !decode(w, r, &order) {
			return
		}
		answer := k.ChangeStage(r.Context(), order)
		k.Log.Info("change of stage asked for", "endpoint", order.Endpoint, "born", order.Born, "stage", order.Stage,
			"want", order.Want, "taken", answer.Taken, "why", answer.Why)
		encode(w, answer)
	})
	router.HandlerFunc(http.MethodPost, ReleasePath, func(w http.ResponseWriter, r *http.Request) {
		var release Release
		if !decode(w, r, &release) {
			return
		}
		k.Release(release.Attempt)
		encode(w, struct{}{})
	})
	router.HandlerFunc(http.MethodPost, NewsPath, func(w http.ResponseWriter, r *http.Request) {
		var bulletin news.Bulletin
		if !decode(w, r, &bulletin) {
			return
		}
		encode(w, b.Exchange(&bulletin, time.Now()))
	})
	return router
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, "the message cannot be read", http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The peer may be gone already; it then has no use for the answer.
	_ = json.NewEncoder(w).Encode(value)
}
