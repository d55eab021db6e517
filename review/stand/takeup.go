package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// draftDeadline is how long the client waits, and the route's timeout.
	draftDeadline = 30 * time.Second
	// sheetDeadline is the deadline and the timeout of the sheets.
	sheetDeadline = 14 * time.Second
	// standbyTime is how long both services are there before the stream, moveDelay the time from
	// its start to the change of the configuration, and killDelay that to the end of the relay.
	standbyTime = 17 * time.Second
	moveDelay   = time.Second
	killDelay   = 3 * time.Second
	draftPieces = 48
	draftGap    = 250 * time.Millisecond
	// drainTime is drainMs, lingerTime how much longer a leaving worker serves.
	drainTime  = 2500 * time.Millisecond
	lingerTime = 500 * time.Millisecond
	// maxRetries is how often the client asks again within its deadline.
	maxRetries = 6
)

// runTakeUp replaces all workers of a model service by newer ones while a client reads a stream
// that lasts longer than its worker. The client takes the stream up again.
func runTakeUp(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	if err := d.configureDraft(3, "reader", draftDeadline); err != nil {
		return false, err
	}
	old, err := d.addEngines("reader", "v1")
	if err != nil {
		return false, err
	}
	for range 2 {
		if err := d.addRelay(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	released := make(chan error, 1)
	go func() {
		if !trouble {
			released <- nil
			return
		}
		time.Sleep(time.Second)
		released <- d.release(old)
	}()
	s := &draft{deployment: d, deadline: time.Now().Add(draftDeadline)}
	s.read(ctx)
	if err := <-released; err != nil {
		return false, err
	}
	return s.check(), nil
}

// runMoved moves a route to another model service while a client reads a stream, and kills the
// relay that forwards it. The client takes the stream up again.
func runMoved(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	if err := d.configureDraft(3, "reader", sheetDeadline); err != nil {
		return false, err
	}
	for service, version := range map[string]string{"reader": "v1", "reader-next": "v2"} {
		if _, err := d.addEngines(service, version); err != nil {
			return false, err
		}
	}
	for range 5 {
		if err := d.addRelay(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	d.add("both services stand ready for %s", standbyTime)
	time.Sleep(standbyTime)
	moved := make(chan error, 1)
	go func() {
		if !trouble {
			moved <- nil
			return
		}
		time.Sleep(moveDelay)
		d.add("config_change: the route moves to reader-next")
		moved <- d.configureDraft(5, "reader-next", sheetDeadline)
		time.Sleep(killDelay)
		d.add("node_kill: %s is killed", d.relays[0].name)
		_ = d.relays[0].command.Process.Kill()
	}()
	s := &draft{deployment: d, deadline: time.Now().Add(sheetDeadline)}
	s.read(ctx)
	if err := <-moved; err != nil {
		return false, err
	}
	return s.check(), nil
}

// configureDraft stores a configuration with a resumable route to a model service.
func (d *deployment) configureDraft(version int, service string, timeout time.Duration) error {
	engine := map[string]any{"slots": 64, "kvTokenCapacity": kvTokens, "kvHoldS": 0.5, "stride": 61}
	return d.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 900, "gapTargetMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{
			map[string]any{"name": "reader", "maxConns": 370, "engine": engine},
			map[string]any{"name": "reader-next", "maxConns": 370, "engine": engine},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addEngines starts two prefill and two decode workers of a software version.
func (d *deployment) addEngines(service, version string) (list []*worker, err error) {
	for _, stage := range []string{"prefill", "decode", "prefill", "decode"} {
		w := &worker{service: service, stage: stage, version: version, pieces: draftPieces, pieceGap: draftGap}
		if err := d.addWorker(w); err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// release replaces workers by newer ones: the new ones start first, the old ones drain, serve for
// drainTime and a little longer, and exit.
func (d *deployment) release(old []*worker) error {
	d.add("release: workers of v2 start")
	if _, err := d.addEngines("reader", "v2"); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, w := range old {
		w.leaving.Store(true)
		if err := w.register("draining"); err != nil {
			return err
		}
	}
	d.add("release: the workers of v1 are draining")
	time.Sleep(drainTime + lingerTime)
	for _, w := range old {
		w.stop()
		d.store.Remove("servers", w.id)
	}
	d.add("release: the workers of v1 have left")
	return nil
}

// draft is a client's stream over all its attempts.
type draft struct {
	*deployment
	deadline time.Time
	// pieces holds the version that made each piece, in order; last is the id of the last.
	pieces []string
	last   int
	// versions of the attempts that brought pieces, in order.
	parts []string
	// disorder is set if an id is not the one after the last.
	disorder bool
	complete bool
}

// read sends the request, and takes it up again after a broken connection, until the stream is
// complete.
func (s *draft) read(ctx context.Context) {
	for tries := 0; tries <= maxRetries && !s.complete && time.Now().Before(s.deadline); tries++ {
		r := s.relays[tries%len(s.relays)]
		attempt := newAttempt()
		header := map[string]string{"X-Model-Id": "m", "X-Token-Count": "5200,6000", "X-Prompt-Prefix": "5c1e07a2:200,91bd3f06:5000"}
		if s.last > 0 {
			header["Last-Event-Id"] = strconv.Itoa(s.last)
		}
		s.add("client sends %s to %s with Last-Event-Id %q, deadline in %s", attempt, r.name, header["Last-Event-Id"], time.Until(s.deadline).Round(time.Millisecond))
		response, err := send(ctx, r, "/draft/2f", attempt, []byte("{}"), s.deadline, header)
		if err != nil {
			s.add("client: %s fails: %v", attempt, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		s.readAnswer(attempt, response)
	}
}

// readAnswer reads one answer.
func (s *draft) readAnswer(attempt string, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		delay := retryDelay(response, s.deadline)
		s.add("client: %s is answered %d, Retry-After %q; asks again in %s", attempt, response.StatusCode, response.Header.Get("Retry-After"), delay.Round(time.Millisecond))
		time.Sleep(delay)
		return
	}
	first, part := s.last+1, ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id, _ := strconv.Atoi(value)
			s.disorder = s.disorder || id != s.last+1
			s.last = id
		case "data":
			s.pieces = append(s.pieces, value)
			part = value
		}
	}
	s.complete = lines.Err() == nil
	if part != "" {
		s.parts = append(s.parts, part)
	}
	s.add("client: %s is answered 200, seal %q, pieces %d to %d made by %s, complete %v", attempt, response.Header.Get("X-Server-Seal"), first, s.last, part, s.complete)
}

// check reports whether pieces of two software versions were joined.
func (s *draft) check() bool {
	versions := map[string]bool{}
	for _, v := range s.pieces {
		versions[v] = true
	}
	s.add("the client has %d pieces by %d versions (%s), complete %v, in order %v", len(s.pieces), len(versions), fmt.Sprint(s.parts), s.complete, !s.disorder)
	return len(versions) > 1 || s.disorder || s.complete && s.last != draftPieces
}
