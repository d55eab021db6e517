package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/pool"
)

const wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"

func TestRead(t *testing.T) {
	decodes := func(all ...behaviour) map[ident.EndpointName][]behaviour {
		return map[ident.EndpointName][]behaviour{"d1": all, "d2": all}
	}
	scenarios := []struct {
		testName string
		path     string
		stand    *standIn
		check    func(t *testing.T, s *standIn, body string, refusal *fault.Refusal, took time.Duration)
	}{
		{
			testName: "a prompt is read once and answered once",
			path:     "/read/x",
			stand:    &standIn{},
			check: func(t *testing.T, s *standIn, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, len(s.sent), 2)
			},
		},
		{
			testName: "without a place nothing is read, and the refusal comes at once",
			path:     "/read/x",
			stand:    &standIn{full: true},
			check: func(t *testing.T, s *standIn, _ string, refusal *fault.Refusal, took time.Duration) {
				assert.Equal(t, refusal.Code, fault.TargetUnreachable)
				assert.Equal(t, refusal.Outcome, fault.NotRun)
				assert.Assert(t, refusal.RetryAfter >= returnLeast && refusal.RetryAfter <= returnMost)
				assert.Equal(t, len(s.sent), 0)
				assert.Equal(t, took, time.Duration(0))
			},
		},
		{
			testName: "a stream that may not run again breaks off visibly",
			path:     "/read/x",
			stand:    &standIn{script: decodes(cutsStream)},
			check: func(t *testing.T, s *standIn, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Code, fault.AnswerCut)
				assert.Equal(t, body, wholeStream[:len(body)])
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "a stream that may be resumed goes on after its last whole event",
			path:     "/resume/x",
			stand:    &standIn{script: map[ident.EndpointName][]behaviour{"d1": {cutsStream}, "d2": {cutsStream, answers}}},
			check: func(t *testing.T, s *standIn, body string, refusal *fault.Refusal, _ time.Duration) {
				if refusal == nil {
					assert.Equal(t, body, wholeStream)
				}
				assert.DeepEqual(t, s.after, []string{"", "3"})
			},
		},
		{
			testName: "a stream whose head never came may be answered elsewhere",
			path:     "/resume/x",
			stand:    &standIn{script: decodes(breaksOff, answers)},
			check: func(t *testing.T, s *standIn, _ string, _ *fault.Refusal, _ time.Duration) {
				assert.Equal(t, s.runs, 2)
			},
		},
		{
			testName: "a lost run that may not repeat is unknown",
			path:     "/read/x",
			stand:    &standIn{script: decodes(breaksOff)},
			check: func(t *testing.T, s *standIn, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.Unknown)
				assert.Assert(t, !promises(refusal.Status()))
				assert.Equal(t, s.runs, 1)
			},
		},
		{
			testName: "a prompt whose decode endpoint rejects it is freed and its place released",
			path:     "/read/x",
			stand:    &standIn{script: decodes(rejects, rejects, rejects, rejects)},
			check: func(t *testing.T, s *standIn, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.NotRun)
				assert.Assert(t, len(s.freed) > 0)
				assert.Equal(t, s.released, s.granted)
				assert.Equal(t, s.runs, 0)
			},
		},
		{
			testName: "with all that read gone, the decode endpoint reads the prompt",
			path:     "/read/x",
			stand:    &standIn{script: map[ident.EndpointName][]behaviour{"r1": {refuses, refuses}, "r2": {refuses, refuses}}},
			check: func(t *testing.T, s *standIn, body string, refusal *fault.Refusal, _ time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, len(s.sent), 1)
			},
		},
		{
			testName: "a prompt that a dark endpoint does not read is read elsewhere in time",
			path:     "/read/x",
			stand:    &standIn{script: map[ident.EndpointName][]behaviour{"r1": {hangs}, "r2": {hangs}}},
			check: func(t *testing.T, _ *standIn, body string, refusal *fault.Refusal, took time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Assert(t, took < 1500*time.Millisecond, "%s", took)
			},
		},
		{
			testName: "engines whose keepers have died are used without them",
			path:     "/read/x",
			stand:    &standIn{gone: true},
			check: func(t *testing.T, _ *standIn, body string, refusal *fault.Refusal, took time.Duration) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, body, wholeStream)
				assert.Equal(t, took, time.Duration(0))
			},
		},
		{
			testName: "engines whose instances are silent are sent nothing",
			path:     "/read/x",
			stand:    &standIn{silent: true},
			check: func(t *testing.T, s *standIn, _ string, refusal *fault.Refusal, _ time.Duration) {
				assert.Equal(t, refusal.Outcome, fault.NotRun)
				assert.Equal(t, len(s.sent), 0)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, s.stand)
				began := time.Now()
				w, refusal := send(t.Context(), r, s.path)
				s.check(t, s.stand, w.Body.String(), refusal, time.Since(began))
			})
		})
	}
}

// TestStreamsWithoutSplitEngines has engines that read and answer themselves, and a
// plain service that streams: nothing is read apart, and the promises hold.
// TestLatePrefillEndpoints is a burst in which prompts wait to be read: a decode
// endpoint reads them itself only if its other callers do not notice.
func TestLatePrefillEndpoints(t *testing.T) {
	scenarios := []struct {
		testName string
		stand    *standIn
		writes   int
		refused  bool
	}{
		{testName: "a reading that nobody notices", stand: &standIn{backlog: true, ownStall: 150 * time.Millisecond}, writes: 1},
		{testName: "one that makes answers stand still is refused, unread", stand: &standIn{backlog: true, ownStall: 250 * time.Millisecond}, refused: true},
		{testName: "if nobody reads prompts it is the only way", stand: &standIn{unread: true, ownStall: 250 * time.Millisecond}, writes: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				w, refusal := send(t.Context(), newTestRelay(t, s.stand), "/read/x")
				assert.Equal(t, len(s.stand.after), s.writes)
				assert.Equal(t, len(s.stand.sent), s.writes, "%s", s.stand.sent)
				if !s.refused {
					assert.Assert(t, refusal == nil)
					assert.Equal(t, w.Body.String(), wholeStream)
					return
				}
				assert.Equal(t, refusal.Code, fault.TargetUnreachable)
				assert.Equal(t, refusal.Outcome, fault.NotRun)
				assert.Assert(t, refusal.RetryAfter > 0)
				assert.Equal(t, s.stand.released, 1)
				assert.Assert(t, time.Since(began) <= turnMost+turnPause, "it waited longer than helps")
			})
		})
	}
}

// TestStreamsThatGoOnTakeTurns has streams go on after the loss of their engine: the
// next one reads what was made of each, and must not do so for one after another.
func TestStreamsThatGoOnTakeTurns(t *testing.T) {
	scenarios := []struct {
		testName string
		ownStall time.Duration
		waits    bool
	}{
		{testName: "a reading that nobody notices", ownStall: 150 * time.Millisecond},
		{testName: "one that others notice waits, but not until the caller leaves", ownStall: time.Second, waits: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := &standIn{once: cutsStream, ownStall: s.ownStall}
				began := time.Now()
				w, refusal := send(t.Context(), newTestRelay(t, stand), "/resume/x")
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				assert.Assert(t, len(stand.stalls) > 0, "no turn was asked for")
				assert.Equal(t, time.Since(began) >= goesOnTurnMost, s.waits)
				assert.Assert(t, time.Since(began) <= goesOnTurnMost+turnPause)
			})
		})
	}
}

// TestEnginesThatChangeTheirStageAreNotAskedAgain has engines that look idle, as they
// do nothing: every request would ask them first, and find no other in its tries.
func TestEnginesThatChangeTheirStageAreNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := &standIn{down: map[ident.EndpointName]bool{"r1": true, "d1": true}}
		r := newTestRelay(t, stand)
		for range 20 {
			_, refusal := send(t.Context(), r, "/read/x")
			assert.Assert(t, refusal == nil)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, stand.askedDown <= 2, "engines that are down were asked %d times", stand.askedDown)
	})
}

// TestWhatAResumedStreamReads has callers resume after a loss of power: the tokens
// that they have are read once more, and take memory.
func TestWhatAResumedStreamReads(t *testing.T) {
	scenarios := []struct {
		testName string
		after    string
		tokens   ident.TokenCount
	}{
		{testName: "a new stream"},
		{testName: "an event's number tells the tokens", after: "52", tokens: 52 * 61},
		{testName: "never more than the answer's limit", after: "1780000000000", tokens: 8000},
		{testName: "other ids tell nothing", after: "a-52"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := newTestRelay(t, &standIn{})
			route, _ := r.Table().Match("h", "/resume/x")
			request := &Request{After: s.after, Prompt: &Prompt{Tokens: 5200, Most: 8000}}
			e := &exchange{Relay: r, route: route, service: r.Table().Services["model"], request: request}
			assert.Equal(t, newStream(e).before(), s.tokens)
		})
	}
}

// TestCallerLeavesInMidStream tells a caller that left from an endpoint that broke
// off: nothing else in the log does.
func TestCallerLeavesInMidStream(t *testing.T) {
	for _, path := range []string{"/read/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				timer := time.AfterFunc(time.Second, cancel)
				defer timer.Stop()
				stand := &standIn{script: map[ident.EndpointName][]behaviour{"d1": {stalls}, "d2": {stalls}}}
				w, refusal := send(ctx, newTestRelay(t, stand), path)
				assert.Equal(t, refusal.Code, fault.Cancelled)
				assert.Equal(t, refusal.Outcome, fault.Unknown)
				assert.Equal(t, w.Body.String(), wholeStream)
				assert.Equal(t, stand.runs, 1)
			})
		})
	}
}

func TestStreamsWithoutSplitEngines(t *testing.T) {
	scenarios := []struct {
		testName string
		once     behaviour
		combined bool
		path     string
		runs     int
		cut      bool
	}{
		{testName: "combined engines answer", combined: true, path: "/read/x", runs: 1},
		{testName: "a plain service streams", path: "/plain-stream/x", runs: 1},
		{testName: "a plain stream that was rejected runs elsewhere", once: rejects, path: "/plain-stream/x", runs: 1},
		{testName: "a plain stream that breaks off is cut visibly", once: cutsStream, path: "/plain-stream/x", runs: 1, cut: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := &standIn{once: s.once}
				r := newTestRelay(t, stand)
				if s.combined {
					r.config.Pool.ApplySnapshot([]pool.Endpoint{{Name: "c1", Service: "model", Address: "c1:1", Slots: 4}}, 2, false)
				}
				w, refusal := send(t.Context(), r, s.path)
				assert.Equal(t, stand.runs, s.runs)
				if s.cut {
					assert.Equal(t, refusal.Code, fault.AnswerCut)
					return
				}
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				for _, sent := range stand.sent {
					assert.Assert(t, sent[:4] != "read", sent)
				}
			})
		})
	}
}

// TestDecodeEndpointLeavesWhileThePromptIsRead has the endpoint that holds the
// place marked as leaving between reading and answer.
func TestDecodeEndpointLeavesWhileThePromptIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := &standIn{}
		r := newTestRelay(t, stand)
		stand.onRead = func() {
			stand.onRead = nil
			var left []pool.Change
			for _, name := range []ident.EndpointName{"d1", "d2"} {
				left = append(left, pool.Change{Endpoint: pool.Endpoint{Name: name}, Gone: true})
			}
			r.config.Pool.ApplyChanges(left, 2, false)
		}
		_, refusal := send(t.Context(), r, "/read/x")
		assert.Equal(t, refusal.Outcome, fault.NotRun)
		assert.Equal(t, stand.runs, 0)
		assert.Equal(t, len(stand.freed), 1)
		assert.Equal(t, stand.released, 1)
	})
}

// TestPromptThatWasReadIsUsedElsewhere has the endpoint with the place leave, or
// reject the request, after the prompt was read.
func TestPromptThatWasReadIsUsedElsewhere(t *testing.T) {
	scenarios := []struct {
		testName string
		once     behaviour
		leaves   bool
	}{
		{testName: "it refuses the connection", once: refuses},
		{testName: "it rejects the request", once: rejects},
		{testName: "it leaves", leaves: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := &standIn{once: s.once}
				r := newTestRelay(t, stand)
				stand.onRead = func() {
					if s.leaves {
						r.config.Pool.ApplyChanges([]pool.Change{{Endpoint: pool.Endpoint{Name: stand.asked}, Gone: true}}, 2, false)
					}
				}
				w, refusal := send(t.Context(), r, "/read/x")
				assert.Assert(t, refusal == nil)
				assert.Equal(t, w.Body.String(), wholeStream)
				reads := 0
				for _, sent := range stand.sent {
					if sent[:4] == "read" {
						reads++
					}
				}
				assert.Equal(t, reads, 1)
				assert.Equal(t, stand.runs, 1)
				assert.Equal(t, len(stand.freed), 0)
			})
		})
	}
}

// TestReadPromises lets endpoints do anything: what reaches the caller is always
// a beginning of the right answer, a stream that may not repeat runs once, and a
// refusal that says not run is true.
func TestReadPromises(t *testing.T) {
	acts := []behaviour{answers, failsIt, rejects, breaksOff, unsealed, cutsStream, refuses}
	rapid.Check(t, func(rt *rapid.T) {
		script := map[ident.EndpointName][]behaviour{}
		for _, name := range []ident.EndpointName{"r1", "r2", "d1", "d2"} {
			script[name] = rapid.SliceOfN(rapid.SampledFrom(acts), 1, 3).Draw(rt, string(name))
		}
		path := rapid.SampledFrom([]string{"/read/x", "/resume/x"}).Draw(rt, "path")
		stand := &standIn{script: script, full: rapid.Bool().Draw(rt, "full")}
		w, refusal := send(context.Background(), newTestRelay(t, stand), path)
		body := w.Body.String()
		if path == "/read/x" && stand.runs > 1 || stand.runs > 2 {
			rt.Fatalf("it ran %d times", stand.runs)
		}
		if w.Code == 200 && (len(body) > len(wholeStream) || body != wholeStream[:len(body)]) {
			rt.Fatalf("the caller got %q", body)
		}
		if refusal == nil && w.Code == 200 && body != wholeStream {
			rt.Fatalf("a part looks complete: %q", body)
		}
		if refusal != nil && stand.runs > 0 && (refusal.Outcome == fault.NotRun || promises(refusal.Status())) {
			rt.Fatalf("%v, though it ran", refusal)
		}
	})
}

// TestWaitWindow is a burst in which callers come back: those who can still be
// served in time go before those who cannot.
func TestWaitWindow(t *testing.T) {
	scenarios := []struct {
		testName string
		waited   time.Duration
		spent    time.Duration
		started  bool
		urgency  int
		most     time.Duration
	}{
		{testName: "a new request waits while its objective can be met", urgency: inTime, most: 900 * time.Millisecond},
		{testName: "one that has waited too long is late", waited: time.Second, urgency: tooLate, most: lateWait},
		{testName: "one that was refused before comes after those in time", spent: 2 * time.Second, urgency: cameBack, most: cameBackWait},
		{testName: "a stream that is under way goes first", started: true, urgency: goesOn, most: goesOnWait},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &standIn{})
				route, _ := r.Table().Match("h", "/read/x")
				e := &exchange{
					Relay: r, route: route, started: s.started, spent: s.spent, ends: time.Now().Add(14 * time.Second),
					request: &Request{Arrived: time.Now().Add(-s.waited), Prompt: &Prompt{Tokens: 5200}},
				}
				window, urgency := (&stream{exchange: e}).waitWindow()
				assert.Equal(t, urgency, s.urgency)
				assert.Assert(t, window > 0 && window <= s.most, "%s", window)
			})
		})
	}
}
