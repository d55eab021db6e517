package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/platform"
	"crocusstep/platform/double"
)

const (
	// relayMemory is that of a machine between the smallest of the users' sites.
	relayMemory = 100 << 20
	// relayBody is the largest body that the operators' configuration allows.
	relayBody = 1 << 20
	// heldService is a service of its own, so that a crowd takes no endpoint from ordinary callers.
	// Its endpoint holds its response until the caller leaves, and at largePath and mediumPath sends
	// one of some size.
	heldService = "held"
	heldPath    = "/held/"
	largePath   = heldPath + "large"
	mediumPath  = heldPath + "medium"
	// callTimeout is how long an ordinary caller waits.
	callTimeout = 5 * time.Second
	// heldConns is above the size of the crowds.
	heldConns = 1000
	// largeResponseBytes and mediumResponseBytes are the sizes of the responses there.
	largeResponseBytes  = 1 << 20
	mediumResponseBytes = 60 << 10
)

var attempts atomic.Int64

// relaySubject is a relay and its ports.
type relaySubject struct {
	subject
	callers, readiness, metrics string
}

// startRelay starts a relay with a store and an endpoint of a plain service.
func startRelay(t *testing.T, descriptors int) *relaySubject {
	t.Helper()
	store := double.NewStore()
	configuration := double.Configuration(1)
	double.AddLookupRoute(configuration, heldPath, heldService, heldConns)
	assert.NilError(t, store.Put("config", "main", configuration))
	endpoint := &double.Endpoint{Name: "i-1", Service: double.PlainService, StartMillis: 1, Version: "v1", Recorder: double.NewRecorder()}
	responses := map[string][]byte{
		largePath:  bytes.Repeat([]byte("l"), largeResponseBytes),
		mediumPath: bytes.Repeat([]byte("m"), mediumResponseBytes),
	}
	holding := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		response, found := responses[r.URL.Path]
		if !found {
			<-r.Context().Done()
			return
		}
		double.WriteResponse(w, r, response)
	})
	assert.NilError(t, store.Register(endpoint, serve(t, endpoint), "zone-a", false))
	held := endpoint.Registration(serve(t, holding), "zone-a", false)
	held["service"], held["slots"] = heldService, heldConns
	assert.NilError(t, store.Put("servers", "i-2", held))
	s := &relaySubject{callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t)}
	_, metricsPort, err := net.SplitHostPort(s.metrics)
	assert.NilError(t, err)
	s.process = start(t, descriptors, "relay", fmt.Sprintf(`place: {instance: relay-1, region: region-a, availability-zone: zone-a}
address: 127.0.0.1
listen: %s
readiness: %s
metrics-port: %s
platform: {address: %s}
peers: {keeper-port: 1}
availability-zones: [{name: zone-a, region: region-a}]
memory: 100MiB
`, s.callers, s.readiness, metricsPort, serve(t, store)), s.callers, s.readiness, s.metrics)
	s.memory = relayMemory
	s.ordinary = func(ctx context.Context) error { return s.call(ctx, "ordinary") }
	s.largest = func(ctx context.Context) error { return s.call(ctx, strings.Repeat("b", relayBody)) }
	return s
}

// call sends a request with a body.
func (s *relaySubject) call(ctx context.Context, body string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers+double.LookupPath+"x", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = double.Host
	request.Header = double.CallHeader(fmt.Sprintf("ordinary-%d", attempts.Add(1)), double.SteadyKey, callTimeout)
	return expectOK(client.Do(request))
}

// expectOK returns an error unless a response has status 200 and is complete.
func expectOK(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, body)
	}
	return err
}

// relayTarget returns requests to a path of a relay.
func relayTarget(path string) target {
	var fields strings.Builder
	// A builder never fails.
	_ = double.CallHeader("crowd", double.SteadyKey, time.Minute).Write(&fields)
	return target{
		head: fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s", path, double.Host, fields.String()),
		body: bytes.Repeat([]byte("b"), relayBody),
	}
}

func TestRelayCallers(t *testing.T) {
	held := relayTarget(heldPath)
	request := []byte(relayTarget(largePath).head + "\r\n")
	crowds := append(held.heads(), held.bodies(200)...)
	medium := []byte(relayTarget(mediumPath).head + "\r\n")
	crowds = append(crowds,
		crowd{testName: "callers that read no response", size: 200, deaf: true, send: once(bytes.Repeat(request, 8))},
		crowd{testName: "callers that read no response of medium size", size: 600, deaf: true, descriptors: 4096, send: once(bytes.Repeat(medium, 8))},
	)
	for _, c := range crowds {
		t.Run(c.testName, func(t *testing.T) {
			s := startRelay(t, c.descriptors)
			c.check(t, &s.subject, s.callers)
		})
	}
}

// TestRelayOtherPorts sends the crowds to the ports of a relay that are not for callers.
func TestRelayOtherPorts(t *testing.T) {
	ports := []struct {
		testName, path string
		address        func(*relaySubject) string
	}{
		{"readiness", platform.ReadinessPath, func(s *relaySubject) string { return s.readiness }},
		{"metrics", "/metrics", func(s *relaySubject) string { return s.metrics }},
	}
	for _, p := range ports {
		get := target{head: "GET " + p.path + " HTTP/1.1\r\nHost: a\r\n", body: bytes.Repeat([]byte("b"), relayBody)}
		for _, c := range append(get.heads(), get.bodies(100)...) {
			t.Run(p.testName+" "+c.testName, func(t *testing.T) {
				s := startRelay(t, c.descriptors)
				// The load balancer and the collector are answered, too.
				callers := s.ordinary
				s.ordinary = func(ctx context.Context) error {
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address(s)+p.path, nil)
					if err != nil {
						return err
					}
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					if err := expectOK(client.Do(request)); err != nil {
						return err
					}
					return callers(ctx)
				}
				c.check(t, &s.subject, p.address(s))
			})
		}
	}
}
