package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/link"
	"crocusstep/meter"
	"crocusstep/pool"
	"crocusstep/retry"
	"crocusstep/table"
)

// behaviour is how a stand-in of an endpoint treats one request.
type behaviour string

const (
	answers    behaviour = "answers"
	failsIt    behaviour = "fails it with 500"
	rejects    behaviour = "rejects it"
	breaksOff  behaviour = "breaks off after running it"
	unsealed   behaviour = "answers without a signature"
	truncates  behaviour = "truncates its answer"
	refuses    behaviour = "refuses the connection"
	hangs      behaviour = "hangs"
	cutsStream behaviour = "cuts the stream in mid-event"
	stalls     behaviour = "stops in mid-stream"
)

// standIn takes the place of all endpoints and keepers.
type standIn struct {
	mutex sync.Mutex
	// script holds what each endpoint does with one request after another; an
	// endpoint whose script has ended answers.
	script map[ident.EndpointName][]behaviour
	// runs counts how often the request ran.
	runs int
	// sent lists the endpoints that saw the request, with what they were to do.
	sent []string
	// freed lists the prompts given up.
	freed []string
	// released counts places given back.
	released int
	// firstReadings counts accepted first readings, which are no repeats.
	firstReadings int
	// reading is set from the first accepted reading of a request to its end.
	reading bool
	// granted counts places given out.
	granted int
	// after lists from which event each answer was to go on.
	after []string
	// full refuses all places, and silent or gone keepers do not answer.
	full, silent, gone bool
	// once is what the next endpoint does that is to make an answer.
	once behaviour
	// asked is the endpoint whose keeper was asked for a place last.
	asked ident.EndpointName
	// backlog has all prefill endpoints be late, and unread be down.
	backlog, unread bool
	// ownStall is for how long answers stand still if a decode endpoint reads.
	ownStall time.Duration
	stalls   []time.Duration
	// ordered lists the engines told to change their stage, of which some are down,
	// or all are mute.
	ordered []ident.EndpointName
	down    map[ident.EndpointName]bool
	mute    bool
	// askedDown counts what was asked of engines that are down.
	askedDown int
	// onRead is called when a prompt was read.
	onRead func()
}

func (s *standIn) next(e pool.Endpoint, what string) behaviour {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	script := s.script[e.Name]
	next := answers
	if len(script) > 0 {
		next, s.script[e.Name] = script[0], script[1:]
	}
	if what == "write" && s.once != "" {
		next, s.once = s.once, ""
	}
	if next != refuses {
		s.sent = append(s.sent, what+" at "+string(e.Name))
	}
	switch next {
	case rejects, refuses:
	default:
		if what != "read" {
			s.runs++
		}
	}
	return next
}

// broken ends in an error in place of EOF.
type broken struct{ io.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = link.ErrLost
	}
	return n, err
}

// stalled ends in silence in place of EOF, as long as the context lasts.
type stalled struct {
	io.Reader
	context.Context
}

func (s stalled) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-s.Done()
		err = s.Err()
	}
	return n, err
}

func (s *standIn) act(ctx context.Context, next behaviour, body string) (*Answer, error) {
	a := &Answer{Status: http.StatusOK, Header: http.Header{"X-From": {"endpoint"}}, Sealed: true}
	switch next {
	case refuses:
		return nil, errors.Join(link.ErrNotSent, syscall.ECONNREFUSED)
	case breaksOff:
		return nil, link.ErrLost
	case hangs:
		<-ctx.Done()
		return nil, errors.Join(link.ErrLost, ctx.Err())
	case failsIt:
		a.Status, body = http.StatusInternalServerError, "failed"
	case rejects:
		a.Status, a.NotRun, body = http.StatusServiceUnavailable, true, ""
	case unsealed:
		a.Sealed = false
	}
	content := io.Reader(bytes.NewBufferString(body))
	switch next {
	case truncates:
		content = broken{bytes.NewBufferString(body[:len(body)*3/4])}
	case stalls:
		content = stalled{content, ctx}
	case cutsStream:
		// Three of four events, and a part of the last.
		content = broken{bytes.NewBufferString(body[:min(len(body), len(body)*3/4+5)])}
	}
	a.Body = io.NopCloser(content)
	return a, nil
}

func (s *standIn) Call(ctx context.Context, e pool.Endpoint, r *Request, _ time.Duration) (*Answer, error) {
	if r.Prompt != nil || strings.HasPrefix(r.Path, "/plain-stream") {
		return s.Write(ctx, e, r, nil, 0)
	}
	return s.act(ctx, s.next(e, "call"), "whole")
}

func (s *standIn) Read(ctx context.Context, e pool.Endpoint, _ *Request, _ time.Duration) (*Reading, *Answer, error) {
	a, err := s.act(ctx, s.next(e, "read"), "")
	if err != nil || a.NotRun {
		return nil, a, err
	}
	if !s.reading {
		s.reading = true
		s.firstReadings++
	}
	if s.onRead != nil {
		s.onRead()
	}
	return &Reading{Endpoint: e, Handle: "h", Done: time.Now()}, nil, nil
}

// Write answers with four events, from after the last that the caller has.
func (s *standIn) Write(ctx context.Context, e pool.Endpoint, r *Request, _ *Reading, _ time.Duration) (*Answer, error) {
	s.mutex.Lock()
	s.after = append(s.after, r.After)
	s.mutex.Unlock()
	first := 1
	if r.After != "" {
		_, err := fmt.Sscan(r.After, &first)
		if err != nil {
			return nil, err
		}
		first++
	}
	var events strings.Builder
	for id := first; id <= 4; id++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", id)
	}
	return s.act(ctx, s.next(e, "write"), events.String())
}

func (s *standIn) Free(_ context.Context, from *Reading) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freed = append(s.freed, from.Handle)
	return nil
}

func (s *standIn) Reserve(ctx context.Context, endpoint ident.Address, _ keeper.ReserveRequest) (keeper.ReserveResponse, error) {
	s.asked = ident.EndpointName(strings.TrimSuffix(string(endpoint), ":1"))
	if err := s.keeper(ctx); err != nil {
		return keeper.ReserveResponse{}, err
	}
	if s.down[s.asked] {
		s.askedDown++
		return keeper.ReserveResponse{Down: true}, nil
	}
	if s.full {
		return keeper.ReserveResponse{Wait: 3 * time.Second, Memory: 100000}, nil
	}
	s.granted++
	return keeper.ReserveResponse{Granted: true, Memory: 100000}, nil
}

func (s *standIn) keeper(ctx context.Context) error {
	switch {
	case s.gone:
		return syscall.ECONNREFUSED
	case s.silent:
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
		return context.DeadlineExceeded
	}
	return nil
}

func (s *standIn) Release(context.Context, ident.Address, ident.AttemptID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released++
	return nil
}

func (s *standIn) SchedulePrefill(ctx context.Context, endpoint ident.Address, turn keeper.PrefillRequest) (keeper.PrefillResponse, error) {
	if err := s.keeper(ctx); err != nil {
		return keeper.PrefillResponse{}, err
	}
	if s.down[ident.EndpointName(strings.TrimSuffix(string(endpoint), ":1"))] {
		s.askedDown++
		return keeper.PrefillResponse{Down: true}, nil
	}
	if turn.Own {
		s.stalls = append(s.stalls, turn.Stall)
		return keeper.PrefillResponse{Granted: turn.Stall >= s.ownStall}, nil
	}
	if s.backlog || s.unread {
		return keeper.PrefillResponse{Down: s.unread, Ahead: time.Second}, nil
	}
	return keeper.PrefillResponse{Granted: true}, nil
}

func (s *standIn) ChangeStage(_ context.Context, _ ident.Address, order keeper.StageRequest) (keeper.StageResponse, error) {
	s.ordered = append(s.ordered, order.Endpoint)
	if s.down[order.Endpoint] {
		return keeper.StageResponse{Why: "the engine does not report"}, nil
	}
	return keeper.StageResponse{Sent: true, Taken: !s.mute, Why: "no answer"}, nil
}

// newTestRelay returns a relay before the stand-in: a plain service with three
// endpoints and one with two engines for each stage.
func newTestRelay(t testing.TB, s *standIn) *Relay {
	t.Helper()
	m, err := meter.NewMeter()
	assert.NilError(t, err)
	endpoints := pool.NewPool()
	list := []pool.Endpoint{}
	for _, name := range []ident.EndpointName{"p1", "p2", "p3"} {
		list = append(list, pool.Endpoint{Name: name, Service: "plain", Address: ident.Address(name + ":1"), Slots: 6})
	}
	for _, name := range []ident.EndpointName{"r1", "r2"} {
		list = append(list, pool.Endpoint{Name: name, Service: "model", Stage: pool.Prefill, Address: ident.Address(name + ":1"), Slots: 64})
	}
	for _, name := range []ident.EndpointName{"d1", "d2"} {
		list = append(list, pool.Endpoint{Name: name, Service: "model", Stage: pool.Decode, Address: ident.Address(name + ":1"), Slots: 64})
	}
	endpoints.ApplySnapshot(list, 1, false)
	r := NewRelay(common.NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), Config{
		Pool: endpoints, Endpoints: s, Places: s,
		Retries:   retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Processes: func() int { return 1 },
	})
	route := func(prefix string, kind table.Kind, service ident.ServiceName, most int, resumable bool) table.Route {
		return table.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 14 * time.Second, Objective: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond,
			Shares: []table.Share{{Service: service, Weight: 1}}, MaxEndpoints: most, Resumable: resumable, Prompted: kind == table.Reading,
		}
	}
	r.SetTable(&table.Document{
		Version: 1,
		Routes: []table.Route{
			route("/action/", table.Action, "plain", 2, false),
			route("/lookup/", table.Lookup, "plain", 2, false),
			route("/plain-stream/", table.Reading, "plain", 2, false),
			route("/read/", table.Reading, "model", 2, false),
			route("/resume/", table.Reading, "model", 2, true),
		},
		Services: []table.Service{{Name: "plain"}, {Name: "model", Engine: &table.Engine{Slots: 64, HandleLife: 500 * time.Millisecond, EventTokens: 61}}},
	})
	return r
}

// send has the relay serve one request.
func send(ctx context.Context, r *Relay, path string) (*httptest.ResponseRecorder, *fault.Refusal) {
	request := &Request{
		Attempt: "a1", Method: http.MethodPost, Target: path, Path: path, Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Patience: 14 * time.Second,
	}
	if strings.HasPrefix(path, "/re") {
		request.Prompt = &Prompt{Tokens: 5200, Most: 8000, Output: 4300}
	}
	if stand, ok := r.config.Endpoints.(*standIn); ok {
		stand.reading = false
	}
	w := httptest.NewRecorder()
	refusal := r.Serve(ctx, request, w)
	r.Wait()
	return w, refusal
}
