package wire

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/fake"
	"crocusstep/ident"
)

// TestCutResponse guards against an agent whose response is cut in its head or body and counts as a
// success, or as a request that was certainly not sent.
func TestCutResponse(t *testing.T) {
	ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "s"}})
	assert.NilError(t, err)
	scenarios := []struct {
		testName, body string
		// isMarked is set if the body itself marks its end.
		isMarked bool
		call     func(ctx context.Context, c *Client) (any, error)
	}{
		{testName: "a call", body: `{"status":200,"body":"d2hvbGU="}` + "\n", call: func(ctx context.Context, c *Client) (any, error) {
			return Call[CallResponse](ctx, c, "127.0.0.1:1", CallPath, CallRequest{})
		}},
		{testName: "a release", body: `{"load":{"endpoint":"127.0.0.1:2"}}` + "\n", call: func(ctx context.Context, c *Client) (any, error) {
			return Call[Response](ctx, c, "127.0.0.1:1", ReleasePath, ReleaseRequest{})
		}},
		{testName: "a decode", isMarked: true, body: `{"kind":"piece","position":0,"text":"x"}` + "\n" + `{"kind":"end","position":1,"finish":"stop"}` + "\n", call: func(ctx context.Context, c *Client) (any, error) {
			var frames []Frame
			err := c.Stream(ctx, "127.0.0.1:1", DecodeRequest{}, func(frame Frame) error {
				frames = append(frames, frame)
				return nil
			})
			return frames, err
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for _, response := range fake.CutResponses(http.StatusOK, "Content-Type: application/json\r\n", s.body) {
				server := fake.Cutter{Response: response, Length: len(response)}
				client := NewClient(server.Client(), ring, func(string, ident.ByteCount) {})
				whole, err := s.call(t.Context(), client)
				assert.NilError(t, err)
				for server.Length = range len(response) {
					server.Resets = !server.Resets
					got, err := s.call(t.Context(), client)
					if err == nil && s.isMarked {
						assert.DeepEqual(t, got, whole)
						continue
					}
					assert.Assert(t, err != nil, "cut after %d bytes of %q: %v", server.Length, response, got)
					assert.Assert(t, !errors.Is(err, ErrNotSent))
				}
			}
		})
	}
}
