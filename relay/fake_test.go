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

	"crocusstep/client"
	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/meter"
	"crocusstep/pool"
	"crocusstep/quota"
	"crocusstep/retry"
	"crocusstep/table"
)

// behaviour is how a fake endpoint treats one request.
type behaviour string

const (
	responds         behaviour = "responds"
	returnsError     behaviour = "responds with 500"
	rejects          behaviour = "rejects the request"
	losesResponse    behaviour = "loses the response after execution"
	unsigned         behaviour = "responds without a signature"
	truncates        behaviour = "truncates the response"
	refuses          behaviour = "refuses the connection"
	hangs            behaviour = "hangs"
	neverBegins      behaviour = "sends a head and nothing after it"
	interruptsStream behaviour = "interrupts the stream in mid-event"
	stalls           behaviour = "stalls in mid-stream"
	pauses           behaviour = "pauses after the first event"
	beginsLate       behaviour = "pauses before the first event"
	slowEvents       behaviour = "sends an event each second"
	drips            behaviour = "sends a byte now and then after the first event"
	neverEnds        behaviour = "sends bytes without end"
	rejectsEndlessly behaviour = "rejects the request with a body without end"
	rejectsSlowly    behaviour = "rejects the request with a body that drips without end"
	failsEndlessly   behaviour = "responds with 500 and a body without end"
)

// fakeBackend replaces all endpoints and keepers.
type fakeBackend struct {
	mutex sync.Mutex
	// script holds what each endpoint does with successive requests; after the end of
	// its script an endpoint responds.
	script map[ident.EndpointName][]behaviour
	// executions counts the executions of the request.
	executions int
	// sent lists the endpoints that received the request, with the operation.
	sent []string
	// freed lists the handles of discarded prompts.
	freed []string
	// released counts released reservations.
	released int
	// firstPrefills counts accepted first prefills, which are not retries.
	firstPrefills int
	// prefilled is set once a prefill of the current request was accepted.
	prefilled bool
	// granted counts granted reservations.
	granted int
	// resumedAfter lists the event id after which each decode was to start.
	resumedAfter []string
	// decodeBegan and decodeEnded hold when each decode was received and when it was no longer wanted.
	decodeBegan, decodeEnded []time.Time
	// full makes keepers deny all reservations, unreachable lets their calls time out,
	// refusing makes them refuse connections.
	full, unreachable, refusing bool
	// onlyRoom is the only engine whose keeper grants reservations, if set.
	onlyRoom ident.EndpointName
	// nextDecode is the behaviour for the next decode, at any endpoint.
	nextDecode behaviour
	// laterPrefills and laterDecodes are the behaviours for all after the first, at any endpoint.
	laterPrefills, laterDecodes behaviour
	// secondDecode is the behaviour for the decode after that of nextDecode, at any endpoint.
	secondDecode behaviour
	// calls is the behaviour for all calls of plain endpoints.
	calls behaviour
	// lastReserved is the endpoint whose keeper received the last reservation request.
	lastReserved ident.EndpointName
	// prefillLate gives all prefill endpoints a long backlog, prefillDown takes them all
	// down.
	prefillLate, prefillDown bool
	// localStall is how long a local prefill stalls the streams of a decode endpoint.
	localStall time.Duration
	stalls     []time.Duration
	// stageRequests lists the engines that were asked to change their stage, of which
	// some are down or all are unresponsive.
	stageRequests []ident.EndpointName
	down          map[ident.EndpointName]bool
	unresponsive  bool
	// load is the load of every decode engine.
	load keeper.ReserveResponse
	// handlesLapse makes decode endpoints reject prompts that were prefilled elsewhere.
	handlesLapse bool
	// endlessBytes counts the bytes read of bodies without end.
	endlessBytes int
	// downRequests counts the requests to keepers of down engines.
	downRequests int
	// onPrefill is called after a successful prefill.
	onPrefill func()
	// onAsk, if set, is called when a keeper is asked for memory, a slot or a permit.
	onAsk func(what string)
	// onSend, if set, is called when an endpoint receives a request.
	onSend func(operation string)
}

func (b *fakeBackend) ask(what string) {
	if b.onAsk != nil {
		b.onAsk(what)
	}
}

func (b *fakeBackend) next(e pool.Endpoint, operation string) behaviour {
	if b.onSend != nil {
		b.onSend(operation)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	script := b.script[e.Name]
	next := responds
	if len(script) > 0 {
		next, b.script[e.Name] = script[0], script[1:]
	}
	switch {
	case operation == "decode" && b.nextDecode != "":
		next, b.nextDecode = b.nextDecode, ""
	case operation == "decode" && b.secondDecode != "":
		next, b.secondDecode = b.secondDecode, ""
	case operation == "decode" && b.laterDecodes != "":
		next = b.laterDecodes
	case operation == "call" && b.calls != "":
		next = b.calls
	case operation == "prefill" && b.prefilled && b.laterPrefills != "":
		next = b.laterPrefills
	}
	if next != refuses {
		b.sent = append(b.sent, operation+" at "+string(e.Name))
	}
	switch next {
	case rejects, refuses, rejectsEndlessly, rejectsSlowly:
	default:
		if operation != "prefill" {
			b.executions++
		}
	}
	return next
}

func (b *fakeBackend) act(ctx context.Context, next behaviour, body string) (*Response, error) {
	r := &Response{Status: http.StatusOK, Header: http.Header{"X-From": {"endpoint"}}, Signed: true}
	switch next {
	case refuses:
		return nil, errors.Join(client.ErrNotSent, syscall.ECONNREFUSED)
	case losesResponse:
		return nil, client.ErrResponseLost
	case hangs:
		<-ctx.Done()
		return nil, errors.Join(client.ErrResponseLost, ctx.Err())
	case returnsError:
		r.Status, body = http.StatusInternalServerError, "failed"
	case rejects:
		r.Status, r.NotExecuted, body = http.StatusServiceUnavailable, true, ""
	case unsigned:
		r.Signed = false
	}
	endless := endlessReader{backend: b, closed: make(chan struct{}), once: &sync.Once{}}
	switch next {
	case rejectsEndlessly, rejectsSlowly:
		r.Status, r.NotExecuted, r.Body = http.StatusServiceUnavailable, true, endless
		if next == rejectsSlowly {
			endless.interval = time.Second
			r.Body = endless
		}
		return r, nil
	case failsEndlessly:
		r.Status, r.Body = http.StatusInternalServerError, endless
		return r, nil
	case neverEnds:
		r.Body = endless
		return r, nil
	}
	content := io.Reader(bytes.NewBufferString(body))
	switch next {
	case pauses:
		first, rest, _ := strings.Cut(body, "\n\n")
		second, rest, _ := strings.Cut(rest, "\n\n")
		content = io.MultiReader(strings.NewReader(first+"\n\n"), &pacedReader{Context: ctx, parts: []string{second + "\n\n"}, interval: silence},
			&pacedReader{Context: ctx, parts: strings.SplitAfter(rest, "\n\n"), interval: 50 * time.Millisecond})
	case beginsLate:
		content = &pacedReader{Context: ctx, parts: []string{body}, interval: silence}
	case slowEvents:
		content = &pacedReader{Context: ctx, parts: strings.SplitAfter(body, "\n\n"), interval: time.Second}
	case drips:
		first, rest, _ := strings.Cut(body, "\n\n")
		content = &pacedReader{Context: ctx, parts: append([]string{first + "\n\n"}, strings.Split(strings.Repeat(rest[:5], 1000), "")...), interval: 100 * time.Millisecond}
	}
	switch next {
	case truncates:
		content = failingReader{bytes.NewBufferString(body[:len(body)*3/4])}
	case stalls:
		content = stallingReader{content, ctx}
	case neverBegins:
		content = stallingReader{strings.NewReader(""), ctx}
	case interruptsStream:
		// Three of four events, and a part of the last.
		content = failingReader{bytes.NewBufferString(body[:min(len(body), len(body)*3/4+5)])}
	}
	r.Body = io.NopCloser(content)
	return r, nil
}

func (b *fakeBackend) Call(ctx context.Context, e pool.Endpoint, r *Request, _ time.Duration) (*Response, error) {
	if r.Prompt != nil || strings.HasPrefix(r.Path, "/plain-stream") {
		return b.Decode(ctx, e, r, nil, 0)
	}
	return b.act(ctx, b.next(e, "call"), "whole")
}

func (b *fakeBackend) Prefill(ctx context.Context, e pool.Endpoint, _ *Request, _ time.Duration) (*CachedPrompt, *Response, error) {
	response, err := b.act(ctx, b.next(e, "prefill"), "")
	if err != nil || response.NotExecuted {
		return nil, response, err
	}
	if !b.prefilled {
		b.prefilled = true
		b.firstPrefills++
	}
	if b.onPrefill != nil {
		b.onPrefill()
	}
	return &CachedPrompt{Endpoint: e, Handle: "h", PrefilledAt: time.Now()}, nil, nil
}

// Decode responds with four events, starting after LastEventID.
func (b *fakeBackend) Decode(ctx context.Context, e pool.Endpoint, r *Request, cached *CachedPrompt, _ time.Duration) (*Response, error) {
	if b.handlesLapse && cached != nil {
		return b.act(ctx, rejects, "")
	}
	b.mutex.Lock()
	number := len(b.resumedAfter)
	b.resumedAfter = append(b.resumedAfter, r.LastEventID)
	b.decodeBegan, b.decodeEnded = append(b.decodeBegan, time.Now()), append(b.decodeEnded, time.Time{})
	b.mutex.Unlock()
	context.AfterFunc(ctx, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.decodeEnded[number] = time.Now()
	})
	first := 1
	if r.LastEventID != "" {
		_, err := fmt.Sscan(r.LastEventID, &first)
		if err != nil {
			return nil, err
		}
		first++
	}
	var events strings.Builder
	for id := first; id <= 4; id++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", id)
	}
	return b.act(ctx, b.next(e, "decode"), events.String())
}

func (b *fakeBackend) Free(_ context.Context, cached *CachedPrompt) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.freed = append(b.freed, cached.Handle)
	return nil
}

func (b *fakeBackend) Reserve(ctx context.Context, endpoint ident.Address, _ keeper.ReserveRequest) (keeper.ReserveResponse, error) {
	b.ask("memory")
	b.lastReserved = ident.EndpointName(strings.TrimSuffix(string(endpoint), ":1"))
	if err := b.keeperError(ctx); err != nil {
		return keeper.ReserveResponse{}, err
	}
	if b.down[b.lastReserved] {
		b.downRequests++
		return keeper.ReserveResponse{Down: true}, nil
	}
	if b.full || b.onlyRoom != "" && b.onlyRoom != b.lastReserved {
		return keeper.ReserveResponse{ExpectedWait: 3 * time.Second, Capacity: 100000}, nil
	}
	b.granted++
	return keeper.ReserveResponse{Granted: true, Capacity: 100000}, nil
}

func (b *fakeBackend) keeperError(ctx context.Context) error {
	switch {
	case b.refusing:
		return syscall.ECONNREFUSED
	case b.unreachable:
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
		return context.DeadlineExceeded
	}
	return nil
}

func (b *fakeBackend) Release(context.Context, ident.Address, keeper.ReleaseRequest) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.released++
	return nil
}

func (*fakeBackend) Origin(context.Context, ident.Address, keeper.OriginRequest) (keeper.OriginResponse, error) {
	return keeper.OriginResponse{}, nil
}

func (b *fakeBackend) Permit(context.Context, ident.Address, keeper.PermitRequest) (keeper.PermitResponse, error) {
	b.ask("permit")
	return keeper.PermitResponse{Granted: b.onAsk != nil}, nil
}

func (*fakeBackend) Quota(context.Context, ident.Address, keeper.QuotaRequest) (quota.Response, error) {
	return quota.Response{}, nil
}

func (b *fakeBackend) Load(context.Context, ident.Address, keeper.LoadRequest) (keeper.ReserveResponse, error) {
	return b.load, nil
}

func (b *fakeBackend) SchedulePrefill(ctx context.Context, endpoint ident.Address, request keeper.PrefillRequest) (keeper.PrefillResponse, error) {
	if !request.Local {
		b.ask("slot")
	}
	if err := b.keeperError(ctx); err != nil {
		return keeper.PrefillResponse{}, err
	}
	if b.down[ident.EndpointName(strings.TrimSuffix(string(endpoint), ":1"))] {
		b.downRequests++
		return keeper.PrefillResponse{Down: true}, nil
	}
	if request.Local {
		b.stalls = append(b.stalls, request.MaxStall)
		return keeper.PrefillResponse{Granted: request.MaxStall >= b.localStall}, nil
	}
	if b.prefillLate || b.prefillDown {
		return keeper.PrefillResponse{Down: b.prefillDown, Backlog: time.Second}, nil
	}
	return keeper.PrefillResponse{Granted: true}, nil
}

func (b *fakeBackend) ChangeStage(_ context.Context, _ ident.Address, request keeper.StageRequest) (keeper.StageResponse, error) {
	b.stageRequests = append(b.stageRequests, request.Endpoint)
	if b.down[request.Endpoint] {
		return keeper.StageResponse{Reason: "the engine does not report"}, nil
	}
	return keeper.StageResponse{Sent: true, Accepted: !b.unresponsive, Reason: "no response"}, nil
}

// newTestRelay returns a relay in front of the fake: a plain service with three
// endpoints, and one with two engines of each stage.
func newTestRelay(t testing.TB, backend *fakeBackend) *Relay {
	t.Helper()
	m, err := meter.NewMeter()
	assert.NilError(t, err)
	endpoints := pool.NewPool()
	list := []pool.Endpoint{}
	for _, name := range []ident.EndpointName{"p1", "p2", "p3"} {
		list = append(list, pool.Endpoint{Name: name, Service: "plain", Version: "v1", Address: ident.Address(name + ":1"), Slots: 6})
	}
	for _, name := range []ident.EndpointName{"r1", "r2"} {
		list = append(list, pool.Endpoint{Name: name, Service: "model", Version: "v1", Stage: pool.Prefill, Address: ident.Address(name + ":1"), Slots: 64})
	}
	for _, name := range []ident.EndpointName{"d1", "d2"} {
		list = append(list, pool.Endpoint{Name: name, Service: "model", Version: "v1", Stage: pool.Decode, Address: ident.Address(name + ":1"), Slots: 64})
	}
	endpoints.ApplySnapshot(list, 1, false)
	r := NewRelay(common.NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), Config{
		Pool: endpoints, Endpoints: backend, Keepers: backend,
		Retries:    retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		RelayCount: func() int { return 1 },
	})
	route := func(prefix string, kind table.Kind, service ident.ServiceName, maxEndpoints int, resumable bool) table.Route {
		return table.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 14 * time.Second, TargetLatency: 900 * time.Millisecond, TargetEventGap: 300 * time.Millisecond,
			WeightedServices: []table.WeightedService{{Service: service, Weight: 1}}, MaxEndpoints: maxEndpoints, Resumable: resumable, HasPrompt: kind == table.Streaming,
		}
	}
	r.SetTable(&table.Document{
		Version: 1,
		Routes: []table.Route{
			route("/action/", table.Action, "plain", 2, false),
			route("/lookup/", table.Lookup, "plain", 2, false),
			route("/plain-stream/", table.Streaming, "plain", 2, false),
			route("/read/", table.Streaming, "model", 2, false),
			route("/resume/", table.Streaming, "model", 2, true),
		},
		Services: []table.Service{{Name: "plain"}, {Name: "model", Engine: &table.EngineConfig{Slots: 64, HandleTTL: 500 * time.Millisecond, TokensPerEvent: 61}}},
	})
	return r
}

// send serves one request and waits for background work.
func send(ctx context.Context, r *Relay, path string) (*httptest.ResponseRecorder, *fault.Refusal) {
	request := newTestRequest(path, 14*time.Second)
	if backend, ok := r.config.Endpoints.(*fakeBackend); ok {
		backend.prefilled = false
	}
	w := httptest.NewRecorder()
	refusal := r.Serve(ctx, request, w)
	r.Wait()
	return w, refusal
}
