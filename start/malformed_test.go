package start

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
)

// checkMalformed sends a request for each malformed response.
func checkMalformed(t *testing.T, list func(fields, body string) []fake.RawResponse) {
	t.Helper()
	w := newRawWorker(t)
	for _, r := range append(relayRoutes(t, w), entryRoutes(t, w)...) {
		for i, response := range list("", soundBody) {
			w.send(func(fields string) string { return list(fields, soundBody)[i].Text })
			r.checkRefused(t, w, response.Name, "body")
		}
	}
}

// TestMalformedStatusLine guards against callers that get a response whose status line is invalid as
// an answer.
func TestMalformedStatusLine(t *testing.T) { checkMalformed(t, fake.MalformedStatusLines) }

// TestMalformedField guards against callers that get a response with an invalid field name as an
// answer.
func TestMalformedField(t *testing.T) { checkMalformed(t, fake.MalformedFields) }

// TestMalformedFraming guards against callers that get the chunks of a response with HTTP/1.0 as its
// body.
func TestMalformedFraming(t *testing.T) { checkMalformed(t, fake.MalformedFraming) }

// TestMalformedResponsesAreCounted guards against malformed responses that the metrics do not show.
func TestMalformedResponsesAreCounted(t *testing.T) {
	w := newRawWorker(t)
	r := relayRoutes(t, w)[0]
	for _, text := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n", "HTTP/1.1 103 A\r\nContent-Length: 5\r\n\r\n", "none\r\n\r\n"} {
		w.send(func(string) string { return text })
		r.checkRefused(t, w, text, "body")
	}
	response, err := http.Get("http://" + w.relayMetrics + "/metrics")
	got := readAnswer(response, err)
	assert.NilError(t, got.err)
	for _, want := range []string{`{flaw="status-line"} 2`, `{flaw="field-name"} 1`, `{flaw="framing"} 1`, `{flaw="syntax"} 1`} {
		assert.Assert(t, strings.Contains(got.body, "crocusstep_malformed_responses_total"+want+"\n"), "%s: %s", want, got.body)
	}
}

// TestUnusualSoundResponse sends responses that are unusual and allowed.
func TestUnusualSoundResponse(t *testing.T) {
	w := newRawWorker(t)
	for _, r := range append(relayRoutes(t, w), entryRoutes(t, w)...) {
		for i, response := range fake.SoundResponses("", soundBody) {
			w.send(func(fields string) string { return fake.SoundResponses(fields, soundBody)[i].Text })
			got := r.call(t, "body")
			assert.NilError(t, got.err, "%s: %s", r.testName, response.Name)
			assert.Equal(t, got.status, response.Status, "%s: %s: %+v", r.testName, response.Name, got)
			assert.Equal(t, got.body, soundBody, "%s: %s", r.testName, response.Name)
		}
	}
}
