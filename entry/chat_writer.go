package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"crocusstep/answer"
	"crocusstep/fault"
	"crocusstep/ident"
)

// chatSink is where an answer goes.
type chatSink interface {
	// piece takes the next token.
	piece(text string) error
	// end closes a whole answer.
	end(whole *answer.Assembler, promptTokens ident.TokenCount) error
	// fail closes an answer that will not be whole.
	fail(refusal *fault.Refusal)
}

// eventSink sends server-sent events. An answer that is not whole ends with an
// error event and has neither a finish reason nor the closing [DONE].
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	request    ident.RequestID
	model      ident.ServiceName
	created    time.Time
	// begun is true once the status line has left.
	begun bool
}

func (s *eventSink) piece(text string) error {
	return s.send(s.chunk(chunkChoice{Delta: chatDelta{Content: text}}))
}

func (s *eventSink) end(whole *answer.Assembler, promptTokens ident.TokenCount) error {
	finish := whole.FinishReason()
	last := s.chunk(chunkChoice{FinishReason: &finish})
	usage := usageOf(whole, promptTokens)
	last.Usage = &usage
	if err := s.send(last); err != nil {
		return err
	}
	return s.write("data: [DONE]\n\n")
}

func (s *eventSink) fail(refusal *fault.Refusal) {
	if !s.begun {
		fault.WriteProblem(s.w, refusal, string(s.request))
		return
	}
	_ = s.send(streamFault{Error: fault.NewProblem(refusal, string(s.request))})
}

func (s *eventSink) chunk(choice chunkChoice) chatChunk {
	return chatChunk{
		ID:      s.request,
		Object:  "chat.completion.chunk",
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []chunkChoice{choice},
	}
}

func (s *eventSink) send(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return s.write(fmt.Sprintf("data: %s\n\n", data))
}

func (s *eventSink) write(text string) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return s.controller.Flush()
}

// plainSink sends the whole answer at its end.
type plainSink struct {
	w       http.ResponseWriter
	request ident.RequestID
	model   ident.ServiceName
	created time.Time
}

func (*plainSink) piece(string) error { return nil }

func (s *plainSink) end(whole *answer.Assembler, promptTokens ident.TokenCount) error {
	writeJSON(s.w, http.StatusOK, chatCompletion{
		ID:      s.request,
		Object:  "chat.completion",
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []completionChoice{{
			Message:      chatMessage{Role: "assistant", Content: whole.Text()},
			FinishReason: whole.FinishReason(),
		}},
		Usage: usageOf(whole, promptTokens),
	})
	return nil
}

func (s *plainSink) fail(refusal *fault.Refusal) {
	fault.WriteProblem(s.w, refusal, string(s.request))
}

func usageOf(whole *answer.Assembler, promptTokens ident.TokenCount) chatUsage {
	return chatUsage{
		PromptTokens:     promptTokens,
		CompletionTokens: whole.Next(),
		TotalTokens:      promptTokens + whole.Next(),
	}
}
