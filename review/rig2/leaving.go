package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is the bound drainMs of the small deployments.
	drainTime = 2500 * time.Millisecond
	// callWork is how long a plain request runs.
	callWork     = 1500 * time.Millisecond
	callDeadline = 5 * time.Second
	// lingerTime is how much longer than drainMs the worker that leaves serves on.
	lingerTime = 5500 * time.Millisecond
)

// sentCall is a plain request of a client and what came of it.
type sentCall struct {
	id, relay string
	at        time.Time
	status    int
	// leavingAt is when the client got an answer with Server-Leaving, of the worker leaving.
	leavingAt time.Time
	leaving   string
}

// callers sends plain requests that may run once only, and records them.
type callers struct {
	system *system
	mutex  sync.Mutex
	calls  []*sentCall
	wait   sync.WaitGroup
}

// run sends a request to each relay in turn until the context ends.
func (c *callers) run(ctx context.Context, relays []*node, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := 0; ctx.Err() == nil; i++ {
		call := &sentCall{id: randomID(), relay: relays[i%len(relays)].name, at: time.Now()}
		c.mutex.Lock()
		c.calls = append(c.calls, call)
		c.mutex.Unlock()
		address := fmt.Sprintf("%s:%d", relays[i%len(relays)].ip, c.system.ports.front)
		c.wait.Go(func() { c.send(client, address, call) })
		time.Sleep(pause)
	}
	c.wait.Wait()
}

func (c *callers) send(client *http.Client, address string, call *sentCall) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/filings/"+call.id, strings.NewReader("a filing"))
	if err != nil {
		return
	}
	// Keeps the transport from sending the request again.
	request.GetBody = nil
	request.Host = host
	request.Header.Set(attemptIDHeader, call.id)
	request.Header.Set("X-Deadline-Ms", "5000")
	c.system.note("client sends %s to %s", call.id, call.relay)
	response, err := client.Do(request)
	if err != nil {
		c.system.note("client gets no answer to %s: %v", call.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.system.note("client: the answer to %s breaks off: %v", call.id, err)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call.status = response.StatusCode
	if response.Header.Get("Server-Leaving") != "" {
		call.leaving, call.leavingAt = strings.TrimSuffix(response.Header.Get("X-Server-Seal"), ".seal"), time.Now()
	}
	c.system.note("client gets %d for %s from %s, Server-Leaving %q", call.status, call.id, call.relay, response.Header.Get("Server-Leaving"))
}

// playLeaving plays the case of a worker that leaves without a report, while the store comes back from a
// copy and is away once more.
func playLeaving(s *system, trouble bool) error {
	s.store.put("config", "main", leavingConfiguration())
	zones := []string{"yard-a", "yard-b", "yard-c"}
	var workers []*worker
	for i, zone := range zones {
		w, err := s.addWorker(workerConfig{id: fmt.Sprintf("i-desk-%d", i+1), service: "renewal-desk", version: "1", zone: zone, slots: 16, interval: callWork}, i+1)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	if _, err := s.addWorker(workerConfig{id: "i-reader-1", service: "packet-reader", version: "1", stage: "prefill", zone: zones[0], slots: engineSlots}, 1); err != nil {
		return err
	}
	var relays []*node
	for i, zone := range zones {
		n, err := s.addRelay(i+1, zone)
		if err != nil {
			return err
		}
		relays = append(relays, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &callers{system: s}
	done := make(chan struct{})
	go func() {
		c.run(ctx, relays, 120*time.Millisecond)
		close(done)
	}()
	time.Sleep(6 * time.Second)

	saved, began := s.store.copyNow(), time.Now()
	after := func(seconds float64) { sleepUntil(began.Add(time.Duration(seconds * float64(time.Second)))) }
	after(2)
	gone := workers[0]
	s.note("%s leaves without a report: its entry is removed, it says so in all its answers, and serves on for %s and %s more", gone.id, drainTime, lingerTime)
	gone.leave()
	leftAt := time.Now()
	time.AfterFunc(drainTime+lingerTime, func() {
		s.note("%s ends", gone.id)
		gone.end()
	})
	// PART plays one of the two disruptions alone.
	part := os.Getenv("PART")
	if trouble && part != "outage" {
		after(3)
		s.note("the store is away")
		s.store.leave()
		after(3.5)
		s.store.restore(saved)
		s.store.comeBack()
		s.note("the store is back from a copy that is 3.5 s old, with the entry of %s", gone.id)
		for _, w := range workers[1:] {
			w.beat()
		}
	}
	if trouble && part != "drill" {
		after(6.5)
		s.note("the store is away")
		s.store.leave()
	}
	after(7.1)
	// Three heartbeat intervals of silence have passed since its return.
	s.store.remove("servers", gone.id)
	after(11)
	s.store.comeBack()
	s.note("the store is in service; the entry of %s has lapsed", gone.id)
	after(14)
	cancel()
	<-done
	return judgeLeaving(s, c, gone, leftAt)
}

// judgeLeaving checks that no relay sends the worker what came long after the relay had passed on that
// it leaves.
func judgeLeaving(s *system, c *callers, gone *worker, leftAt time.Time) error {
	known := map[string]time.Time{}
	calls := map[string]*sentCall{}
	for _, call := range c.calls {
		calls[call.id] = call
		if first, found := known[call.relay]; call.leaving == gone.id && (!found || call.leavingAt.Before(first)) {
			known[call.relay] = call.leavingAt
		}
	}
	for relay, at := range known {
		s.note("%s passed on an answer with Server-Leaving of %s after %.2f s", relay, gone.id, at.Sub(leftAt).Seconds())
	}
	late, lost := 0, 0
	gone.mutex.Lock()
	defer gone.mutex.Unlock()
	for _, a := range gone.arrivals {
		call := calls[a.id]
		first, found := known[call.relay]
		if !found || call.at.Sub(first) <= drainTime {
			continue
		}
		late++
		if call.status != http.StatusOK {
			lost++
		}
		s.note("%s, sent %.2f s after that, arrives at %s from %s; the client gets %d", a.id, call.at.Sub(first).Seconds(), gone.id, call.relay, call.status)
	}
	s.note("%d requests, %d relays passed on that %s leaves, %d requests reached it later than drainMs after that, of which %d ran there and were lost", len(c.calls), len(known), gone.id, late, lost)
	switch {
	case late > 0:
		return fmt.Errorf("%w: DRAIN: %d requests reached a worker later than drainMs after its leaving was passed on", errBroken, late)
	case len(known) == 0:
		return fmt.Errorf("no relay passed on that %s leaves, so that nothing was tested", gone.id)
	}
	return nil
}

func leavingConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "filings", "host": host, "pathPrefix": "/filings/", "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 300,
			"priority": 2, "maxAttempts": 1, "service": "renewal-desk",
		}},
		"services": []any{
			map[string]any{"name": "renewal-desk", "maxConns": 110},
			map[string]any{"name": "packet-reader", "maxConns": 370, "engine": map[string]any{"slots": engineSlots, "kvTokenCapacity": engineCapacity, "kvHoldS": 0.5, "stride": tokensPerEvent}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
