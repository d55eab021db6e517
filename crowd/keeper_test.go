package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/keeper"
)

// keeperMemory is less than that of the machines that the users' sites have beside engines.
const keeperMemory = 160 << 20

// startKeeper starts a keeper beside an engine.
func startKeeper(t *testing.T, descriptors int) *subject {
	t.Helper()
	engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"born":7,"stage":"decode","kvTotal":60000,"running":0,"runs":[]}`)
	})
	listen, metrics := freeAddress(t), freeAddress(t)
	host, port, err := net.SplitHostPort(listen)
	assert.NilError(t, err)
	_, metricsPort, err := net.SplitHostPort(metrics)
	assert.NilError(t, err)
	p := start(t, descriptors, "keeper", fmt.Sprintf(`place: {instance: keeper-1, region: region-a, availability-zone: zone-a}
address: %s
endpoint: %s
peers: {keeper-port: %s}
metrics-port: %s
memory: 160MiB
`, host, serve(t, engine), port, metricsPort), listen, metrics)
	post := func(path, body string) func(context.Context) error {
		return func(ctx context.Context) error {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listen+path, strings.NewReader(body))
			if err != nil {
				return err
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			return expectOK(client.Do(request))
		}
	}
	load := post(keeper.LoadPath, "{}")
	// A message may have spaces of any number.
	return &subject{process: p, memory: keeperMemory, ordinary: load, largest: post(keeper.LoadPath, strings.Repeat(" ", peerBody-2)+"{}")}
}

func TestKeeperCalls(t *testing.T) {
	call := target{head: "POST " + keeper.LoadPath + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"}
	call.body = append(append([]byte(`{"attempt":"`), bytes.Repeat([]byte("b"), peerBody-len(`{"attempt":""}`))...), `"}`...)
	for _, c := range append(call.heads(), call.bodies(64)...) {
		t.Run(c.testName, func(t *testing.T) {
			s := startKeeper(t, c.descriptors)
			c.check(t, s, "127.0.0.1:"+s.ports[0])
		})
	}
}
