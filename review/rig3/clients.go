package rig3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/platform/double"
)

// callTimeout is what clients state as their deadline.
const callTimeout = 3 * time.Second

// Clients send requests until they are stopped.
type Clients struct {
	// Served and Failed count the actions that were answered with success, and the others.
	Served, Failed atomic.Int64

	rig    *Rig
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewClients returns clients that send nothing yet.
func (r *Rig) NewClients() *Clients {
	ctx, cancel := context.WithCancel(r.ctx)
	return &Clients{rig: r, ctx: ctx, cancel: cancel, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Act lets a client send an action of its own to one relay after the other, with a pause between.
func (c *Clients) Act(name string, pause time.Duration) {
	c.group.Go(func() {
		for n := 0; c.ctx.Err() == nil; n++ {
			relay, attempt := c.rig.Relays[n%len(c.rig.Relays)], fmt.Sprintf("%s-%d", name, n)
			c.rig.Record("client %s sends %sx to %s", attempt, double.ActionPath, relay.Name)
			response := double.Call(c.ctx, c.http, relay.Callers(), double.ActionPath+"x", attempt, "", callTimeout)
			if response.Status == http.StatusOK && response.Complete {
				c.Served.Add(1)
			} else {
				c.Failed.Add(1)
			}
			c.rig.Record("client %s at %s: status %d, %v", attempt, relay.Name, response.Status, response.Err)
			time.Sleep(pause)
		}
	})
}

// Repeat lets a client send the same request again and again, after a delay, to one relay after the other
// from the given one on.
func (c *Clients) Repeat(name, path string, first int, delay, pause time.Duration) {
	c.group.Go(func() {
		time.Sleep(delay)
		for n := first; c.ctx.Err() == nil; n++ {
			c.Send(c.rig.Relays[n%len(c.rig.Relays)], name, fmt.Sprintf("%s-%d", name, n), path)
			time.Sleep(pause)
		}
	})
}

// Send sends a request without a body to a relay, with the key of its caller.
func (c *Clients) Send(relay *Process, caller, attempt, path string) {
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+relay.Callers()+path, nil)
	if err != nil {
		c.rig.Record("client %s: %v", attempt, err)
		return
	}
	request.Host = double.Host
	request.Header.Set("Authorization", Key(caller))
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	c.rig.Record("client %s sends %s to %s", attempt, path, relay.Name)
	response, err := c.http.Do(request)
	if err != nil {
		c.rig.Record("client %s at %s: %v", attempt, relay.Name, err)
		return
	}
	_ = response.Body.Close()
	c.rig.Record("client %s at %s: status %d, retry after %q", attempt, relay.Name, response.StatusCode, response.Header.Get("Retry-After"))
}

// Key returns the value of the header in which a caller sends its key. The configuration needs none, so that
// workers get it as it was sent.
func Key(caller string) string { return "Bearer key-of-" + caller }

// Stop stops all clients.
func (c *Clients) Stop() {
	c.cancel()
	c.group.Wait()
	c.http.CloseIdleConnections()
}
