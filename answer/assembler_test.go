package answer

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
	"crocusstep/wire"
)

func newToken(attempt ident.AttemptID, position int) wire.Frame {
	return wire.Frame{Request: "r", Attempt: attempt, Kind: wire.TokenFrame, Position: ident.TokenCount(position), Text: fmt.Sprint(position, " ")}
}

func newEnd(attempt ident.AttemptID, count int) wire.Frame {
	return wire.Frame{Request: "r", Attempt: attempt, Kind: wire.EndFrame, Position: ident.TokenCount(count), Finish: "stop"}
}

func TestAccept(t *testing.T) {
	scenarios := []struct {
		testName string
		frames   []wire.Frame
		text     string
		finish   string
		err      error
	}{
		{testName: "tokens and their end", frames: []wire.Frame{newToken("a", 0), newToken("a", 1), newEnd("a", 2)}, text: "0 1 ", finish: "stop"},
		{testName: "a duplicate is ignored", frames: []wire.Frame{newToken("a", 0), newToken("a", 0), newEnd("a", 1)}, text: "0 ", finish: "stop"},
		{testName: "a gap is an error", frames: []wire.Frame{newToken("a", 0), newToken("a", 2)}, text: "0 ", err: ErrGap},
		{testName: "an end with another count is an error", frames: []wire.Frame{newToken("a", 0), newEnd("a", 2)}, text: "0 ", err: ErrGap},
		{testName: "a token of an abandoned attempt is an error", frames: []wire.Frame{newToken("b", 0)}, err: ErrWrongAttempt},
		{testName: "a token of another request is an error", frames: []wire.Frame{{Request: "x", Attempt: "a", Kind: wire.TokenFrame}}, err: ErrWrongAttempt},
		{testName: "a token after the end is an error", frames: []wire.Frame{newEnd("a", 0), newToken("a", 0)}, finish: "stop", err: ErrGap},
		{testName: "a keep-alive frame adds nothing", frames: []wire.Frame{{Request: "r", Attempt: "a", Kind: wire.KeepAliveFrame}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a := NewAssembler("r")
			a.StartAttempt("a")
			var err error
			for _, frame := range s.frames {
				if _, err = a.Accept(frame); err != nil {
					break
				}
			}
			assert.Assert(t, errors.Is(err, s.err))
			assert.Equal(t, a.Text(), s.text)
			assert.Equal(t, a.FinishReason(), s.finish)
		})
	}
}

// TestDeliveredTextIsAPrefix delivers frames of several attempts late,
// duplicated and out of order. The text that the caller gets must always be a
// prefix of the expected output, and be reported as complete only if it is.
func TestDeliveredTextIsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 12).Draw(t, "length")
		expected := ""
		for i := range length {
			expected += fmt.Sprint(i, " ")
		}
		a := NewAssembler("r")
		var delivered strings.Builder
		for range rapid.IntRange(1, 80).Draw(t, "frames") {
			attempt := ident.AttemptID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt"))
			if rapid.IntRange(0, 9).Draw(t, "begin") == 0 {
				a.StartAttempt(attempt)
			}
			position := rapid.IntRange(0, length).Draw(t, "position")
			frame := newToken(attempt, position)
			if position == length {
				frame = newEnd(attempt, length)
			}
			added, _ := a.Accept(frame)
			delivered.WriteString(added)
			if !strings.HasPrefix(expected, a.Text()) || a.Text() != delivered.String() {
				t.Fatalf("%q is not a prefix of %q, or differs from the delivered %q", a.Text(), expected, delivered.String())
			}
			if a.FinishReason() != "" && a.Text() != expected {
				t.Fatalf("%q was reported as complete, want %q", a.Text(), expected)
			}
		}
	})
}
