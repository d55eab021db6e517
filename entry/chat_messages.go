package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"crocusstep/fault"
	"crocusstep/ident"
)

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request. Unknown fields are
// ignored, since clients send many that don't concern a router.
type chatRequest struct {
	Model     ident.ServiceName `json:"model"`
	Messages  []chatMessage     `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens ident.TokenCount  `json:"max_tokens"`
}

const (
	// decodedFactor is how much memory a byte of a chat takes beside the body: as its messages, as the
	// prompt, and in the requests to the agents of one attempt.
	decodedFactor = 5
	// objectBytes is the memory of an object of the body, which may be a message.
	objectBytes = 64
)

// decodedSize returns the memory that a chat takes beside its body.
func decodedSize(body []byte) int64 {
	return int64(decodedFactor*len(body) + objectBytes*bytes.Count(body, []byte{'{'}))
}

// parseChatRequest decodes and validates a chat completion request.
func parseChatRequest(body []byte) (chat chatRequest, refusal *fault.Refusal) {
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, fault.New(fault.MalformedJSON, "%v", err)
	}
	switch {
	case chat.Model == "":
		return chat, fault.New(fault.BadRequest, "model is missing")
	case len(chat.Messages) == 0:
		return chat, fault.New(fault.BadRequest, "messages is missing or empty")
	case chat.MaxTokens < 0:
		return chat, fault.New(fault.BadRequest, "max_tokens is negative")
	}
	return chat, nil
}

// prompt joins the conversation into the text for the engine.
func (r chatRequest) prompt() string {
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// estimateTokens counts words; the prefill returns the engine's exact count.
func estimateTokens(prompt string) ident.TokenCount {
	count := 0
	for range strings.FieldsSeq(prompt) {
		count++
	}
	return ident.TokenCount(max(1, count))
}

// chatUsage counts tokens. Callers also use CompletionTokens to check that a
// response is complete.
type chatUsage struct {
	PromptTokens     ident.TokenCount `json:"prompt_tokens"`
	CompletionTokens ident.TokenCount `json:"completion_tokens"`
	TotalTokens      ident.TokenCount `json:"total_tokens"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// chatChunk is one event of a streamed response.
type chatChunk struct {
	ID      ident.RequestID   `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   ident.ServiceName `json:"model"`
	Choices []chunkChoice     `json:"choices"`
	Usage   *chatUsage        `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// chatCompletion is a response that is not streamed.
type chatCompletion struct {
	ID      ident.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   ident.ServiceName  `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   chatUsage          `json:"usage"`
}

// streamError is the event that ends an incomplete stream.
type streamError struct {
	Error fault.Problem `json:"error"`
}

type modelInfo struct {
	ID      ident.ServiceName   `json:"id"`
	Object  string              `json:"object"`
	OwnedBy ident.WorkspaceName `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}
