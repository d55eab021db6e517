package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// filingDeadline is the clients' deadline and the route's timeout.
	filingDeadline = 5 * time.Second
	// downTime is how long a crashed worker is away.
	downTime = 2 * time.Second
	// deskWorkers and deskRelays are the workers of the service and the relays.
	deskWorkers = 6
	deskRelays  = 5
	// contactTime is contactMs.
	contactTime = 4 * time.Second
	// maxCrashRetries is the number of retries that may reach workers after the third crash.
	maxCrashRetries = 3
	// filingGap is the time between two sound requests.
	filingGap = 22 * time.Millisecond
	// repeatSpan is how long the request that crashes workers comes again, repeatGap the time
	// after which it does.
	repeatSpan = 95 * time.Second
	repeatGap  = 300 * time.Millisecond
	// abuseSpan, abuseSize and abuseGap are those of a caller that sends it several times at once.
	abuseSpan = 22 * time.Second
	abuseSize = 4
	abuseGap  = 5 * time.Second
	// quietTime is the time before sound requests are sent beside it.
	quietTime = time.Second
)

// crashes counts the crashes of workers by one request.
type crashes struct {
	mutex sync.Mutex
	at    []time.Time
}

// runForgotten sends a request that crashes each worker that begins to run it, again and again for
// longer than a minute, beside sound requests.
func runForgotten(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	return d.runPoison(ctx, trouble, repeatSpan, 0, d.repeat)
}

// runUnshared sends a request that crashes each worker that begins to run it several times at once,
// each time to other relays, beside sound requests.
func runUnshared(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	return d.runPoison(ctx, trouble, abuseSpan, quietTime, d.abuse)
}

// runPoison lets a caller send a request that crashes workers. Sound requests begin after a delay.
func (d *deployment) runPoison(ctx context.Context, trouble bool, span, delay time.Duration, send func(context.Context, []byte)) (broken bool, err error) {
	if err := d.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-file", "host": host, "pathPrefix": "/file/", "kind": "non_idempotent", "timeoutMs": filingDeadline.Milliseconds(),
			"targetLatencyMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1,
		}},
		"services": []any{
			map[string]any{"name": "desk", "maxConns": 110},
			map[string]any{"name": "reader", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvTokenCapacity": kvTokens, "kvHoldS": 0.5, "stride": 61}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}); err != nil {
		return false, err
	}
	if _, err := d.addEngines("reader", "v1"); err != nil {
		return false, err
	}
	var c crashes
	for range deskWorkers {
		if err := d.addWorker(&worker{service: "desk", version: "v1", onPoison: d.crash(&c)}); err != nil {
			return false, err
		}
	}
	for range deskRelays {
		if err := d.addRelay(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	spanCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	f := &filings{answers: map[string]int{}}
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(delay)
		d.file(spanCtx, f)
	})
	body := []byte("a filing that " + poison)
	if !trouble {
		body = []byte("a filing that is sound")
	}
	send(spanCtx, body)
	group.Wait()
	return d.checkPoison(&c, f), nil
}

// crash returns what a worker does with a request that crashes it: it ends, and a new process
// takes its place.
func (d *deployment) crash(c *crashes) func(*worker, string) {
	return func(w *worker, attempt string) {
		c.mutex.Lock()
		c.at = append(c.at, time.Now())
		count := len(c.at)
		c.mutex.Unlock()
		d.add("worker %s begins to run %s, which crashes it: crash %d", w.id, attempt, count)
		go func() {
			w.stop()
			time.Sleep(downTime)
			next := &worker{service: w.service, version: w.version, host: w.host, onPoison: w.onPoison}
			if err := d.addWorker(next); err != nil {
				d.add("a worker did not start again: %v", err)
			}
			time.Sleep(3*beat - downTime)
			d.store.Remove("servers", w.id)
		}()
	}
}

// sendAgain sends the repeated request once. It returns nil if there was no answer.
func (d *deployment) sendAgain(ctx context.Context, r *relay, body []byte, deadline time.Time) *http.Response {
	attempt := newAttempt()
	response, err := send(ctx, r, "/file/2f", attempt, body, deadline, nil)
	if err != nil {
		d.add("the repeated request: %s at %s fails: %v", attempt, r.name, err)
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.add("the repeated request: %s at %s is answered %d, Retry-After %q", attempt, r.name, response.StatusCode, response.Header.Get("Retry-After"))
	return response
}

// repeat sends the same request until the context ends, to one relay after the other. It asks again
// after a refusal as it is told.
func (d *deployment) repeat(ctx context.Context, body []byte) {
	for sent := 0; ctx.Err() == nil; {
		for deadline := time.Now().Add(filingDeadline); ctx.Err() == nil && time.Now().Before(deadline); sent++ {
			response := d.sendAgain(ctx, d.relays[sent%len(d.relays)], body, deadline)
			if response == nil || response.StatusCode != http.StatusServiceUnavailable {
				// It is no promise, so that this caller does not retry.
				sent++
				break
			}
			time.Sleep(retryDelay(response, deadline))
		}
		time.Sleep(repeatGap)
	}
}

// abuse sends the same request several times at once, and again after a while, until the context
// ends. Each time it goes to another relay.
func (d *deployment) abuse(ctx context.Context, body []byte) {
	for sent := 0; ctx.Err() == nil; {
		deadline := time.Now().Add(filingDeadline)
		for range abuseSize {
			d.sendAgain(ctx, d.relays[sent%len(d.relays)], body, deadline)
			sent++
		}
		time.Sleep(abuseGap)
	}
}

// filings counts the answers to sound requests.
type filings struct {
	mutex   sync.Mutex
	answers map[string]int
}

// file sends sound requests until the context ends.
func (d *deployment) file(ctx context.Context, f *filings) {
	var group sync.WaitGroup
	for sent := 0; ctx.Err() == nil; sent++ {
		group.Go(func() {
			answer := "no answer"
			attempt := newAttempt()
			response, err := send(context.Background(), d.relays[sent%len(d.relays)], "/file/2f", attempt, []byte("filing "+attempt), time.Now().Add(filingDeadline), nil)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				answer = fmt.Sprint(response.StatusCode)
			}
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.answers[answer]++
		})
		time.Sleep(filingGap)
	}
	group.Wait()
}

// checkPoison reports whether the request reached workers more often than allowed.
func (d *deployment) checkPoison(c *crashes, f *filings) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	retries := 0
	for i, at := range c.at {
		if i > 2 && at.Sub(c.at[2]) > contactTime {
			retries++
		}
	}
	d.add("the request crashed %d workers; %d times later than %s after the third crash, %d allowed", len(c.at), retries, contactTime, maxCrashRetries)
	d.add("sound requests by answer: %v", f.answers)
	return retries > maxCrashRetries
}
