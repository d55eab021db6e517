package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/ident"
)

// TestTakeUpAfterLongDeadline guards against a stream that is taken up at another software version
// because its caller waits for longer than the version that began it was remembered.
func TestTakeUpAfterLongDeadline(t *testing.T) {
	scenarios := []struct {
		testName string
		// timeout is that of the routes, stated the deadline of an earlier caller, left that of
		// the one that takes its stream up.
		timeout, stated, left time.Duration
		// ended is the time since the end of the other version.
		ended  time.Duration
		wentOn bool
	}{
		{testName: "usual deadlines", timeout: 14 * time.Second, stated: 14 * time.Second, left: 10 * time.Second, ended: 15 * time.Second, wentOn: true},
		{testName: "the routes' timeout is longer", timeout: 30 * time.Second, stated: 14 * time.Second, left: 10 * time.Second, ended: 16 * time.Second},
		{testName: "it is over", timeout: 30 * time.Second, stated: 14 * time.Second, left: 10 * time.Second, ended: 31 * time.Second, wentOn: true},
		{testName: "callers' deadlines are longer", timeout: 14 * time.Second, stated: 30 * time.Second, left: 10 * time.Second, ended: 16 * time.Second},
		{testName: "they are over", timeout: 14 * time.Second, stated: 30 * time.Second, left: 10 * time.Second, ended: 31 * time.Second, wentOn: true},
		{testName: "more is left to the caller", timeout: 14 * time.Second, stated: 14 * time.Second, left: 20 * time.Second, ended: 16 * time.Second},
		{testName: "deadlines for which no version is remembered", timeout: 2 * time.Minute, left: 10 * time.Second, ended: 3 * time.Minute},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				r.config.Refresh = func(context.Context) bool { return true }
				d := *r.Table().Document
				d.Version++
				d.Routes = append(d.Routes[:0:0], d.Routes...)
				for i := range d.Routes {
					d.Routes[i].Timeout = c.timeout
				}
				r.SetTable(&d)
				open := func(lastEvent string, timeout time.Duration) *stream {
					route, _ := r.Table().Match("h", "/resume/x")
					service := r.Table().Services["model"]
					return newStream(&exchange{
						Relay: r, request: &Request{Attempt: "a1", LastEventID: lastEvent, Timeout: timeout, Prompt: &Prompt{}}, route: route, service: service,
						tried: map[ident.EndpointName]bool{}, deadline: time.Now().Add(timeout),
					})
				}
				time.Sleep(time.Minute)
				r.config.Pool.ApplyChanges(engines("v2", 1), 2, false)
				open("", c.stated)
				removeVersion(r.config.Pool, "v2")
				time.Sleep(c.ended)
				refusal := open("1", c.left).pinVersion(t.Context())
				r.Wait()
				if c.wentOn {
					assert.Assert(t, refusal == nil, "%v", refusal)
					return
				}
				assert.Assert(t, refusal != nil, "the stream goes on at another version")
				assert.Equal(t, refusal.Code, fault.VersionUnknown)
			})
		})
	}
}
