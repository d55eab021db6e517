package burn

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

// endlessEntry answers with a text without end and counts what is read of it.
type endlessEntry struct {
	io.Reader
	read int
}

func (e *endlessEntry) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(e)}, nil
}

func (e *endlessEntry) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != nil {
		n = copy(p, strings.Repeat("a", len(p)))
	}
	if e.read += n; e.read > 4*maxSeriesBytes {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// TestEndlessSeries guards against a report that runs out of memory as an entry sends series without end.
func TestEndlessSeries(t *testing.T) {
	entry := &endlessEntry{Reader: strings.NewReader(`[{"x":"`)}
	_, failures := NewCollector(&http.Client{Transport: entry}, "token").Collect(t.Context(), []ident.Address{"10.0.0.1:1"})
	assert.Equal(t, len(failures), 1)
	assert.Assert(t, entry.read <= 2*maxSeriesBytes, "read %d bytes", entry.read)
}
