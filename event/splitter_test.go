package event

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSplitter(t *testing.T) {
	scenarios := []struct {
		testName   string
		text       string
		complete   string
		unfinished bool
	}{
		{testName: "no bytes"},
		{testName: "one event", text: "id: 1\ndata: x\n\n", complete: "id: 1\ndata: x\n\n"},
		{testName: "an event without its empty line", text: "id: 1\n\nid: 2\ndata: x\n", complete: "id: 1\n\n", unfinished: true},
		{testName: "a part of a line", text: "id: 1\n\nda", complete: "id: 1\n\n", unfinished: true},
		{testName: "CR LF", text: "id: 1\r\n\r\nid: 2\r\n\r\n", complete: "id: 1\r\n\r\nid: 2\r\n\r\n"},
		{testName: "CR LF without its last byte", text: "id: 1\r\n\r", unfinished: true},
		{testName: "CR", text: "id: 1\rdata: x\r\rid: 2\r", complete: "id: 1\rdata: x\r\r", unfinished: true},
		{testName: "mixed line ends", text: "id: 1\r\n\nid: 2\n\r\n", complete: "id: 1\r\n\nid: 2\n\r\n"},
		{testName: "a comment after the last event", text: "id: 1\n\n: ping\n", complete: "id: 1\n\n"},
		{testName: "a part of a comment", text: "id: 1\n\n: pi", complete: "id: 1\n\n", unfinished: true},
		{testName: "an empty line more", text: "id: 1\n\n\n", complete: "id: 1\n\n\n"},
		{testName: "only a field without an event", text: "retry: 10\n", unfinished: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var splitter Splitter
			assert.Equal(t, string(splitter.Add([]byte(s.text))), s.complete)
			assert.Equal(t, string(splitter.Pending()), strings.TrimPrefix(s.text, s.complete))
			assert.Equal(t, splitter.Unfinished(), s.unfinished)
		})
	}
}

// TestSplitterParts adds streams in parts of any size: no byte may be lost or returned
// twice, and only complete events are returned.
func TestSplitterParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		event := strings.ReplaceAll("id: 1\ndata: x\n\n", "\n", lineEnd)
		whole := strings.Repeat(event, rapid.IntRange(0, 4).Draw(t, "events"))
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		var splitter Splitter
		var returned strings.Builder
		for rest := whole[:cut]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			returned.Write(splitter.Add([]byte(rest[:n])))
			rest = rest[n:]
		}
		if want := whole[:cut-cut%len(event)]; returned.String() != want {
			t.Fatalf("returned %q, want %q", returned.String(), want)
		}
		if unfinished := cut%len(event) > 0; splitter.Unfinished() != unfinished {
			t.Fatalf("unfinished is %v after %q", splitter.Unfinished(), whole[:cut])
		}
	})
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\r\n\r\n"), []byte(": ping\n\r"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var splitter Splitter
		var returned strings.Builder
		returned.Write(splitter.Add(first))
		returned.Write(splitter.Add(second))
		returned.Write(splitter.Pending())
		if want := string(first) + string(second); returned.String() != want {
			t.Fatalf("%q became %q", want, returned.String())
		}
	})
}
