package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/ident"
)

var documents = []string{
	"examples/halvorsen/services/packet-reading.yaml",
	"examples/halvorsen/services/renewal-desk.yaml",
	"examples/khuzam/services/kiosk-model.yaml",
	"examples/khuzam/services/kiosk-app.yaml",
}

var endpoints = []struct{ name, pool, region, kind string }{
	{"reading-p1", "reading-prefill", "cascadia-west", "language-model"},
	{"reading-p2", "reading-prefill", "cascadia-west", "language-model"},
	{"reading-d1", "reading-decode", "cascadia-west", "language-model"},
	{"reading-d2", "reading-decode", "cascadia-west", "language-model"},
	{"renewal-1", "renewal-desk", "cascadia-west", "plain"},
	{"renewal-2", "renewal-desk", "cascadia-west", "plain"},
	{"kiosk-p1", "kiosk-prefill", "muscat", "language-model"},
	{"kiosk-d1", "kiosk-decode", "muscat", "language-model"},
	{"kiosk-1", "kiosk-app", "muscat", "plain"},
}

// longPrompt produces a stream of several seconds.
const longPrompt = "summarise the permit packet length=150 of the contractor"

const (
	// maxOutput is the limit of output tokens of packet-reading. No prompt of the demo
	// reaches its service's limit.
	maxOutput         = 1500
	lookupCount       = 200
	concurrentStreams = 8
	// propagationDelay is the time between the acceptance of a document and its use.
	propagationDelay = time.Second
	readyTimeout     = 20 * time.Second
	// faultDelay is the time between the start of streams and the end of a process.
	faultDelay = 500 * time.Millisecond
)

var steps = []struct {
	name string
	run  func(ctx context.Context, f *fleet) (string, error)
}{
	{"a streamed request gets its complete response", streamedRequest},
	{"a request to the other deployment does too", otherDeployment},
	{"an action sent twice with the same key runs once", actionTwice},
	{"a renewal sent again with a new key runs once", renewalTwice},
	{"lookups are answered", lookups},
	{"a changed document becomes active at both entries", changedDocument},
	{"killing an agent in mid-stream interrupts no response", killedAgent},
	{"stopping an entry under load interrupts no response", stoppedEntry},
	{"the burn report lists the services", burnReport},
}

func (f *fleet) client(entry string) *caller.Client {
	return caller.NewClient(f.HTTP, f.Processes[entry].Listen)
}

// awaitPools waits until both entries have endpoints of both deployments. It returns
// an error after 20 seconds.
func (f *fleet) awaitPools() error {
	deadline := time.Now().Add(readyTimeout)
	for _, entry := range []string{"entry-1", "entry-2"} {
		for _, service := range []ident.ServiceName{"packet-reading", "kiosk-model"} {
			for {
				chat, err := f.client(entry).Chat(context.Background(), service, "hello length=1", false)
				if err == nil && chat.Complete {
					break
				}
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve %s: %v %+v", entry, service, err, chat.Problem)
				}
				time.Sleep(time.Second)
			}
		}
	}
	return nil
}

// streamChat streams a chat completion and checks that the response is complete and its
// text correct.
func (f *fleet) streamChat(ctx context.Context, entry string, service ident.ServiceName, prompt string) (caller.ChatResult, error) {
	chat, err := f.client(entry).Chat(ctx, service, prompt, true)
	switch {
	case err != nil:
		return chat, fmt.Errorf("the stream was interrupted: %w", err)
	case chat.Problem != nil:
		return chat, fmt.Errorf("refused: %s (%s)", chat.Problem.Code, chat.Problem.Detail)
	case !chat.Complete:
		return chat, errors.New("the response is incomplete")
	case chat.Text != fake.Output(caller.RenderPrompt(prompt), maxOutput):
		return chat, errors.New("the response has the wrong text")
	}
	return chat, nil
}

func streamedRequest(ctx context.Context, f *fleet) (string, error) {
	chat, err := f.streamChat(ctx, "entry-1", "packet-reading", longPrompt)
	return describe(chat), err
}

func otherDeployment(ctx context.Context, f *fleet) (string, error) {
	chat, err := f.streamChat(ctx, "entry-2", "kiosk-model", "who damaged the helmet length=30")
	return describe(chat), err
}

func describe(chat caller.ChatResult) string {
	return fmt.Sprintf("%d tokens, first token after %s, mean inter-token latency %s", chat.Tokens,
		chat.FirstToken.Round(time.Millisecond), chat.MeanInterTokenLatency.Round(100*time.Microsecond))
}

func actionTwice(ctx context.Context, f *fleet) (string, error) {
	return f.sendTwice(ctx, "kiosk-app", "/lockers/12/unlock", "key-1", "key-1", `{"rental":"r1"}`, "kiosk-1")
}

func renewalTwice(ctx context.Context, f *fleet) (string, error) {
	body := `{"permit":"p77","period":"2026-12"}`
	return f.sendTwice(ctx, "renewal-desk", "/renewals", "first-key", "second-key", body, "renewal-1", "renewal-2")
}

// sendTwice sends an action through both entries and checks that the endpoints executed
// it once and that both responses have the same body.
func (f *fleet) sendTwice(ctx context.Context, service ident.ServiceName, path, firstKey, secondKey, body string, endpointNames ...string) (string, error) {
	first, err := f.client("entry-1").Call(ctx, service, http.MethodPost, path, firstKey, body)
	if err != nil {
		return "", err
	}
	second, err := f.client("entry-2").Call(ctx, service, http.MethodPost, path, secondKey, body)
	if err != nil {
		return "", err
	}
	if first.Problem != nil || second.Problem != nil {
		return "", fmt.Errorf("refused: %+v %+v", first.Problem, second.Problem)
	}
	runs := 0
	for _, endpointName := range endpointNames {
		var executed []fake.Run
		if err := f.GetJSON(ctx, f.Processes[endpointName].Listen, "/stand-in/runs", &executed); err != nil {
			return "", err
		}
		for _, run := range executed {
			if run.Path == path {
				runs++
			}
		}
	}
	if runs != 1 || first.Body != second.Body {
		return "", fmt.Errorf("%d runs, responses %q and %q", runs, first.Body, second.Body)
	}
	return fmt.Sprintf("%d run, both callers got %s", runs, strings.TrimSpace(second.Body)), nil
}

func lookups(ctx context.Context, f *fleet) (string, error) {
	var answered atomic.Int64
	var tasks conc.WaitGroup
	started := time.Now()
	for i := range lookupCount {
		tasks.Go(func() {
			entry := []string{"entry-1", "entry-2"}[i%2]
			result, err := f.client(entry).Call(ctx, "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", i%20), "", "")
			if err == nil && result.Problem == nil {
				answered.Add(1)
			}
		})
	}
	tasks.Wait()
	observed := fmt.Sprintf("%d of %d concurrent lookups answered in %s", answered.Load(), lookupCount, time.Since(started).Round(time.Millisecond))
	if answered.Load() != lookupCount {
		return "", errors.New(observed)
	}
	return observed, nil
}

// changedDocument adds a call to a service's document and sends it through both entries.
func changedDocument(ctx context.Context, f *fleet) (string, error) {
	text, err := os.ReadFile("examples/khuzam/services/kiosk-app.yaml")
	if err != nil {
		return "", err
	}
	changed := strings.Replace(string(text), "calls:", "calls:\n  - match: GET /kiosks/{kiosk}/helmets\n    class: lookup", 1)
	file, err := f.WriteFile("kiosk-app.yaml", changed)
	if err != nil {
		return "", err
	}
	started := time.Now()
	output, err := f.RunCommand("service", "--platform", string(f.Platform), "put", file)
	if err != nil {
		return "", err
	}
	elapsed := time.Since(started).Round(time.Millisecond)
	time.Sleep(propagationDelay)
	for _, entry := range []string{"entry-1", "entry-2"} {
		result, err := f.client(entry).Call(ctx, "kiosk-app", http.MethodGet, "/kiosks/3/helmets", "", "")
		if err != nil || result.Problem != nil {
			return "", fmt.Errorf("%s still serves the old document: %v %+v", entry, err, result.Problem)
		}
	}
	return fmt.Sprintf("accepted after %s: %s", elapsed, strings.TrimSpace(output)), nil
}

func killedAgent(ctx context.Context, f *fleet) (string, error) {
	var tasks conc.WaitGroup
	var chat caller.ChatResult
	var chatErr error
	tasks.Go(func() { chat, chatErr = f.streamChat(ctx, "entry-1", "packet-reading", longPrompt+" again") })
	time.Sleep(faultDelay)
	engineName, err := f.busyDecodeEngine(ctx)
	if err != nil {
		return "", err
	}
	f.Kill("agent-" + engineName)
	tasks.Wait()
	if chatErr != nil {
		return "", chatErr
	}
	address := f.Processes[engineName].Listen
	if err := f.StartAgent(engineName, "reading-decode", "cascadia-west", "language-model", address); err != nil {
		return "", err
	}
	freedAfter, err := f.awaitIdle(ctx, address)
	return fmt.Sprintf("killed agent-%s; all %d tokens received; engine memory free %s after the restart", engineName, chat.Tokens, freedAfter), err
}

// busyDecodeEngine returns the name of an engine that decodes a request.
func (f *fleet) busyDecodeEngine(ctx context.Context) (string, error) {
	for ctx.Err() == nil {
		for _, name := range []string{"reading-d1", "reading-d2"} {
			var list []map[string]string
			if err := f.GetJSON(ctx, f.Processes[name].Listen, "/engine/requests", &list); err != nil {
				return "", err
			}
			for _, r := range list {
				if r["state"] == "decode" {
					return name, nil
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", ctx.Err()
}

// awaitIdle waits until an engine holds no requests and returns the time that took.
func (f *fleet) awaitIdle(ctx context.Context, engine ident.Address) (time.Duration, error) {
	started := time.Now()
	for ctx.Err() == nil {
		var list []map[string]string
		if err := f.GetJSON(ctx, engine, "/engine/requests", &list); err != nil {
			return 0, err
		}
		if len(list) == 0 {
			return time.Since(started).Round(10 * time.Millisecond), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("the engine still holds memory: %w", ctx.Err())
}

func stoppedEntry(ctx context.Context, f *fleet) (string, error) {
	var tasks conc.WaitGroup
	var completed atomic.Int64
	streamErrors := make(chan error, concurrentStreams)
	for i := range concurrentStreams {
		tasks.Go(func() {
			_, err := f.streamChat(ctx, "entry-2", "packet-reading", fmt.Sprintf("%s number %d", longPrompt, i))
			if err != nil {
				streamErrors <- err
				return
			}
			completed.Add(1)
		})
	}
	time.Sleep(faultDelay)
	err := f.Stop("entry-2")
	tasks.Wait()
	close(streamErrors)
	for streamErr := range streamErrors {
		return "", streamErr
	}
	if err != nil {
		return "", fmt.Errorf("the entry exited with %w", err)
	}
	return fmt.Sprintf("%d of %d streams complete, exit code 0", completed.Load(), concurrentStreams), nil
}

func burnReport(_ context.Context, f *fleet) (string, error) {
	token := f.Folder + "/token"
	text, err := f.RunCommand("report", "burn", "--entry", string(f.Processes["entry-1"].Admin), "--token-file", token)
	if err != nil {
		return "", err
	}
	fmt.Print(text)
	return fmt.Sprintf("%d services", strings.Count(text, "\n")-1), nil
}
