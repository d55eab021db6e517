package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"
)

const host = "ficu95.example"

// newAttempt returns the id of a client attempt.
func newAttempt() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// send sends one client attempt over a new connection. The deadline is the client's.
func send(ctx context.Context, r *relay, path, attempt string, body []byte, deadline time.Time, header map[string]string) (*http.Response, error) {
	left := time.Until(deadline)
	if left <= 0 {
		return nil, errors.New("the deadline has passed")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Close = true
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	// A transport of its own keeps it from sending a request twice.
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
}

// retryDelay returns how long a client waits before it asks again: it honours Retry-After up to a
// third of the time that it has left.
func retryDelay(response *http.Response, deadline time.Time) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 200 * time.Millisecond
	}
	return min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3)
}
