package agent

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/answer"
	"crocusstep/common"
	"crocusstep/memnet"
	"crocusstep/wire"
)

// brokenEnds follow tokens in a stream that an engine does not complete. K stands for the position of
// the next token, J for the one before.
var brokenEnds = []string{
	"",
	"failed",
	"null",
	"{}",
	`{"error":"overloaded"}`,
	`{"error":{"message":"overloaded","code":503}}`,
	`{"text":"overloaded"}`,
	`{"error":"overloaded","position":K}`,
	`{"error":"overloaded","position":K,"text":"failed"}`,
	`{"position":K,"finish":"error"}`,
	`{"position":K,"finish":"abort"}`,
	`{"position":K,"finish":"cancelled"}`,
	`{"position":K,"text":"lost","finish":"stop"}`,
	`{"position":J,"finish":"stop"}`,
	`{"finish":"stop"}`,
	`{"position":0,"finish":"stop"}`,
	`{"position":K,"tex`,
	"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n" + `{"error":"overloaded"}`,
	"<html>failed</html>",
}

// TestBrokenDecode guards against an engine's error that becomes a part of the output, or its end.
func TestBrokenDecode(t *testing.T) {
	for _, end := range brokenEnds {
		for _, tokens := range []int{0, 1, 3} {
			if end == `{"position":0,"finish":"stop"}` && tokens == 0 {
				// An output without tokens.
				continue
			}
			for _, complete := range []bool{false, true} {
				t.Run(end+" after "+strconv.Itoa(tokens), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						body, want := "", ""
						for i := range tokens {
							body += `{"position":` + strconv.Itoa(i) + `,"text":"x"}` + "\n"
							want += "x"
						}
						tail := strings.NewReplacer("K", strconv.Itoa(tokens), "J", strconv.Itoa(tokens-1)).Replace(end)
						if complete && tail != "" {
							tail += "\n" + `{"position":` + strconv.Itoa(tokens+1) + `,"finish":"stop"}` + "\n"
						}
						checkBrokenDecode(t, endpointResponse(http.StatusOK, body+tail), want)
					})
				})
			}
		}
	}
}

// checkBrokenDecode lets an engine respond to a decode, whose output must stay incomplete.
func checkBrokenDecode(t *testing.T, response, want string) {
	t.Helper()
	n := memnet.NewNetwork()
	l := serveRepeating(n, []string{response})
	client := n.Client("agent")
	defer func() {
		client.CloseIdleConnections()
		_ = l.Close()
		time.Sleep(time.Second)
	}()
	discard, err := common.NewDiscard()
	assert.NilError(t, err)
	a := NewAgent(t.Context(), discard, Config{EndpointAddress: repeatingAddress, HTTP: client, Slots: 1, PrefillSlots: 1})
	output := answer.NewAssembler("r")
	output.StartAttempt("a")
	err = a.generate(t.Context(), wire.DecodeRequest{Info: wire.AttemptInfo{Request: "r", Attempt: "a"}, MaxTokens: 9}, func(frame wire.Frame) error {
		_, err := output.Accept(frame)
		return err
	})
	assert.Assert(t, err != nil)
	assert.Equal(t, output.Text(), want)
	assert.Equal(t, int(output.Next()), len(want), "an error counts as a token")
	assert.Equal(t, output.FinishReason(), "")
}
