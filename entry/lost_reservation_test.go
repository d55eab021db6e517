package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/store"
	"crocusstep/wire"
)

// closingAgent closes each connection once it has a request.
type closingAgent struct{}

// RoundTrip implements http.RoundTripper.
func (closingAgent) RoundTrip(*http.Request) (*http.Response, error) { return nil, io.EOF }

// TestLostReservationIsNoCrash guards against prompts that are blocked as agents closed the kept
// connections on which entries asked for a slot, as those that stop do.
func TestLostReservationIsNoCrash(t *testing.T) {
	ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "a secret of more than thirty-two characters"}})
	assert.NilError(t, err)
	discard, err := common.NewDiscard()
	assert.NilError(t, err)
	peers := wire.NewClient(&http.Client{Transport: closingAgent{}}, ring, func(string, ident.ByteCount) {})
	c := &chatExchange{
		Entry:           &Entry{Common: discard, roster: roster.NewRoster(discard, nil), config: Config{Peers: peers}},
		failedEndpoints: map[ident.EndpointName]bool{},
	}
	m := roster.Member{Instance: store.Instance{Endpoint: "e1", Address: "agent:1"}}
	err = c.requestDecodeSlot(t.Context(), wire.AttemptInfo{}, m, time.Second, time.Second)
	assert.ErrorIs(t, err, wire.ErrResponseLost)
	assert.Assert(t, c.failedEndpoints["e1"])
	assert.Equal(t, c.crashedEndpoint, ident.EndpointName(""))
}
