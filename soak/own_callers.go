package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/fault"
)

const (
	// ownCallerCount is the number of callers of each entry.
	ownCallerCount = 5
	// ownCallerTimeout is above the services' patience, within which each request gets a response.
	ownCallerTimeout = ownPatience + 3*time.Second
	reconnectPause   = 50 * time.Millisecond

	chatKind   = "chat"
	streamKind = "streamed chat"
	actionKind = "action"
	lookupKind = "lookup"
)

var ownKinds = []string{streamKind, chatKind, actionKind, lookupKind, streamKind, lookupKind}

// ownFate is what became of a request at an entry.
type ownFate struct {
	fate
	// routerID is the id that the entry assigned, if its caller received it.
	routerID string
	// outcome is that of the refusal.
	outcome fault.Outcome
}

// ownCallers continuously send requests to the entries and record what becomes of them.
type ownCallers struct {
	*fleet
	mutex  sync.Mutex
	fates  []ownFate
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func (c *ownCallers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range ownCallerCount * len(c.own.entries) {
		c.group.Go(func() { c.sendLoop(ctx, i) })
	}
}

func (c *ownCallers) stop() {
	c.cancel()
	c.group.Wait()
}

// sendLoop sends one request after another. Most callers stay with their entry on one connection
// until its process is gone; one in five changes the entry now and then.
func (c *ownCallers) sendLoop(ctx context.Context, index int) {
	conns := newKeptConns()
	defer conns.close()
	rng := rand.New(rand.NewPCG(c.seed, uint64(index)))
	for sequence := 0; ctx.Err() == nil; sequence++ {
		entry := index % len(c.own.entries)
		if index%ownCallerCount == 0 {
			entry = (index + sequence/8) % len(c.own.entries)
		}
		kind := ownKinds[(index+sequence)%len(ownKinds)]
		id := fmt.Sprintf("c-%d-%d", index, sequence)
		f := c.send(conns, entry, id, kind, outputLength(rng))
		if f.ending == notSent {
			time.Sleep(reconnectPause)
			continue
		}
		c.record(f)
		if kind == actionKind && f.ending != answered && f.outcome != fault.NotExecuted {
			// Whether it has run is unknown: its caller sends it again, with the same key.
			c.record(c.send(conns, (entry+1)%len(c.own.entries), id, kind, 0))
		}
		time.Sleep(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
	}
}

// outputLength draws the tokens of an output: half of them are short, a quarter is near the limit.
func outputLength(rng *rand.Rand) int {
	switch rng.IntN(4) {
	case 0:
		return maxChatOutput - rng.IntN(10)
	case 1:
		return 20 + rng.IntN(maxChatOutput-20)
	}
	return 5 + rng.IntN(30)
}

func (c *ownCallers) record(f ownFate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fates = append(c.fates, f)
}

// send sends one request and returns what became of it.
func (c *ownCallers) send(conns *keptConns, entry int, id, kind string, tokens int) ownFate {
	ctx, cancel := context.WithTimeout(context.Background(), ownCallerTimeout)
	defer cancel()
	transport := &idTransport{next: conns}
	client := caller.NewClient(&http.Client{Transport: transport}, c.entryAddress(entry))
	f := ownFate{fate: fate{request: id, kind: kind, process: c.own.entries[entry], sentAt: time.Now()}}
	var problem *fault.Problem
	var err error
	complete := true
	switch kind {
	case streamKind, chatKind:
		var chat caller.ChatResult
		content := chatPrompt(id, tokens)
		chat, err = client.Chat(ctx, chatModel, content, kind == streamKind)
		f.status, problem, complete = chat.Status, chat.Problem, chat.Complete
		if want := fake.Output(caller.RenderPrompt(content), maxChatOutput); complete && chat.Text != want {
			c.reportViolation("%s %s got a complete answer with another text", kind, id)
		}
	case actionKind:
		var call caller.CallResult
		call, err = client.Call(ctx, callApp, http.MethodPost, "/actions/"+id, "key-"+id, `{"id":"`+id+`"}`)
		f.status, problem = call.Status, call.Problem
	default:
		var call caller.CallResult
		call, err = client.Call(ctx, callApp, http.MethodGet, "/lookups/"+id, "", "")
		f.status, problem = call.Status, call.Problem
	}
	f.endedAt, f.routerID = time.Now(), transport.routerID
	switch {
	case err != nil:
		f.ending, f.detail = endingOf(err, f.status != 0), err.Error()
	case problem != nil:
		f.ending, f.detail, f.outcome = refused, string(problem.Code), problem.Outcome
		if f.status == http.StatusOK {
			// The stream had begun: what its caller has is a part of an answer.
			f.ending = cutOff
		}
	case !complete:
		f.ending = cutOff
	default:
		f.ending = answered
	}
	return f
}

// idTransport keeps the id that an entry assigned to its last request.
type idTransport struct {
	next     http.RoundTripper
	routerID string
}

// RoundTrip implements http.RoundTripper.
func (t *idTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err == nil {
		t.routerID = response.Header.Get("X-Request-Id")
	}
	return response, err
}

// check reports requests that ended with neither an answer nor a refusal, refusals that are not
// true, and actions that ran twice.
func (c *ownCallers) check() error {
	log, err := c.readEntryLogs(c.fates)
	if err != nil {
		return err
	}
	all := make([]fate, 0, len(c.fates))
	for _, f := range c.fates {
		all = append(all, f.fate)
		seen := c.own.recorder.of(f.request)
		switch {
		case f.ending == refused && f.outcome == fault.NotExecuted && len(seen) > 0:
			c.reportViolation("refused as not run and seen: %s", verdict{fate: f.fate, evidence: evidence{sightings: seen}})
		case f.kind == actionKind && len(seen) > 1:
			c.reportViolation("an action ran more than once: %s", verdict{fate: f.fate, evidence: evidence{sightings: seen}})
		case f.ending == answered && len(seen) == 0:
			c.reportViolation("answered and never seen: %s", verdict{fate: f.fate})
		}
	}
	_, _ = fmt.Fprintln(c.out, "requests at entries:")
	c.judgeAll(all, func(f fate) evidence {
		return evidence{logged: log.readUnanswered(f), sightings: c.own.recorder.of(f.request)}
	})
	return nil
}
