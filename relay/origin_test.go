package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/client"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
)

// TestReservationOfOtherVersion guards against a stall before the first event that reserves
// memory at an engine of another software version, while that event arrives.
func TestReservationOfOtherVersion(t *testing.T) {
	scenarios := []struct {
		testName string
		pinned   ident.SoftwareVersion
		reserved ident.SoftwareVersion
		sent     bool
	}{
		{testName: "the same version", pinned: "v1", reserved: "v1", sent: true},
		{testName: "another version", pinned: "v2", reserved: "v1"},
		{testName: "unknown versions", pinned: "", reserved: ""},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			backend := &fakeBackend{}
			r := newTestRelay(t, backend)
			route, _ := r.Table().Match("h", "/resume/x")
			e := &exchange{
				Relay: r, request: &Request{Attempt: "a1", Prompt: &Prompt{}}, route: route, service: r.Table().Services["model"],
				tried: map[ident.EndpointName]bool{}, deadline: time.Now().Add(time.Minute), answerBy: time.Now().Add(time.Minute),
			}
			s := newStream(e)
			s.pinned.Store(&c.pinned)
			member := r.config.Pool.Members("model", pool.Decode)[0]
			member.Version = c.reserved
			response, err := s.start(t.Context(), s.newReservation(member, false), nil)
			assert.Equal(t, errors.Is(err, client.ErrNotSent), !c.sent, "%v", err)
			if response != nil {
				assert.NilError(t, response.Body.Close())
			}
			r.Wait()
		})
	}
}

// TestTakeUpOfUnknownVersion guards against a take-up that goes on at the only version that this
// relay sees now, and against refusals that ask callers to return when that cannot help.
func TestTakeUpOfUnknownVersion(t *testing.T) {
	const left = 14 * time.Second
	second := pool.Endpoint{Name: "d3", Service: "model", Version: "v2", Stage: pool.Decode, Address: "d3:1"}
	arrive := func(p *pool.Pool) { p.ApplyChanges([]pool.Change{{Endpoint: second}}, 2, false) }
	leave := func(p *pool.Pool) {
		p.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: "d3"}, Deleted: true}}, 3, false)
	}
	scenarios := []struct {
		testName string
		run      func(p *pool.Pool)
		// origin is the version that this relay has recorded for the attempt.
		origin   ident.SoftwareVersion
		cut      bool
		code     fault.Code
		from, to time.Duration
	}{
		{testName: "a single version", run: func(*pool.Pool) { time.Sleep(maxTakeUpDelay) }},
		{
			testName: "most hubs do not respond", cut: true, run: func(*pool.Pool) { time.Sleep(maxTakeUpDelay) },
			code: fault.VersionUnknown, from: minRetryAfter, to: 2 * minRetryAfter,
		},
		{
			testName: "what ran before the start of this relay is unknown until the callers from then have left",
			run:      func(*pool.Pool) { time.Sleep(10 * time.Second) },
			code:     fault.VersionUnknown, from: maxTakeUpDelay - 10*time.Second, to: maxTakeUpDelay - 9*time.Second,
		},
		{
			testName: "no return helps while two versions run",
			run:      func(p *pool.Pool) { time.Sleep(maxTakeUpDelay); arrive(p) },
			code:     fault.VersionUnknown,
		},
		{
			testName: "a version that has just ended outlasts the caller",
			run:      func(p *pool.Pool) { time.Sleep(maxTakeUpDelay); arrive(p); leave(p) },
			code:     fault.VersionUnknown,
		},
		{
			testName: "a version that ended a while ago",
			run:      func(p *pool.Pool) { time.Sleep(maxTakeUpDelay); arrive(p); leave(p); time.Sleep(5 * time.Second) },
			code:     fault.VersionUnknown, from: maxTakeUpDelay - 5*time.Second, to: maxTakeUpDelay - 4*time.Second,
		},
		{testName: "no endpoint runs the version any more", run: func(*pool.Pool) {}, origin: "v3", code: fault.VersionEnded},
		{testName: "the origin is known", run: arrive, origin: "v1"},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				r.config.Refresh = func(context.Context) bool { return !c.cut }
				route, _ := r.Table().Match("h", "/resume/x")
				c.run(r.config.Pool)
				service := r.Table().Services["model"]
				service.Name = "model"
				if c.origin != "" {
					r.origins.begin("a0", "model", c.origin)()
				}
				s := newStream(&exchange{
					Relay: r, request: &Request{Attempt: "a1", Resumes: "a0", LastEventID: "1", Prompt: &Prompt{}}, route: route, service: service,
					tried: map[ident.EndpointName]bool{}, deadline: time.Now().Add(left),
				})
				refusal := s.pinVersion(t.Context())
				r.Wait()
				if c.code == "" {
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, *s.pinned.Load(), ident.SoftwareVersion("v1"))
					return
				}
				assert.Equal(t, refusal.Code, c.code)
				assert.Equal(t, refusal.Outcome, fault.NotExecuted)
				assert.Assert(t, c.from <= refusal.RetryAfter && refusal.RetryAfter <= c.to, "Retry-After is %s", refusal.RetryAfter)
			})
		})
	}
}
