package agent

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"crocusstep/wire"
)

// idleInterval leaves room for two lost idle frames before an entry gives up.
const idleInterval = wire.StreamIdleTimeout / 3

// frameWriter writes frames of one stream, one line each.
type frameWriter struct {
	mutex      sync.Mutex
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) *frameWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &frameWriter{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

func (f *frameWriter) send(frame wire.Frame) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// A reader that takes nothing for this long is as good as gone.
	_ = f.controller.SetWriteDeadline(time.Now().Add(wire.StreamIdleTimeout))
	if err := f.encoder.Encode(frame); err != nil {
		return err
	}
	return f.controller.Flush()
}

// keepAlive sends idle frames until done is closed.
func (f *frameWriter) keepAlive(ticket wire.AttemptInfo, done chan struct{}) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			_ = f.send(wire.Frame{Request: ticket.Request, Attempt: ticket.Attempt, Kind: wire.KeepAliveFrame})
		}
	}
}
