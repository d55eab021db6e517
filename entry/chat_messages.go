package entry

import (
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

// chatOrder is the body of a completions request; fields that are not known
// are left alone, as clients send many that do not concern a router.
type chatOrder struct {
	Model     ident.ServiceName `json:"model"`
	Messages  []chatMessage     `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens ident.TokenCount  `json:"max_tokens"`
}

// parseChat reads and checks a completions request.
func parseChat(body []byte) (order chatOrder, refusal *fault.Refusal) {
	if err := json.Unmarshal(body, &order); err != nil {
		return order, fault.New(fault.MalformedJSON, "%v", err)
	}
	switch {
	case order.Model == "":
		return order, fault.New(fault.BadRequest, "model is missing")
	case len(order.Messages) == 0:
		return order, fault.New(fault.BadRequest, "messages is missing or empty")
	case order.MaxTokens < 0:
		return order, fault.New(fault.BadRequest, "max_tokens is negative")
	}
	return order, nil
}

// prompt joins the conversation into the text that the engine reads.
func (o chatOrder) prompt() string {
	var text strings.Builder
	for _, message := range o.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// estimateTokens counts words; the engine's own count comes with the prefill.
func estimateTokens(prompt string) ident.TokenCount {
	return ident.TokenCount(max(1, len(strings.Fields(prompt))))
}

// chatUsage counts tokens; completion is also how a caller checks that an
// answer is whole.
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

// chatChunk is one event of a streamed answer.
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

// chatCompletion is a whole answer.
type chatCompletion struct {
	ID      ident.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   ident.ServiceName  `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   chatUsage          `json:"usage"`
}

// streamFault is the event that ends a streamed answer that is not whole.
type streamFault struct {
	Error fault.Problem `json:"error"`
}

type modelRow struct {
	ID      ident.ServiceName   `json:"id"`
	Object  string              `json:"object"`
	OwnedBy ident.WorkspaceName `json:"owned_by"`
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}
