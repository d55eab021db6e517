package event

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAll guards against the head or the text of another response that is taken for an event.
func TestAll(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\n\n"
	scenarios := []struct {
		testName string
		text     string
		// ids holds those of the events, "-" for blank ones.
		ids       []string
		malformed bool
	}{
		{testName: "no events"},
		{testName: "events", text: "id: 1\ndata: id: 7\n\nid:2\ndata: x\n\ndata: y\n\n", ids: []string{"1", "2", ""}},
		{testName: "other fields", text: "x-version: 3\nid: 1\ndata\nevent: a\nretry: 5\n\n", ids: []string{"1"}},
		{testName: "a byte order mark", text: "\ufeffid: 1\n\n", ids: []string{"1"}},
		{testName: "a time to reconnect", text: "retry: 5\nevent: a\n\nid: 1\n\n", ids: []string{"-", "1"}},
		{testName: "other fields alone", text: "error: failed\n\n", malformed: true},
		{testName: "comments and empty lines", text: ": ping\n\n\n\nid: 1\n\n", ids: []string{"-", "-", "1"}},
		{testName: "output about responses", text: "id: 1\ndata: HTTP/1.1 500 Internal Server Error\ndata: Content-Type: a\n\n", ids: []string{"1"}},
		{testName: "a head after an event", text: "id: 1\n\n" + head + "id: 2\n\n", ids: []string{"1"}, malformed: true},
		{testName: "a head inside the name of a field", text: "id: 1\nda" + head, malformed: true},
		{testName: "a head inside a field", text: "id: 1\ndata: x" + head, malformed: true},
		{testName: "a head inside an id", text: "id: 1" + head, malformed: true},
		{testName: "a head after a line", text: "id: 1\n" + head, malformed: true},
		{testName: "a text", text: "upstream failed\n\n", malformed: true},
		{testName: "a word", text: "failed\n\n", malformed: true},
		{testName: "JSON", text: "{\"error\": \"x\"}\n\n", malformed: true},
		{testName: "HTML", text: "<html>: x\n\n", malformed: true},
	}
	for _, s := range scenarios {
		for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
			t.Run(s.testName+", "+name, func(t *testing.T) {
				text := strings.ReplaceAll(s.text, "\n", lineEnd)
				var ids []string
				var joined strings.Builder
				var malformed error
				for e, err := range All([]byte(text)) {
					if malformed = err; err != nil {
						break
					}
					joined.Write(e.Text)
					if e.Blank {
						e.ID = "-"
					}
					ids = append(ids, e.ID)
				}
				assert.DeepEqual(t, ids, s.ids)
				if !s.malformed {
					assert.NilError(t, malformed)
					assert.Equal(t, joined.String(), text)
					return
				}
				assert.ErrorIs(t, malformed, ErrMalformed)
			})
		}
	}
}
