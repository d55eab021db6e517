package agent

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"crocusstep/wire"
)

// keepAliveInterval allows for two lost keep-alive frames before the stream times out.
const keepAliveInterval = wire.StreamIdleTimeout / 3

// frameWriter writes the frames of one stream as lines of JSON.
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
	// A client that reads nothing for this long is treated as disconnected.
	_ = f.controller.SetWriteDeadline(time.Now().Add(wire.StreamIdleTimeout))
	if err := f.encoder.Encode(frame); err != nil {
		return err
	}
	return f.controller.Flush()
}

// keepAlive sends keep-alive frames until done is closed.
func (f *frameWriter) keepAlive(info wire.AttemptInfo, done chan struct{}) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			_ = f.send(wire.Frame{Request: info.Request, Attempt: info.Attempt, Kind: wire.KeepAliveFrame})
		}
	}
}
