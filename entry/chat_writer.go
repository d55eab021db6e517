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

// chatWriter writes a response to the caller.
type chatWriter interface {
	// writeToken writes the next token.
	writeToken(text string) error
	// complete ends a complete response.
	complete(assembler *answer.Assembler, promptTokens ident.TokenCount) error
	// fail ends an incomplete response.
	fail(refusal *fault.Refusal)
}

// sseWriter streams server-sent events. An incomplete response ends with an error
// event and has neither a finish reason nor the final [DONE].
type sseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	request    ident.RequestID
	model      ident.ServiceName
	created    time.Time
	// headerSent is true once the response header was written.
	headerSent bool
}

func (s *sseWriter) writeToken(text string) error {
	return s.sendEvent(s.newChunk(chunkChoice{Delta: chatDelta{Content: text}}))
}

func (s *sseWriter) complete(assembler *answer.Assembler, promptTokens ident.TokenCount) error {
	finish := assembler.FinishReason()
	last := s.newChunk(chunkChoice{FinishReason: &finish})
	usage := newUsage(assembler, promptTokens)
	last.Usage = &usage
	if err := s.sendEvent(last); err != nil {
		return err
	}
	return s.write("data: [DONE]\n\n")
}

func (s *sseWriter) fail(refusal *fault.Refusal) {
	if !s.headerSent {
		fault.WriteProblem(s.w, refusal, string(s.request))
		return
	}
	_ = s.sendEvent(streamError{Error: fault.NewProblem(refusal, string(s.request))})
}

func (s *sseWriter) newChunk(choice chunkChoice) chatChunk {
	return chatChunk{
		ID:      s.request,
		Object:  "chat.completion.chunk",
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []chunkChoice{choice},
	}
}

func (s *sseWriter) sendEvent(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return s.write(fmt.Sprintf("data: %s\n\n", data))
}

func (s *sseWriter) write(text string) error {
	if !s.headerSent {
		s.headerSent = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return s.controller.Flush()
}

// jsonWriter sends the response as one JSON object.
type jsonWriter struct {
	w       http.ResponseWriter
	request ident.RequestID
	model   ident.ServiceName
	created time.Time
}

func (*jsonWriter) writeToken(string) error { return nil }

func (s *jsonWriter) complete(assembler *answer.Assembler, promptTokens ident.TokenCount) error {
	writeJSON(s.w, http.StatusOK, chatCompletion{
		ID:      s.request,
		Object:  "chat.completion",
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []completionChoice{{
			Message:      chatMessage{Role: "assistant", Content: assembler.Text()},
			FinishReason: assembler.FinishReason(),
		}},
		Usage: newUsage(assembler, promptTokens),
	})
	return nil
}

func (s *jsonWriter) fail(refusal *fault.Refusal) {
	fault.WriteProblem(s.w, refusal, string(s.request))
}

func newUsage(assembler *answer.Assembler, promptTokens ident.TokenCount) chatUsage {
	return chatUsage{
		PromptTokens:     promptTokens,
		CompletionTokens: assembler.Next(),
		TotalTokens:      promptTokens + assembler.Next(),
	}
}
