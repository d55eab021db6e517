package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/platform"
	"crocusstep/store"
)

// serve runs an HTTP server on the network until the test ends.
func serve(t *testing.T, network *memnet.Network, address string, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler}
	listener := network.Listen(memnet.Host(address), address)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// fixture is a platform with any number of agents.
type fixture struct {
	t        *testing.T
	network  *memnet.Network
	platform *fake.Platform
	runs     int
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{
		t:        t,
		network:  memnet.NewNetwork(),
		platform: fake.NewPlatform(fake.PlatformConfig{Latency: 2 * time.Millisecond}),
	}
	t.Cleanup(func() { time.Sleep(time.Minute) }) // Sleeping handlers return within this.
	serve(t, s.network, "platform:1", s.platform.Handler())
	return s
}

func (s *fixture) store(host string) store.Store {
	client := s.network.Client(memnet.Host(host))
	s.t.Cleanup(client.CloseIdleConnections)
	return platform.NewStore(platform.StoreConfig{Address: "platform:1", HTTP: client, Timeout: time.Second})
}

// newAgent starts the ledger of an agent and returns it with a function that kills
// it.
func (s *fixture) newAgent(name string) (*Ledger, func()) {
	c, err := common.NewDiscard()
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	l := NewLedger(ctx, c, Config{Store: s.store(name), Owner: ident.InstanceName(name), Incarnation: ident.NewNonce()})
	s.t.Cleanup(func() {
		cancel()
		l.Wait()
	})
	return l, cancel
}

func (s *fixture) action(key, digest string) Action {
	return Action{
		Service:   "s",
		Shards:    1,
		Retention: time.Hour,
		Key:       ident.IdempotencyKey(key),
		Digest:    ident.Digest(digest),
		Attempt:   ident.NewAttemptID(),
	}
}

// succeed is a call that runs and returns a response.
func (s *fixture) succeed(context.Context, store.Version) (Response, error) {
	s.runs++
	return Response{Status: 201, Body: []byte(fmt.Sprint("run ", s.runs))}, nil
}

// loseResponse is a call that runs but whose response is lost.
func (s *fixture) loseResponse(context.Context, store.Version) (Response, error) {
	s.runs++
	return Response{}, errors.New("connection reset")
}

func TestLedger(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, s *fixture)
	}{
		{
			testName: "a resend through another agent gets the recorded response",
			run: func(t *testing.T, s *fixture) {
				first, _ := s.newAgent("a")
				second, _ := s.newAgent("b")
				one, err := first.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				time.Sleep(time.Second)
				two, err := second.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.DeepEqual(t, two.Response, one.Response)
				assert.Assert(t, two.Replayed && !one.Replayed)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "reusing a key with a different body is an error",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				_, err := l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				_, err = l.Run(t.Context(), s.action("k", "other"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.KeyReused))
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "an action whose response was lost stays unknown and never runs again",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				_, err := l.Run(t.Context(), s.action("k", "d"), s.loseResponse)
				assert.Equal(t, fault.AsRefusal(err).Outcome, fault.Unknown)
				_, err = l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.ActionUnknown))
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "a call that was not sent is reported as not run, and a resend runs it",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				_, err := l.Run(t.Context(), s.action("k", "d"), func(context.Context, store.Version) (Response, error) { return Response{}, ErrNotSent })
				assert.Equal(t, fault.AsRefusal(err).Outcome, fault.NotExecuted)
				_, err = l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "concurrent requests at one agent share a run",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				s.runConcurrently(l, l)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "concurrent requests at two agents run once",
			run: func(t *testing.T, s *fixture) {
				first, _ := s.newAgent("a")
				second, _ := s.newAgent("b")
				s.runConcurrently(first, second)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "a write whose response was lost still starts the action once",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				s.platform.SetFaults(fake.PlatformFaults{LoseResponses: 2})
				result, err := l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, string(result.Response.Body), "run 1")
			},
		},
		{
			testName: "while the platform is down nothing runs and the outcome is unknown",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				s.platform.SetFaults(fake.PlatformFaults{Down: true})
				_, err := l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.LedgerUnavailable))
				assert.Equal(t, fault.AsRefusal(err).Outcome, fault.Unknown)
				assert.Assert(t, fault.AsRefusal(err).RetryAfter > 0)
				assert.Equal(t, s.runs, 0)
				s.platform.SetFaults(fake.PlatformFaults{})
				_, err = l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
			},
		},
		{
			testName: "a start that became durable after its caller was refused is rolled back",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				s.platform.SetFaults(fake.PlatformFaults{ExtraLatency: 900 * time.Millisecond, LoseResponses: 3})
				_, err := l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.LedgerUnavailable))
				assert.Equal(t, fault.AsRefusal(err).Outcome, fault.Unknown)
				s.platform.SetFaults(fake.PlatformFaults{})
				l.Flush(t.Context())
				_, err = l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "an action whose agent died before the start was durable can run elsewhere",
			run: func(t *testing.T, s *fixture) {
				first, kill := s.newAgent("a")
				s.platform.SetFaults(fake.PlatformFaults{Down: true})
				var tasks conc.WaitGroup
				tasks.Go(func() { _, _ = first.Run(t.Context(), s.action("k", "d"), s.succeed) })
				time.Sleep(time.Second)
				kill()
				tasks.Wait()
				s.platform.SetFaults(fake.PlatformFaults{})
				second, _ := s.newAgent("b")
				_, err := second.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "a paused agent that resumes after a resend elsewhere runs the action once",
			run: func(t *testing.T, s *fixture) {
				first, _ := s.newAgent("a")
				second, _ := s.newAgent("b")
				var tasks conc.WaitGroup
				tasks.Go(func() {
					_, err := first.Run(t.Context(), s.action("k", "d"), func(ctx context.Context, token store.Version) (Response, error) {
						time.Sleep(time.Minute)
						return s.succeed(ctx, token)
					})
					assert.NilError(t, err)
				})
				time.Sleep(time.Second)
				_, err := second.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.ActionInProgress))
				time.Sleep(40 * time.Second)
				_, err = second.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.Assert(t, fault.Is(err, fault.ActionUnknown))
				tasks.Wait()
				// The response is still being recorded.
				first.Flush(t.Context())
				_, err = second.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "an operator settles an action with unknown outcome",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				_, _ = l.Run(t.Context(), s.action("k", "d"), s.loseResponse)
				admin := NewAdmin(s.store("operator"))
				records, err := admin.Unsettled(t.Context(), "s")
				assert.NilError(t, err)
				assert.Equal(t, len(records), 1)
				assert.ErrorContains(t, admin.Settle(t.Context(), "s", "k", false), "may still run")
				time.Sleep(2 * minSettleAge)
				assert.NilError(t, admin.Settle(t.Context(), "s", "k", false))
				_, err = l.Run(t.Context(), s.action("k", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Equal(t, s.runs, 2)
			},
		},
		{
			testName: "records expire after the retention period",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				_, err := l.Run(t.Context(), s.action("old", "d"), s.succeed)
				assert.NilError(t, err)
				time.Sleep(2 * time.Hour)
				_, err = l.Run(t.Context(), s.action("new", "d"), s.succeed)
				assert.NilError(t, err)
				object, err := s.store("reader").Get(t.Context(), ObjectKey("s", 0))
				assert.NilError(t, err)
				shard, err := ParseShard(object.Value)
				assert.NilError(t, err)
				assert.Equal(t, len(shard.Records), 1)
			},
		},
		{
			testName: "many concurrent actions share writes",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				var tasks conc.WaitGroup
				for i := range 500 {
					tasks.Go(func() {
						_, err := l.Run(t.Context(), s.action(fmt.Sprint("k", i), "d"), func(context.Context, store.Version) (Response, error) {
							time.Sleep(50 * time.Millisecond)
							return Response{Status: 200}, nil
						})
						assert.NilError(t, err)
					})
				}
				tasks.Wait()
				l.Flush(t.Context())
				assert.Assert(t, s.platform.Calls().Writes < 50, "%d writes", s.platform.Calls().Writes)
			},
		},
		{
			testName: "a full shard refuses new actions but still records those that ran",
			run: func(t *testing.T, s *fixture) {
				l, _ := s.newAgent("a")
				body := make([]byte, maxStoredBodyBytes)
				big := func(context.Context, store.Version) (Response, error) { return Response{Status: 200, Body: body}, nil }
				var refusal error
				for i := 0; refusal == nil && i < 200; i++ {
					_, refusal = l.Run(t.Context(), s.action(fmt.Sprint("k", i), "d"), big)
				}
				assert.Assert(t, fault.Is(refusal, fault.LedgerFull))
				result, err := l.Run(t.Context(), s.action("k0", "d"), s.succeed)
				assert.NilError(t, err)
				assert.Assert(t, result.Replayed)
			},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t, newFixture(t)) })
		})
	}
}

// runConcurrently sends one action through all ledgers at the same time.
func (s *fixture) runConcurrently(ledgers ...*Ledger) {
	var tasks conc.WaitGroup
	for _, l := range ledgers {
		tasks.Go(func() {
			_, err := l.Run(s.t.Context(), s.action("k", "d"), func(ctx context.Context, token store.Version) (Response, error) {
				time.Sleep(100 * time.Millisecond)
				return s.succeed(ctx, token)
			})
			if err != nil {
				assert.Equal(s.t, fault.AsRefusal(err).Outcome, fault.Unknown)
			}
		})
	}
	tasks.Wait()
}
