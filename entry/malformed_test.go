package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
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

// respondingAgent sends a response of its endpoint.
type respondingAgent struct{ response wire.CallResponse }

// RoundTrip implements http.RoundTripper.
func (a respondingAgent) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := json.Marshal(a.response)
	return &http.Response{
		Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body))), ContentLength: int64(len(body)), Request: r,
	}, err
}

// callOver sends a call over an agent and returns the refusal of its caller, or nil.
func callOver(t *testing.T, class spec.CallClass, response wire.CallResponse) *fault.Refusal {
	t.Helper()
	ring, err := auth.NewKeyring([]auth.Key{{ID: "k", Secret: "a secret of more than thirty-two characters"}})
	assert.NilError(t, err)
	discard, err := common.NewDiscard()
	assert.NilError(t, err)
	peers := wire.NewClient(&http.Client{Transport: respondingAgent{response}}, ring, func(string, ident.ByteCount) {})
	e := NewEntry(discard, Config{Peers: peers})
	e.roster = roster.NewRoster(discard, nil)
	c := &callExchange{Entry: e, call: spec.Call{Class: class}, arrived: time.Now()}
	got, err := c.callAgent(t.Context(), roster.Member{Instance: store.Instance{Endpoint: "e1", Address: "agent:1"}}, 1)
	if err == nil {
		return nil
	}
	c.ledgerChecked = got.LedgerChecked
	return c.refusalFor(err)
}

// TestMalformedResponseOfAgent guards against callers that get a response with an invalid status or
// field, which an agent has passed on or kept in its ledger.
func TestMalformedResponseOfAgent(t *testing.T) {
	for _, class := range []spec.CallClass{spec.Action, spec.Lookup} {
		for _, response := range []wire.CallResponse{{Status: 0}, {Status: 99}, {Status: 101}, {Status: 199}, {Status: 600}, {Status: -1}, {Status: 200, Header: http.Header{"X A": {"b"}}}, {Status: 200, Header: http.Header{"Content-Length ": {"5"}}}, {Status: 200, Header: http.Header{"": {"b"}}}} {
			response.LedgerChecked = class == spec.Action
			refusal := callOver(t, class, response)
			assert.Assert(t, refusal != nil, "%s: %+v", class, response)
			assert.Equal(t, refusal.Code, fault.EndpointFailed)
			assert.Equal(t, refusal.Outcome, fault.Unknown)
		}
		for _, status := range []int{200, 204, 299, 304, 418, 503, 599} {
			assert.Assert(t, callOver(t, class, wire.CallResponse{Status: status, Header: http.Header{"x_a~": {"b"}}}) == nil, "%s: %d", class, status)
		}
	}
}
