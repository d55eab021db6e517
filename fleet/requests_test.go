package fleet

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/caller"
	"crocusstep/fake"
	"crocusstep/ident"
)

// newHalvorsen starts the deployment of the example Halvorsen with two entries.
func newHalvorsen(t *testing.T) *Fleet {
	t.Helper()
	return newHalvorsenWith(t, fake.PlainServiceConfig{ExecutionTime: 20 * time.Millisecond, ResponseDelay: 5 * time.Millisecond})
}

func newHalvorsenWith(t *testing.T, plain fake.PlainServiceConfig) *Fleet {
	t.Helper()
	f, err := NewFleet(Config{
		Platform:     fake.PlatformConfig{Latency: 3 * time.Millisecond, InstanceLag: 4 * time.Second},
		Engine:       fake.DefaultEngineConfig(nil),
		PlainService: plain,
		Seed:         1,

		RestartDelay: time.Second,
	})
	assert.NilError(t, err)
	assert.NilError(t, f.PutDocuments(context.Background(), "../examples/halvorsen/services"))
	for _, name := range []string{"p1", "p2"} {
		assert.NilError(t, f.AddModel(ident.EndpointName(name), "reading-prefill", "cascadia-west"))
	}
	for _, name := range []string{"d1", "d2", "d3"} {
		assert.NilError(t, f.AddModel(ident.EndpointName(name), "reading-decode", "cascadia-west"))
	}
	for _, name := range []string{"r1", "r2", "r3"} {
		assert.NilError(t, f.AddPlain(ident.EndpointName(name), "renewal-desk", "cascadia-west"))
	}
	assert.NilError(t, f.AddEntry("e1", "cascadia-west"))
	assert.NilError(t, f.AddEntry("e2", "cascadia-west"))
	// The list of instances lags; by then every entry has read the complete one.
	time.Sleep(10 * time.Second)
	return f
}

func TestRequests(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, f *Fleet)
	}{
		{
			testName: "a streamed response is complete and correct",
			run: func(t *testing.T, f *Fleet) {
				chat, err := f.Caller("e1").Chat(context.Background(), "packet-reading", "please read length=60 this packet", true)
				assert.NilError(t, err)
				assert.Assert(t, chat.Complete)
				assert.Equal(t, chat.Text, fake.Output(caller.RenderPrompt("please read length=60 this packet"), 1500))
			},
		},
		{
			testName: "a response without streaming is complete and correct",
			run: func(t *testing.T, f *Fleet) {
				chat, err := f.Caller("e2").Chat(context.Background(), "packet-reading", "short", false)
				assert.NilError(t, err)
				assert.Assert(t, chat.Complete)
				assert.Equal(t, chat.Text, fake.Output(caller.RenderPrompt("short"), 1500))
			},
		},
		{
			testName: "an action that is sent through two entries runs once",
			run: func(t *testing.T, f *Fleet) {
				first, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", `{"permit":"7","period":"2026","sent-at":1}`)
				assert.NilError(t, err)
				second, err := f.Caller("e2").Call(context.Background(), "renewal-desk", http.MethodPost, "/renewals", "", `{"permit":"7","period":"2026","sent-at":2}`)
				assert.NilError(t, err)
				assert.Equal(t, first.Status, http.StatusCreated)
				assert.Equal(t, second.Body, first.Body)
				assert.Assert(t, second.Replayed && !first.Replayed)
				assert.Equal(t, countRuns(f), 1)
			},
		},
		{
			testName: "a lookup succeeds",
			run: func(t *testing.T, f *Fleet) {
				result, err := f.Caller("e1").Call(context.Background(), "renewal-desk", http.MethodGet, "/permits/7/status", "", "")
				assert.NilError(t, err)
				assert.Equal(t, result.Status, http.StatusCreated)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				s.run(t, f)
			})
		})
	}
}

func countRuns(f *Fleet) int {
	total := 0
	for _, e := range f.Endpoints("renewal-desk") {
		total += len(e.PlainService.Runs())
	}
	return total
}
