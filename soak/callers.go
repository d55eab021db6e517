package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"crocusstep/platform/double"
	"crocusstep/socket"
)

// exchange is one request and the response that its caller received.
type exchange struct {
	attempt string
	path    string
	relay   string
	// key is the caller's key, of the workspace.
	key       string
	workspace string
	// name is that of the relay's process.
	name            string
	sentAt, endedAt time.Time
	double.Response
}

// callers continuously send requests to the relays and record the responses.
type callers struct {
	*fleet
	count int

	mutex     sync.Mutex
	exchanges []exchange
	total     int
	served    int
	refused   int
	cancel    context.CancelFunc
	group     sync.WaitGroup
}

func newCallers(f *fleet, count int) *callers { return &callers{fleet: f, count: count} }

var paths = []string{double.ActionPath, double.LookupPath, double.StreamPath, double.ResumePath}

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range c.count {
		c.group.Go(func() { c.sendLoop(ctx, i, double.SteadyKey, double.SteadyWorkspace) })
	}
	for i := range meteredCallers {
		c.group.Go(func() { c.sendLoop(ctx, c.count+i, double.MeteredKey, double.MeteredWorkspace) })
	}
	for _, r := range c.relays {
		c.group.Go(func() { c.pollVersion(ctx, r) })
		c.group.Go(func() { c.pollKeys(ctx, r) })
	}
}

func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

// sendLoop sends one request after another. Three in four callers stay with their relay on one
// connection until its process is gone; the others change the relay now and then.
func (c *callers) sendLoop(ctx context.Context, index int, key, workspace string) {
	conns := newKeptConns()
	defer conns.close()
	client := &http.Client{Transport: conns}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		r := c.relays[index%len(c.relays)]
		if index%4 == 3 {
			r = c.relays[(index+sequence/16)%len(c.relays)]
		}
		e := exchange{
			attempt: fmt.Sprintf("a-%d-%d", index, sequence),
			path:    paths[(index+sequence)%len(paths)],
			relay:   r.listenAddress(), name: r.name,
			key: key, workspace: workspace, sentAt: time.Now(),
		}
		callCtx, cancel := context.WithTimeout(context.Background(), callerTimeout+callerSlack)
		e.Response = double.Call(callCtx, client, e.relay, e.path+"x", e.attempt, e.key, callerTimeout)
		cancel()
		e.endedAt = time.Now()
		if !errors.Is(e.Err, errNotConnected) {
			c.record(e)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// fate returns what became of the request.
func (e exchange) fate() fate {
	f := fate{request: e.attempt, kind: e.path, process: e.name, sentAt: e.sentAt, endedAt: e.endedAt, status: e.Status}
	switch {
	case e.Err != nil:
		f.ending, f.detail = endingOf(e.Err, e.Status != 0), e.Err.Error()
		if f.ending == cutOff && e.endedAt.Sub(e.sentAt) >= callerTimeout-deadlineMargin {
			// The relay ends a stream at the deadline that its caller stated.
			f.ending = outOfPatience
		}
	case e.Status == http.StatusOK:
		f.ending = answered
	default:
		f.ending = refused
	}
	return f
}

// judgeFates reports requests that ended with neither an answer nor a refusal.
func (c *callers) judgeFates() error {
	logged, err := c.loggedRequests()
	if err != nil {
		return err
	}
	sightings := map[string][]sighting{}
	for _, a := range c.recorder.Arrivals() {
		sightings[a.Attempt] = append(sightings[a.Attempt], sighting{at: a.At, endpoint: c.addresses[a.Endpoint]})
	}
	fates := make([]fate, 0, len(c.exchanges))
	for _, e := range c.exchanges {
		fates = append(fates, e.fate())
	}
	_, _ = fmt.Fprintln(c.out, "requests at relays:")
	c.judgeAll(fates, func(f fate) evidence { return evidence{logged: logged[f.request], sightings: sightings[f.request]} })
	return nil
}

func (c *callers) record(e exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.exchanges = append(c.exchanges, e)
	if e.workspace == double.MeteredWorkspace {
		// These callers ask for more than their quota.
		return
	}
	c.total++
	switch {
	case e.Status == http.StatusOK && e.Complete:
		c.served++
	case e.Status == http.StatusServiceUnavailable:
		c.refused++
	}
}

func (c *callers) counts() (total, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.total, c.served
}

// check compares the responses with what the endpoints executed.
func (c *callers) check() error {
	// Waits for late executions of refused requests, which are violations too.
	time.Sleep(time.Second)
	for _, e := range c.exchanges {
		runs := c.recorder.Runs(e.attempt)
		maxRuns := 1
		if e.path == double.LookupPath || e.path == double.ResumePath {
			maxRuns = 2
		}
		if len(runs) > maxRuns {
			c.reportViolation("%s %s ran at %v", e.path, e.attempt, runs)
		}
		if meansNotExecuted(e.Status) && len(runs) > 0 {
			c.reportViolation("%s %s was refused with %d and ran at %v", e.path, e.attempt, e.Status, runs)
		}
		if e.Status == http.StatusOK {
			c.checkResponse(e)
		}
	}
	c.checkWorkspaces()
	return c.judgeFates()
}

// meansNotExecuted reports whether a status guarantees that no endpoint executed the
// request.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *callers) checkResponse(e exchange) {
	want := double.ResponseBody(e.attempt)
	if e.path == double.StreamPath || e.path == double.ResumePath {
		// All events are of one software version, whichever it is.
		if want = streamOf(e.attempt, "v1"); !strings.HasPrefix(want, e.Body) {
			want = streamOf(e.attempt, "v2")
		}
	}
	switch {
	case !e.Signed:
		c.reportViolation("%s %s succeeded without the endpoint's signature", e.path, e.attempt)
	case e.Complete && e.Body != want, !strings.HasPrefix(want, e.Body):
		c.reportViolation("%s %s got %q", e.path, e.attempt, e.Body)
	}
}

func streamOf(attempt, version string) string {
	var events strings.Builder
	for id := 1; id <= double.EventCount(attempt); id++ {
		events.WriteString(double.StreamEvent(attempt, version, id))
	}
	return events.String()
}

// pollVersion checks that the configuration version that a relay uses never decreases
// within the lifetime of its process. The route of a version exists in that version only.
func (c *callers) pollVersion(ctx context.Context, r *relayProcess) {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	newest, incarnation := 0, 0
	for sequence := 0; ctx.Err() == nil; sequence++ {
		time.Sleep(150 * time.Millisecond)
		c.fleet.mutex.Lock()
		version, current := c.version, r.incarnation
		c.fleet.mutex.Unlock()
		if current != incarnation {
			newest, incarnation = 0, current
		}
		for _, requested := range []int{version, version - 1} {
			attempt := fmt.Sprintf("p-%s-%d-%d", r.name, sequence, requested)
			callCtx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			response := double.Call(callCtx, client, r.listenAddress(), double.VersionPath(requested)+"x", attempt, double.SteadyKey, callerTimeout)
			cancel()
			if response.Status != http.StatusOK || c.incarnationOf(r) != incarnation {
				continue
			}
			if requested < newest {
				c.reportViolation("%s went back from version %d to %d", r.name, newest, requested)
			}
			newest = max(newest, requested)
		}
	}
}

func (c *callers) incarnationOf(r *relayProcess) int {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	return r.incarnation
}
