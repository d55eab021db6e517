package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
)

// sendRaw sends a request to an entry and returns the problem in the response.
func sendRaw(t *testing.T, f *Fleet, method, path string, header http.Header, body io.Reader) (*http.Response, fault.Problem) {
	t.Helper()
	request, err := http.NewRequest(method, "http://e1:1"+path, body)
	assert.NilError(t, err)
	if header != nil {
		request.Header = header
	}
	response, err := f.client(callerHost).Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var problem fault.Problem
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &problem), "%s", text)
	return response, problem
}

func chatBody(model, content string) io.Reader {
	return strings.NewReader(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, content))
}

// slowReader returns its text immediately, and EOF only after the wait.
type slowReader struct {
	text io.Reader
	wait time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.text.Read(p)
	if err == io.EOF {
		time.Sleep(s.wait)
	}
	return n, err
}

func TestRefusals(t *testing.T) {
	scenarios := []struct {
		testName   string
		method     string
		path       string
		header     http.Header
		body       func() io.Reader
		prepare    func(f *Fleet)
		status     int
		code       fault.Code
		outcome    fault.Outcome
		retryAfter bool
	}{
		{
			testName: "malformed JSON", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return strings.NewReader(`{"model":`) },
			status: 400, code: fault.MalformedJSON, outcome: fault.NotExecuted,
		},
		{
			testName: "no messages", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return strings.NewReader(`{"model":"packet-reading"}`) },
			status: 400, code: fault.BadRequest, outcome: fault.NotExecuted,
		},
		{
			testName: "an unknown service", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return chatBody("nothing", "x") },
			status: 404, code: fault.UnknownService, outcome: fault.NotExecuted,
		},
		{
			testName: "a plain service named as a model", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return chatBody("renewal-desk", "x") },
			status: 404, code: fault.UnknownService, outcome: fault.NotExecuted,
		},
		{
			testName: "an oversized prompt", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return chatBody("packet-reading", strings.Repeat("w ", 30_001)) },
			status: 413, code: fault.PromptTooLong, outcome: fault.NotExecuted,
		},
		{
			testName: "an oversized body", method: "POST", path: "/v1/chat/completions",
			body:   func() io.Reader { return chatBody("packet-reading", strings.Repeat("w", 5<<20)) },
			status: 413, code: fault.BodyTooLarge, outcome: fault.NotExecuted,
		},
		{
			testName: "a slow client", method: "POST", path: "/v1/chat/completions",
			body: func() io.Reader {
				return &slowReader{text: strings.NewReader(`{"model":"packet-reading",`), wait: time.Minute}
			},
			status: 408, code: fault.SlowClient, outcome: fault.NotExecuted,
		},
		{
			testName: "an unknown route", method: "GET", path: "/peer/load",
			status: 404, code: fault.UnknownRoute, outcome: fault.NotExecuted,
		},
		{
			testName: "a call that is not in the document", method: "POST", path: "/services/renewal-desk/wipe",
			status: 404, code: fault.UnknownCall, outcome: fault.NotExecuted,
		},
		{
			testName: "an action without its key fields", method: "POST", path: "/services/renewal-desk/renewals",
			body:   func() io.Reader { return strings.NewReader(`{"permit":"7"}`) },
			status: 400, code: fault.BadRequest, outcome: fault.NotExecuted,
		},
		{
			testName: "a body above the document's limit", method: "POST", path: "/services/renewal-desk/renewals",
			body:   func() io.Reader { return strings.NewReader(strings.Repeat("x", 70_000)) },
			status: 413, code: fault.BodyTooLarge, outcome: fault.NotExecuted,
		},
		{
			testName: "an action while the platform is down", method: "POST", path: "/services/renewal-desk/renewals",
			prepare: func(f *Fleet) { f.Platform.SetFaults(fake.PlatformFaults{Down: true}) },
			body:    func() io.Reader { return strings.NewReader(`{"permit":"7","period":"1"}`) },
			status:  503, code: fault.LedgerUnavailable, outcome: fault.Unknown, retryAfter: true,
		},
		{
			testName: "a lookup without any endpoint", method: "GET", path: "/services/renewal-desk/permits/7/status",
			prepare: func(f *Fleet) { removePool(f, "renewal-desk") },
			status:  503, code: fault.NoEndpoint, outcome: fault.NotExecuted, retryAfter: true,
		},
		{
			testName: "an action without any endpoint", method: "POST", path: "/services/renewal-desk/renewals",
			prepare: func(f *Fleet) { removePool(f, "renewal-desk") },
			body:    func() io.Reader { return strings.NewReader(`{"permit":"7","period":"1"}`) },
			status:  503, code: fault.NoEndpoint, outcome: fault.Unknown, retryAfter: true,
		},
		{
			testName: "a model without any endpoint", method: "POST", path: "/v1/chat/completions",
			prepare: func(f *Fleet) { removePool(f, "reading-decode") },
			body:    func() io.Reader { return chatBody("packet-reading", "x") },
			status:  503, code: fault.NoEndpoint, outcome: fault.NotExecuted, retryAfter: true,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				if s.prepare != nil {
					s.prepare(f)
				}
				var body io.Reader
				if s.body != nil {
					body = s.body()
				}
				started := time.Now()
				response, problem := sendRaw(t, f, s.method, s.path, s.header, body)
				assert.Equal(t, response.StatusCode, s.status)
				assert.Equal(t, response.Header.Get("Content-Type"), fault.ProblemType)
				assert.Equal(t, problem.Code, s.code)
				assert.Equal(t, problem.Outcome, s.outcome)
				assert.Equal(t, response.Header.Get("Retry-After") != "", s.retryAfter)
				assert.Assert(t, time.Since(started) <= bodyTimeout+time.Second)
			})
		})
	}
}

// removePool removes a pool's endpoints and waits until every entry has read the change.
// It kills the agents too, which would otherwise write their records again.
func removePool(f *Fleet, pool ident.PoolName) {
	for _, e := range f.Endpoints(pool) {
		f.KillAgent(e.Name)
		f.Platform.RemoveInstance(ident.InstanceName(e.Name))
	}
	time.Sleep(10 * time.Second)
}

// TestKeyRequired checks that an action needs an idempotency key if the document has
// no key fields.
func TestKeyRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		text := "service: locker\nworkspace: khuzam\nkind: plain\npools: {serve: renewal-desk}\n" +
			"targets: {whole-answer: 1s, patience: 5s}\ncalls: [{match: POST /unlock, class: action}]\n"
		assert.NilError(t, f.PutDocument(context.Background(), "locker.yaml", []byte(text)))
		_, problem := sendRaw(t, f, "POST", "/services/locker/unlock", nil, strings.NewReader("{}"))
		assert.Equal(t, problem.Code, fault.KeyRequired)
		header := http.Header{"Idempotency-Key": {"k"}}
		first, err := f.Caller("e1").Call(t.Context(), "locker", "POST", "/unlock", "k", `{"a":1}`)
		assert.NilError(t, err)
		assert.Equal(t, first.Status, http.StatusCreated)
		_, problem = sendRaw(t, f, "POST", "/services/locker/unlock", header, strings.NewReader(`{"a":2}`))
		assert.Equal(t, problem.Code, fault.KeyReused)
	})
}

// TestUnsignedRequest checks that an agent rejects requests without a peer's
// signature.
func TestUnsignedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		response, err := f.client(callerHost).Post("http://agent-r1:1/peer/call", "application/json", bytes.NewReader([]byte(`{}`)))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	})
}

// TestInterruptedStream checks that a stream which cannot continue ends with an error
// event and has neither a finish reason nor [DONE].
func TestInterruptedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		body := strings.NewReader(`{"model":"packet-reading","stream":true,"messages":[{"role":"user","content":"length=1400"}]}`)
		response, err := f.client(callerHost).Post("http://e1:1/v1/chat/completions", "application/json", body)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		go func() {
			awaitDecode(f)
			for _, e := range f.Endpoints("reading-decode") {
				f.KillEngine(e.Name)
			}
		}()
		var lines []string
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if scanner.Text() != "" {
				lines = append(lines, scanner.Text())
			}
		}
		assert.NilError(t, scanner.Err())
		last := lines[len(lines)-1]
		assert.Assert(t, strings.Contains(last, `"error":`) && strings.Contains(last, `"outcome":"unknown"`), "%s", last)
		for _, line := range lines {
			assert.Assert(t, !strings.Contains(line, "[DONE]") && !strings.Contains(line, `"finish_reason":"`), "%s", line)
		}
	})
}

// TestNewEntryReportsUnknown resends a completed action through an entry that has
// not loaded any documents: it must not report the outcome not-run.
func TestNewEntryReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHalvorsen(t)
		defer f.Close()
		body := `{"permit":"7","period":"1"}`
		first, err := f.Caller("e1").Call(t.Context(), "renewal-desk", http.MethodPost, "/renewals", "", body)
		assert.NilError(t, err)
		assert.Equal(t, first.Status, http.StatusCreated)
		f.Platform.SetFaults(fake.PlatformFaults{Down: true})
		assert.NilError(t, f.AddEntry("e3", "cascadia-west"))
		second, err := f.Caller("e3").Call(t.Context(), "renewal-desk", http.MethodPost, "/renewals", "", body)
		assert.NilError(t, err)
		assert.Equal(t, second.Problem.Code, fault.DocumentsNotLoaded)
		assert.Equal(t, second.Problem.Outcome, fault.Unknown)
	})
}
