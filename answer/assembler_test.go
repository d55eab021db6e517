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

func pieceOf(attempt ident.AttemptID, position int) wire.Frame {
	return wire.Frame{Request: "r", Attempt: attempt, Kind: wire.TokenFrame, Position: ident.TokenCount(position), Text: fmt.Sprint(position, " ")}
}

func endOf(attempt ident.AttemptID, count int) wire.Frame {
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
		{testName: "pieces and their end", frames: []wire.Frame{pieceOf("a", 0), pieceOf("a", 1), endOf("a", 2)}, text: "0 1 ", finish: "stop"},
		{testName: "a duplicate is dropped", frames: []wire.Frame{pieceOf("a", 0), pieceOf("a", 0), endOf("a", 1)}, text: "0 ", finish: "stop"},
		{testName: "a gap is an error", frames: []wire.Frame{pieceOf("a", 0), pieceOf("a", 2)}, text: "0 ", err: ErrGap},
		{testName: "an end with another count is an error", frames: []wire.Frame{pieceOf("a", 0), endOf("a", 2)}, text: "0 ", err: ErrGap},
		{testName: "a piece of an abandoned attempt is an error", frames: []wire.Frame{pieceOf("b", 0)}, err: ErrForeign},
		{testName: "a piece of another request is an error", frames: []wire.Frame{{Request: "x", Attempt: "a", Kind: wire.TokenFrame}}, err: ErrForeign},
		{testName: "a piece after the end is an error", frames: []wire.Frame{endOf("a", 0), pieceOf("a", 0)}, finish: "stop", err: ErrGap},
		{testName: "an idle frame adds nothing", frames: []wire.Frame{{Request: "r", Attempt: "a", Kind: wire.KeepAliveFrame}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a := NewAssembler("r")
			a.Begin("a")
			var err error
			for _, frame := range s.frames {
				if _, err = a.Accept(frame); err != nil {
					break
				}
			}
			assert.Assert(t, errors.Is(err, s.err))
			assert.Equal(t, a.Text(), s.text)
			assert.Equal(t, a.Finish(), s.finish)
		})
	}
}

// TestAnyDeliveryIsAPrefix delivers frames of several attempts late, twice and
// out of order: what the caller has is always a prefix of the right answer, and
// it is presented as whole only if it is.
func TestAnyDeliveryIsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 12).Draw(t, "length")
		right := ""
		for i := range length {
			right += fmt.Sprint(i, " ")
		}
		a := NewAssembler("r")
		var delivered strings.Builder
		for range rapid.IntRange(1, 80).Draw(t, "frames") {
			attempt := ident.AttemptID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt"))
			if rapid.IntRange(0, 9).Draw(t, "begin") == 0 {
				a.Begin(attempt)
			}
			position := rapid.IntRange(0, length).Draw(t, "position")
			frame := pieceOf(attempt, position)
			if position == length {
				frame = endOf(attempt, length)
			}
			added, _ := a.Accept(frame)
			delivered.WriteString(added)
			if !strings.HasPrefix(right, a.Text()) || a.Text() != delivered.String() {
				t.Fatalf("%q is no prefix of %q, or differs from the %q delivered", a.Text(), right, delivered.String())
			}
			if a.Finish() != "" && a.Text() != right {
				t.Fatalf("%q was presented as whole, it is %q", a.Text(), right)
			}
		}
	})
}
