package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/store"
	"crocusstep/wire"
)

// silentAgent responds with a stream that brings nothing.
type silentAgent struct{}

// RoundTrip implements http.RoundTripper.
func (silentAgent) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: silentBody{r.Context()}, Request: r}, nil
}

type silentBody struct{ context.Context }

// Read implements io.Reader.
func (b silentBody) Read([]byte) (int, error) {
	<-b.Done()
	return 0, b.Err()
}

// Close implements io.Closer.
func (silentBody) Close() error { return nil }

var _ io.ReadCloser = silentBody{}

// TestSilentAgentHasNotCrashed guards against prompts that are blocked for an hour as the agents that ran
// them were frozen or cut off for a few seconds.
func TestSilentAgentHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "a secret of more than thirty-two characters"}})
		assert.NilError(t, err)
		peers := wire.NewClient(&http.Client{Transport: silentAgent{}}, ring, func(string, ident.ByteCount) {})
		began := time.Now()
		streamErr := peers.Stream(t.Context(), "agent:1", wire.DecodeRequest{}, func(wire.Frame) error { return nil })
		assert.Assert(t, streamErr != nil)
		assert.Equal(t, time.Since(began), wire.StreamIdleTimeout)
		discard, err := common.NewDiscard()
		assert.NilError(t, err)
		c := &chatExchange{Entry: &Entry{roster: roster.NewRoster(discard, nil)}, failedEndpoints: map[ident.EndpointName]bool{}}
		assert.Assert(t, c.checkResponse(t.Context(), roster.Member{Instance: store.Instance{Endpoint: "e1"}}, wire.Load{}, nil, streamErr) != nil)
		assert.Equal(t, c.crashedEndpoint, ident.EndpointName(""))
	})
}
