package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocusstep/platform/double"
	"crocusstep/socket"
)

const (
	// meteredCallers is the number of callers of the workspace with a quota. They ask for several
	// times as much.
	meteredCallers = 4
	// quotaWindow, quotaExcess and quotaSlack are the tolerances of quotas in the settings.
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 10_000
)

// checkWorkspaces compares what endpoints received with the keys of the callers.
func (c *callers) checkWorkspaces() {
	workspaces := map[string]string{}
	for _, e := range c.exchanges {
		workspaces[e.attempt] = e.workspace
		switch {
		case e.Status == http.StatusUnauthorized:
			c.reportViolation("%s was refused with 401 although all configurations have its key", e.attempt)
		case e.Status == http.StatusTooManyRequests && e.workspace == double.SteadyWorkspace:
			c.reportViolation("%s was refused with 429 although its workspace has no quota", e.attempt)
		}
	}
	for _, a := range c.recorder.Arrivals() {
		if a.HasKey {
			c.reportViolation("the key of %s reached %s", a.Attempt, a.Endpoint)
		}
		if want := workspaces[a.Attempt]; want != "" && a.Workspace != want {
			c.reportViolation("%s of workspace %s reached %s as %q", a.Attempt, want, a.Endpoint, a.Workspace)
		}
	}
	quota := quotaWindow.Seconds()*double.MeteredRate + double.MeteredBurst
	allowed := int(quota*(1+quotaExcess)) + quotaSlack
	used := c.recorder.MostUsed(double.MeteredWorkspace, quotaWindow)
	_, _ = fmt.Fprintf(c.out, "workspace %s used at most %d tokens in %s, %d allowed\n", double.MeteredWorkspace, used, quotaWindow, allowed)
	if used > allowed {
		c.reportViolation("workspace %s used %d tokens in %s, %d allowed", double.MeteredWorkspace, used, quotaWindow, allowed)
	}
}

// pollKeys checks that a relay serves no key that no configuration has, refuses a key that the
// newest configuration took away, and never serves it again within the lifetime of its process.
func (c *callers) pollKeys(ctx context.Context, r *relayProcess) {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	revoked, incarnation := -1, 0
	call := func(sequence int, key string) double.Response {
		callCtx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		return double.Call(callCtx, client, r.listenAddress(), double.LookupPath+"x", fmt.Sprintf("k-%s-%d-%s", r.name, sequence, key), key, callerTimeout)
	}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		time.Sleep(200 * time.Millisecond)
		if response := call(sequence, "key-of-nobody"); response.Status == http.StatusOK {
			c.reportViolation("%s served a key that no configuration has", r.name)
		}
		c.fleet.mutex.Lock()
		version, changedAt, current := c.version, c.versionAt, r.incarnation
		c.fleet.mutex.Unlock()
		if current != incarnation {
			revoked, incarnation = -1, current
		}
		sentAt := time.Now()
		response := call(sequence, double.RollingKey(version-2))
		if c.incarnationOf(r) != incarnation {
			continue
		}
		switch response.Status {
		case http.StatusUnauthorized:
			revoked = max(revoked, version-2)
		case http.StatusOK:
			if version-2 <= revoked {
				c.reportViolation("%s served a key again that was revoked", r.name)
			}
			if sentAt.Sub(changedAt) > maxApplyDelay && c.undisturbedSince(changedAt.Add(-quietInterval)) {
				c.reportViolation("%s served a key %s after it was revoked", r.name, sentAt.Sub(changedAt).Round(time.Millisecond))
			}
		}
	}
}
