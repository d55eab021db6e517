package agent

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/memnet"
	"crocusstep/wire"
)

// TestRedirectOfEndpoint guards against calls that are answered with the response of another
// endpoint, to which theirs has redirected the agent.
func TestRedirectOfEndpoint(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
			t.Run(method+" "+http.StatusText(status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := memnet.NewNetwork()
					l := serveRepeating(n, []string{
						strings.Replace(endpointResponse(status, "moved"), "\r\n", "\r\nLocation: /other\r\n", 1),
						endpointResponse(http.StatusOK, "other"),
					})
					client := n.Client("agent")
					defer func() {
						client.CloseIdleConnections()
						_ = l.Close()
						time.Sleep(time.Second)
					}()
					discard, err := common.NewDiscard()
					assert.NilError(t, err)
					a := NewAgent(t.Context(), discard, Config{EndpointAddress: repeatingAddress, HTTP: client, Slots: 1, PrefillSlots: 1})
					response, err := a.send(t.Context(), wire.CallRequest{Method: method, Path: "/x", Body: []byte("y")}, 0)
					assert.NilError(t, err)
					assert.Equal(t, response.Status, status)
					assert.Equal(t, string(response.Body), "moved")
				})
			})
		}
	}
}
