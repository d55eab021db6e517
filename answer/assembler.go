// Package answer puts the numbered pieces of one answer together, so that a
// caller gets each piece once, in order, and from its own request.
package answer

import (
	"errors"
	"fmt"
	"strings"

	"crocusstep/ident"
	"crocusstep/wire"
)

// ErrForeign means that a frame belongs to another request or attempt.
var ErrForeign = errors.New("a frame of another request or attempt")

// ErrGap means that a piece or the end does not follow what is there.
var ErrGap = errors.New("the pieces have a gap")

// Assembler builds one answer over any number of attempts.
type Assembler struct {
	request ident.RequestID
	// attempt is the only one whose frames count.
	attempt ident.AttemptID
	// next is the position of the piece that is due; all before it are there.
	next   ident.TokenCount
	text   strings.Builder
	finish string
}

// NewAssembler returns an assembler for a request's answer.
func NewAssembler(request ident.RequestID) *Assembler { return &Assembler{request: request} }

// Begin starts an attempt; frames of earlier ones are foreign from now on.
func (a *Assembler) Begin(attempt ident.AttemptID) { a.attempt = attempt }

// Next returns the position of the piece that is due.
func (a *Assembler) Next() ident.TokenCount { return a.next }

// Text returns the answer so far.
func (a *Assembler) Text() string { return a.text.String() }

// Finish returns why the answer ended; it is empty until the end is there.
func (a *Assembler) Finish() string { return a.finish }

// Accept takes a frame and returns the text that it adds, which is empty for a
// duplicate. A frame that does not belong or leaves a gap is an error and
// changes nothing.
func (a *Assembler) Accept(frame wire.Frame) (added string, err error) {
	if frame.Request != a.request || frame.Attempt != a.attempt {
		return "", ErrForeign
	}
	switch frame.Kind {
	case wire.TokenFrame:
		return a.piece(frame)
	case wire.EndFrame:
		return "", a.end(frame)
	}
	return "", nil
}

func (a *Assembler) piece(frame wire.Frame) (string, error) {
	if frame.Position < a.next {
		return "", nil
	}
	if frame.Position > a.next || a.finish != "" {
		return "", fmt.Errorf("%w: piece %d came when %d was due", ErrGap, frame.Position, a.next)
	}
	a.next++
	a.text.WriteString(frame.Text)
	return frame.Text, nil
}

func (a *Assembler) end(frame wire.Frame) error {
	if frame.Position != a.next || frame.Finish == "" {
		return fmt.Errorf("%w: the end counts %d pieces, %d are there", ErrGap, frame.Position, a.next)
	}
	a.finish = frame.Finish
	return nil
}
