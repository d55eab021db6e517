// Package caller is a client of the router's public API, for the demo, the measurements
// and the tests. It verifies responses as far as any caller can.
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
	"crocusstep/reply"
)

// Client sends requests to one entry.
type Client struct {
	http  *http.Client
	entry ident.Address
}

// NewClient returns a client of the entry at an address.
func NewClient(client *http.Client, entry ident.Address) *Client {
	return &Client{http: reply.Client(client), entry: entry}
}

// ChatResult is the result of a chat completion.
type ChatResult struct {
	Status int
	Text   string
	// Tokens is the number of tokens received.
	Tokens int
	// Complete is true if the response had a finish reason and, if streamed, a token
	// count that equals Tokens.
	Complete bool
	// Problem is set if the request was refused or the stream ended with an error event.
	Problem *fault.Problem
	// FirstToken is the time to the first token of a stream.
	FirstToken time.Duration
	// MeanInterTokenLatency is the mean time between two tokens of a stream.
	MeanInterTokenLatency time.Duration
	// RequestID is the id that the router assigned to the request.
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

// completion combines the fields of a stream's events and of a response without streaming.
type completion struct {
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

// RenderPrompt returns the prompt that the engine receives for a user's message.
func RenderPrompt(content string) string { return "user: " + content + "\n" }

// Chat requests a chat completion and reads the response to its end. A stream that ends
// without its end marker returns io.ErrUnexpectedEOF.
func (c *Client) Chat(ctx context.Context, service ident.ServiceName, content string, stream bool) (result ChatResult, err error) {
	return c.LimitedChat(ctx, service, content, stream, 0)
}

// LimitedChat is Chat with a limit of tokens; zero is none.
func (c *Client) LimitedChat(ctx context.Context, service ident.ServiceName, content string, stream bool, maxTokens int) (result ChatResult, err error) {
	started := time.Now()
	body, err := json.Marshal(chatRequest{
		Model:     service,
		Messages:  []chatMessage{{Role: "user", Content: content}},
		Stream:    stream,
		MaxTokens: maxTokens,
	})
	if err != nil {
		return result, err
	}
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	result.RequestID = response.Header.Get("X-Request-Id")
	if response.StatusCode != http.StatusOK {
		result.Problem = readProblem(response.Body)
		return result, nil
	}
	if stream {
		return readStream(response.Body, result, started)
	}
	return readResponse(response.Body, result)
}

func readStream(body io.Reader, result ChatResult, started time.Time) (ChatResult, error) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	var firstAt, lastAt time.Time
	finishReason, reportedTokens := "", -1
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			result.Text = text.String()
			result.Complete = finishReason != "" && reportedTokens == result.Tokens
			return result, nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return result, err
		}
		if c.Error != nil {
			result.Text = text.String()
			result.Problem = c.Error
			return result, nil
		}
		if c.Usage != nil {
			reportedTokens = c.Usage.CompletionTokens
		}
		finishReason = c.Choices[0].FinishReason
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		lastAt = time.Now()
		if result.Tokens == 0 {
			firstAt = lastAt
			result.FirstToken = firstAt.Sub(started)
		}
		result.Tokens++
		result.MeanInterTokenLatency = lastAt.Sub(firstAt) / time.Duration(max(1, result.Tokens-1))
		text.WriteString(c.Choices[0].Delta.Content)
	}
	result.Text = text.String()
	return result, errors.Join(io.ErrUnexpectedEOF, lines.Err())
}

func readResponse(body io.Reader, result ChatResult) (ChatResult, error) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return result, err
	}
	result.Text = c.Choices[0].Message.Content
	result.Tokens = c.Usage.CompletionTokens
	result.Complete = c.Choices[0].FinishReason != ""
	return result, nil
}

// CallResult is the result of a call of a plain service.
type CallResult struct {
	Status  int
	Body    string
	Problem *fault.Problem
	// Replayed is true if the response is that of an earlier call with the same key.
	Replayed bool
}

// Call calls a plain service. With an empty key it sends no Idempotency-Key.
func (c *Client) Call(ctx context.Context, service ident.ServiceName, method, path, key, body string) (result CallResult, err error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.send(ctx, method, "/services/"+string(service)+path, header, []byte(body))
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	result.Replayed = response.Header.Get("Idempotency-Replayed") == "true"
	if response.Header.Get("Content-Type") == fault.ProblemType {
		result.Problem = readProblem(response.Body)
		return result, nil
	}
	content, err := io.ReadAll(response.Body)
	result.Body = string(content)
	return result, err
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header
	}
	// Without GetBody the HTTP client can't resend the request: retries are up to the
	// caller.
	request.GetBody = nil
	return c.http.Do(request)
}

func readProblem(body io.Reader) *fault.Problem {
	var problem fault.Problem
	if err := json.NewDecoder(body).Decode(&problem); err != nil {
		return &fault.Problem{Title: "the response is not a problem document: " + err.Error()}
	}
	return &problem
}
