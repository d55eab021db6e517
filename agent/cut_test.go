package agent

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/ledger"
	"crocusstep/wire"
)

// TestCutCall guards against a plain service whose response is cut in its head or body and counts as
// an answer, or as a call that was certainly not sent, which the ledger lets run again.
func TestCutCall(t *testing.T) {
	const body = "a whole body"
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, response := range fake.CutResponses(http.StatusOK, "Content-Type: text/plain\r\n", body) {
			server := fake.Cutter{Response: response, Length: len(response)}
			a := &Agent{config: Config{EndpointAddress: "127.0.0.1:1", HTTP: server.Client()}}
			send := func() (wire.CallResponse, error) {
				return a.send(t.Context(), wire.CallRequest{Method: method, Path: "/x"}, 1)
			}
			whole, err := send()
			assert.NilError(t, err)
			assert.Equal(t, string(whole.Body), body)
			for server.Length = range len(response) {
				server.Resets = !server.Resets
				got, err := send()
				assert.Assert(t, err != nil, "cut after %d bytes of %q: %d %q", server.Length, response, got.Status, got.Body)
				assert.Assert(t, !errors.Is(err, ledger.ErrNotSent))
			}
		}
	}
}
