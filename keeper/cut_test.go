package keeper

import (
	"context"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/gossip"
)

// TestCutKeeperResponse guards against a keeper whose response is cut in its head or body and is
// taken for a grant, a denial, or a message without news.
func TestCutKeeperResponse(t *testing.T) {
	const endpoint = "127.0.0.1:1"
	scenarios := []struct {
		testName, body string
		call           func(ctx context.Context, c *Client) (any, error)
	}{
		{testName: "reserve", body: `{"granted":true,"headroom":1200}`, call: func(ctx context.Context, c *Client) (any, error) {
			return c.Reserve(ctx, endpoint, ReserveRequest{})
		}},
		{testName: "load", body: `{"headroom":1200}`, call: func(ctx context.Context, c *Client) (any, error) { return c.Load(ctx, endpoint, LoadRequest{}) }},
		{testName: "prefill", body: `{"granted":true}`, call: func(ctx context.Context, c *Client) (any, error) {
			return c.SchedulePrefill(ctx, endpoint, PrefillRequest{})
		}},
		{testName: "stage", body: `{}`, call: func(ctx context.Context, c *Client) (any, error) {
			return c.ChangeStage(ctx, endpoint, StageRequest{})
		}},
		{testName: "permit", body: `{"granted":true}`, call: func(ctx context.Context, c *Client) (any, error) {
			return c.Permit(ctx, endpoint, PermitRequest{})
		}},
		{testName: "quota", body: `{}`, call: func(ctx context.Context, c *Client) (any, error) { return c.Quota(ctx, endpoint, QuotaRequest{}) }},
		{testName: "origin", body: `{}`, call: func(ctx context.Context, c *Client) (any, error) { return c.Origin(ctx, endpoint, OriginRequest{}) }},
		{testName: "release", body: `{}`, call: func(ctx context.Context, c *Client) (any, error) {
			return nil, c.Release(ctx, endpoint, ReleaseRequest{})
		}},
		{testName: "gossip", body: `{"sender":"f"}`, call: func(ctx context.Context, c *Client) (any, error) {
			return c.Exchange(ctx, endpoint, &gossip.Message{})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for _, response := range fake.CutResponses(http.StatusOK, "Content-Type: application/json\r\n", s.body) {
				server := fake.Cutter{Response: response, Length: len(response)}
				client := NewClient(server.Client(), 1)
				whole, err := s.call(t.Context(), client)
				assert.NilError(t, err)
				for server.Length = range len(response) {
					server.Resets = !server.Resets
					got, err := s.call(t.Context(), client)
					// A JSON value marks its own end.
					assert.Assert(t, err != nil || reflect.DeepEqual(got, whole) && strings.Contains(response[:server.Length], s.body),
						"cut after %d bytes of %q: %v", server.Length, response, got)
				}
			}
		})
	}
}
