package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

// TestLostLookupMayHaveRun guards against lookups that are refused as not run though their agent
// had received them when it closed the connection.
func TestLostLookupMayHaveRun(t *testing.T) {
	ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "a secret of more than thirty-two characters"}})
	assert.NilError(t, err)
	discard, err := common.NewDiscard()
	assert.NilError(t, err)
	peers := wire.NewClient(&http.Client{Transport: closingAgent{}}, ring, func(string, ident.ByteCount) {})
	e := NewEntry(discard, Config{Peers: peers})
	e.roster = roster.NewRoster(discard, nil)
	c := &callExchange{Entry: e, call: spec.Call{Class: spec.Lookup}, arrived: time.Now()}
	_, err = c.callAgent(t.Context(), roster.Member{Instance: store.Instance{Endpoint: "e1", Address: "agent:1"}}, 1)
	assert.ErrorIs(t, err, wire.ErrResponseLost)
	refusal := c.refusalFor(err)
	assert.Equal(t, refusal.Code, fault.EndpointFailed)
	assert.Equal(t, refusal.Outcome, fault.Unknown)
}
