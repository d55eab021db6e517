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

// longPrompt asks for an answer that takes some seconds.
const longPrompt = "summarise the permit packet length=150 of the contractor"

const (
	maxOutput    = 1500
	lookupCount  = 200
	loadPerEntry = 8
	settleTime   = time.Second
	readyTimeout = 20 * time.Second

	untilFirstKill = 500 * time.Millisecond
)

var steps = []struct {
	name string
	run  func(ctx context.Context, f *fleet) (string, error)
}{
	{"a streamed reading request is answered whole", streamedRequest},
	{"a request of the other deployment too", otherDeployment},
	{"an action sent twice with one key runs once", actionTwice},
	{"a renewal sent again with a new key runs once", renewalTwice},
	{"lookups are answered", lookups},
	{"a changed document is in force at both entries", changedDocument},
	{"an agent killed in mid-stream cuts no answer", killedAgent},
	{"an entry stopped under load cuts nothing", stoppedEntry},
	{"the burn report shows the services", burnReport},
}

func (f *fleet) caller(entry string) *caller.Client {
	return caller.NewClient(f.HTTP, f.Processes[entry].Listen)
}

// awaitPools waits until both entries know the endpoints of both deployments.
func (f *fleet) awaitPools() error {
	deadline := time.Now().Add(readyTimeout)
	for _, entry := range []string{"entry-1", "entry-2"} {
		for _, service := range []ident.ServiceName{"packet-reading", "kiosk-model"} {
			for {
				chat, err := f.caller(entry).Chat(context.Background(), service, "hello length=1", false)
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

// ask sends a reading request and checks its answer to the letter.
func (f *fleet) ask(ctx context.Context, entry string, service ident.ServiceName, prompt string) (caller.ChatResult, error) {
	chat, err := f.caller(entry).Chat(ctx, service, prompt, true)
	switch {
	case err != nil:
		return chat, fmt.Errorf("the stream was cut: %w", err)
	case chat.Problem != nil:
		return chat, fmt.Errorf("refused: %s (%s)", chat.Problem.Code, chat.Problem.Detail)
	case !chat.Complete:
		return chat, errors.New("the answer is not whole")
	case chat.Text != fake.Output(caller.RenderPrompt(prompt), maxOutput):
		return chat, errors.New("the answer is wrong")
	}
	return chat, nil
}

func streamedRequest(ctx context.Context, f *fleet) (string, error) {
	chat, err := f.ask(ctx, "entry-1", "packet-reading", longPrompt)
	return described(chat), err
}

func otherDeployment(ctx context.Context, f *fleet) (string, error) {
	chat, err := f.ask(ctx, "entry-2", "kiosk-model", "who damaged the helmet length=30")
	return described(chat), err
}

func described(chat caller.ChatResult) string {
	return fmt.Sprintf("%d tokens, first after %s, then one each %s", chat.Tokens,
		chat.FirstToken.Round(time.Millisecond), chat.MeanGap.Round(100*time.Microsecond))
}

func actionTwice(ctx context.Context, f *fleet) (string, error) {
	return f.twice(ctx, "kiosk-app", "/lockers/12/unlock", "key-1", "key-1", `{"rental":"r1"}`, "kiosk-1")
}

func renewalTwice(ctx context.Context, f *fleet) (string, error) {
	body := `{"permit":"p77","period":"2026-12"}`
	return f.twice(ctx, "renewal-desk", "/renewals", "first-key", "second-key", body, "renewal-1", "renewal-2")
}

// twice sends one action through both entries and counts its runs.
func (f *fleet) twice(ctx context.Context, service ident.ServiceName, path, firstKey, secondKey, body string, hosts ...string) (string, error) {
	first, err := f.caller("entry-1").Call(ctx, service, http.MethodPost, path, firstKey, body)
	if err != nil {
		return "", err
	}
	second, err := f.caller("entry-2").Call(ctx, service, http.MethodPost, path, secondKey, body)
	if err != nil {
		return "", err
	}
	if first.Problem != nil || second.Problem != nil {
		return "", fmt.Errorf("refused: %+v %+v", first.Problem, second.Problem)
	}
	runs := 0
	for _, host := range hosts {
		var list []fake.Run
		if err := f.GetJSON(ctx, f.Processes[host].Listen, "/stand-in/runs", &list); err != nil {
			return "", err
		}
		for _, run := range list {
			if run.Path == path {
				runs++
			}
		}
	}
	if runs != 1 || first.Body != second.Body {
		return "", fmt.Errorf("%d runs, answers %q and %q", runs, first.Body, second.Body)
	}
	return fmt.Sprintf("%d run, both got %s", runs, strings.TrimSpace(second.Body)), nil
}

func lookups(ctx context.Context, f *fleet) (string, error) {
	var answered atomic.Int64
	var tasks conc.WaitGroup
	started := time.Now()
	for i := range lookupCount {
		tasks.Go(func() {
			entry := []string{"entry-1", "entry-2"}[i%2]
			reply, err := f.caller(entry).Call(ctx, "renewal-desk", http.MethodGet, fmt.Sprintf("/permits/%d/status", i%20), "", "")
			if err == nil && reply.Problem == nil {
				answered.Add(1)
			}
		})
	}
	tasks.Wait()
	seen := fmt.Sprintf("%d of %d at once, in %s", answered.Load(), lookupCount, time.Since(started).Round(time.Millisecond))
	if answered.Load() != lookupCount {
		return "", errors.New(seen)
	}
	return seen, nil
}

// changedDocument adds a call to a service and uses it through both entries.
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
	said, err := f.RunCommand("service", "--platform", string(f.Platform), "put", file)
	if err != nil {
		return "", err
	}
	took := time.Since(started).Round(time.Millisecond)
	time.Sleep(settleTime)
	for _, entry := range []string{"entry-1", "entry-2"} {
		reply, err := f.caller(entry).Call(ctx, "kiosk-app", http.MethodGet, "/kiosks/3/helmets", "", "")
		if err != nil || reply.Problem != nil {
			return "", fmt.Errorf("%s still serves the old document: %v %+v", entry, err, reply.Problem)
		}
	}
	return fmt.Sprintf("accepted after %s: %s", took, strings.TrimSpace(said)), nil
}

func killedAgent(ctx context.Context, f *fleet) (string, error) {
	var tasks conc.WaitGroup
	var chat caller.ChatResult
	var failure error
	tasks.Go(func() { chat, failure = f.ask(ctx, "entry-1", "packet-reading", longPrompt+" again") })
	time.Sleep(untilFirstKill)
	victim, err := f.busyDecoder(ctx)
	if err != nil {
		return "", err
	}
	f.Kill("agent-" + victim)
	tasks.Wait()
	if failure != nil {
		return "", failure
	}
	address := f.Processes[victim].Listen
	if err := f.StartAgent(victim, "reading-decode", "cascadia-west", "language-model", address); err != nil {
		return "", err
	}
	left, err := f.awaitIdle(ctx, address)
	return fmt.Sprintf("killed agent-%s; %d tokens whole; engine memory free %s after the restart", victim, chat.Tokens, left), err
}

// busyDecoder finds a decode engine that works for somebody.
func (f *fleet) busyDecoder(ctx context.Context) (string, error) {
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

// awaitIdle waits until an engine holds nothing and returns how long it took.
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
	var whole atomic.Int64
	failures := make(chan error, loadPerEntry)
	for i := range loadPerEntry {
		tasks.Go(func() {
			_, err := f.ask(ctx, "entry-2", "packet-reading", fmt.Sprintf("%s number %d", longPrompt, i))
			if err != nil {
				failures <- err
				return
			}
			whole.Add(1)
		})
	}
	time.Sleep(untilFirstKill)
	err := f.Stop("entry-2")
	tasks.Wait()
	close(failures)
	for failure := range failures {
		return "", failure
	}
	if err != nil {
		return "", fmt.Errorf("the entry exited with %w", err)
	}
	return fmt.Sprintf("%d of %d streams whole, exit code 0", whole.Load(), loadPerEntry), nil
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
