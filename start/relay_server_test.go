package start

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/common"
	"crocusstep/conf"
	"crocusstep/meter"
	"crocusstep/table"
)

// TestReadinessListsRelay guards against relays that count as serving before the load balancer has heard
// that they are ready, or that never do.
func TestReadinessListsRelay(t *testing.T) {
	for _, isReady := range []bool{false, true} {
		m, err := meter.NewMeter()
		assert.NilError(t, err)
		p := &platformProcess{Common: common.NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), guard: newGuard(conf.NewRelay().Memory, relayRequestParts, m)}
		s := newRelayServer(p, conf.NewRelay())
		status := http.StatusServiceUnavailable
		if isReady {
			status = http.StatusOK
			s.relay.SetTable(&table.Document{Version: 1})
			s.pool.ApplySnapshot(nil, 1, false)
		}
		w := httptest.NewRecorder()
		s.serveReadiness(w, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Equal(t, w.Code, status)
		assert.Equal(t, s.relay.SetListed(), !isReady)
	}
}
