// Package caller is a caller of the router, for the demo, the measurements and
// the tests: it checks what any caller could check.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

// Client calls one entry.
type Client struct {
	http  *http.Client
	entry ident.Address
}

// NewClient returns a caller of the entry at an address.
func NewClient(client *http.Client, entry ident.Address) *Client {
	return &Client{http: client, entry: entry}
}

// ChatResult is what a caller got for a completions request.
type ChatResult struct {
	Status int
	Text   string
	// Tokens is how many tokens came.
	Tokens int
	// Complete is true if the answer had its finish reason and its count, and the
	// count is right.
	Complete bool
	// Problem is set if the answer was refused or ended with an error event.
	Problem *fault.Problem
	// FirstToken is the time to the first piece.
	FirstToken time.Duration
	// MeanGap is the mean time between two pieces.
	MeanGap time.Duration
	// RequestID is the id that the router gave the request.
	RequestID string
}

type chatRequest struct {
	Model     ident.ServiceName `json:"model"`
	Messages  []chatMessage     `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// event is the union of what a stream or a plain answer carries.
type event struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *fault.Problem `json:"error"`
}

// RenderPrompt returns the text that the engine reads for a user's message.
func RenderPrompt(content string) string { return "user: " + content + "\n" }

// Chat asks a language model and reads the answer to its end.
func (c *Client) Chat(ctx context.Context, service ident.ServiceName, content string, stream bool) (chat ChatResult, err error) {
	started := time.Now()
	body, err := json.Marshal(chatRequest{
		Model:    service,
		Messages: []chatMessage{{Role: "user", Content: content}},
		Stream:   stream,
	})
	if err != nil {
		return chat, err
	}
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		return chat, err
	}
	defer func() { _ = response.Body.Close() }()
	chat.Status = response.StatusCode
	chat.RequestID = response.Header.Get("X-Request-Id")
	if response.StatusCode != http.StatusOK {
		chat.Problem = readProblem(response.Body)
		return chat, nil
	}
	if stream {
		return readStream(response.Body, chat, started)
	}
	return readWhole(response.Body, chat)
}

func readStream(body io.Reader, chat ChatResult, started time.Time) (ChatResult, error) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	var first, last time.Time
	finish, count := "", -1
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			chat.Text = text.String()
			chat.Complete = finish != "" && count == chat.Tokens
			return chat, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return chat, err
		}
		if e.Error != nil {
			chat.Text = text.String()
			chat.Problem = e.Error
			return chat, nil
		}
		if e.Usage != nil {
			count = e.Usage.CompletionTokens
		}
		finish = e.Choices[0].FinishReason
		if e.Choices[0].Delta.Content == "" {
			continue
		}
		last = time.Now()
		if chat.Tokens == 0 {
			first = last
			chat.FirstToken = first.Sub(started)
		}
		chat.Tokens++
		chat.MeanGap = last.Sub(first) / time.Duration(max(1, chat.Tokens-1))
		text.WriteString(e.Choices[0].Delta.Content)
	}
	chat.Text = text.String()
	return chat, errors.Join(io.ErrUnexpectedEOF, lines.Err())
}

func readWhole(body io.Reader, chat ChatResult) (ChatResult, error) {
	var e event
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return chat, err
	}
	chat.Text = e.Choices[0].Message.Content
	chat.Tokens = e.Usage.CompletionTokens
	chat.Complete = e.Choices[0].FinishReason != ""
	return chat, nil
}

// CallResult is what a caller got for a call of a plain service.
type CallResult struct {
	Status   int
	Body     string
	Problem  *fault.Problem
	Replayed bool
}

// Call calls a plain service; an empty key sends no idempotency key.
func (c *Client) Call(ctx context.Context, service ident.ServiceName, method, path, key, body string) (reply CallResult, err error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.send(ctx, method, "/services/"+string(service)+path, header, []byte(body))
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	reply.Status = response.StatusCode
	reply.Replayed = response.Header.Get("Idempotency-Replayed") == "true"
	if response.Header.Get("Content-Type") == fault.ProblemType {
		reply.Problem = readProblem(response.Body)
		return reply, nil
	}
	answer, err := io.ReadAll(response.Body)
	reply.Body = string(answer)
	return reply, err
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header
	}
	// A caller knows best whether to send again.
	request.GetBody = nil
	return c.http.Do(request)
}

func readProblem(body io.Reader) *fault.Problem {
	var problem fault.Problem
	if err := json.NewDecoder(body).Decode(&problem); err != nil {
		return &fault.Problem{Title: "the answer is no problem document: " + err.Error()}
	}
	return &problem
}
