// Package answer assembles the numbered tokens of an output, so that a caller
// gets each token once, in order and from its own request.
package answer

import (
	"errors"
	"fmt"
	"strings"

	"crocusstep/ident"
	"crocusstep/wire"
)

// ErrWrongAttempt means that a frame belongs to another request or attempt.
var ErrWrongAttempt = errors.New("a frame of another request or attempt")

// ErrGap means that a token or the end frame doesn't follow the tokens received
// so far.
var ErrGap = errors.New("gap in the token sequence")

// Assembler assembles one output across attempts.
type Assembler struct {
	request ident.RequestID
	// attempt is the current attempt; only its frames are accepted.
	attempt ident.AttemptID
	// next is the position of the next token; all tokens before it were
	// received.
	next         ident.TokenCount
	text         strings.Builder
	finishReason string
}

// NewAssembler returns an assembler for the output of a request.
func NewAssembler(request ident.RequestID) *Assembler { return &Assembler{request: request} }

// StartAttempt starts an attempt; frames of earlier attempts are rejected from
// then on.
func (a *Assembler) StartAttempt(attempt ident.AttemptID) { a.attempt = attempt }

// Next returns the position of the next token, which is the number of tokens
// received.
func (a *Assembler) Next() ident.TokenCount { return a.next }

// Text returns the output so far.
func (a *Assembler) Text() string { return a.text.String() }

// FinishReason returns why the output ended; it is empty until the end frame
// was accepted.
func (a *Assembler) FinishReason() string { return a.finishReason }

// Accept processes a frame and returns the text that it adds, which is empty
// for a duplicate. A frame that belongs to another attempt or leaves a gap
// returns an error and changes nothing.
func (a *Assembler) Accept(frame wire.Frame) (added string, err error) {
	if frame.Request != a.request || frame.Attempt != a.attempt {
		return "", ErrWrongAttempt
	}
	switch frame.Kind {
	case wire.TokenFrame:
		return a.acceptToken(frame)
	case wire.EndFrame:
		return "", a.acceptEnd(frame)
	}
	return "", nil
}

func (a *Assembler) acceptToken(frame wire.Frame) (string, error) {
	if frame.Position < a.next {
		return "", nil
	}
	if frame.Position > a.next || a.finishReason != "" {
		return "", fmt.Errorf("%w: received token %d, expected %d", ErrGap, frame.Position, a.next)
	}
	a.next++
	a.text.WriteString(frame.Text)
	return frame.Text, nil
}

func (a *Assembler) acceptEnd(frame wire.Frame) error {
	if frame.Position != a.next || frame.Finish == "" {
		return fmt.Errorf("%w: the end frame counts %d tokens, %d were received", ErrGap, frame.Position, a.next)
	}
	a.finishReason = frame.Finish
	return nil
}
