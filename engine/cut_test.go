package engine_test

import (
	"context"
	"net/http"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/engine"
	"crocusstep/fake"
)

// TestCutResponse guards against requests to an engine that succeed with a part of its response,
// in particular an import, whose response has no content, and a list without its requests.
func TestCutResponse(t *testing.T) {
	scenarios := []struct {
		testName, body string
		call           func(ctx context.Context, c *engine.Client) (any, error)
	}{
		{testName: "prefill", body: `{"handle":"h","tokens":12,"cached-tokens":3}` + "\n", call: func(ctx context.Context, c *engine.Client) (any, error) {
			return c.Prefill(ctx, engine.PrefillRequest{})
		}},
		{testName: "import", body: "{}\n", call: func(ctx context.Context, c *engine.Client) (any, error) {
			return nil, c.Import(ctx, engine.ImportRequest{})
		}},
		{testName: "cancel", body: "{}\n", call: func(ctx context.Context, c *engine.Client) (any, error) {
			return nil, c.Cancel(ctx, "a")
		}},
		{testName: "requests", body: `[{"attempt":"a","state":"decode"}]` + "\n", call: func(ctx context.Context, c *engine.Client) (any, error) {
			return c.Requests(ctx)
		}},
		{testName: "decode", body: `{"position":0,"text":"x"}` + "\n" + `{"position":1,"finish":"stop"}` + "\n", call: func(ctx context.Context, c *engine.Client) (any, error) {
			var tokens []engine.Token
			err := c.Decode(ctx, engine.DecodeRequest{}, func(token engine.Token) error {
				tokens = append(tokens, token)
				return nil
			})
			return tokens, err
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for _, response := range fake.CutResponses(http.StatusOK, "", s.body) {
				server := fake.Cutter{Response: response, Length: len(response)}
				client := engine.NewClient(engine.ClientConfig{Address: "127.0.0.1:1", HTTP: server.Client(), Timeout: 5 * time.Second})
				whole, err := s.call(t.Context(), client)
				assert.NilError(t, err)
				for server.Length = range len(response) {
					server.Resets = !server.Resets
					got, err := s.call(t.Context(), client)
					if err == nil && s.testName == "decode" && reflect.DeepEqual(got, whole) {
						// The last line marks the end.
						continue
					}
					assert.Assert(t, err != nil, "cut after %d bytes of %q: %v", server.Length, response, got)
				}
			}
		})
	}
}
