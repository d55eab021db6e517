package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/auth"
	"crocusstep/caller"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/platform"
	"crocusstep/socket"
	"crocusstep/spec"
	"crocusstep/store"
	"crocusstep/wire"
)

const (
	// ownMemory is what control may have of a machine (docs/dev/guide.md, the target).
	ownMemory = 256_000_000
	// ownBody is the largest body that an entry takes, peerBody that an agent or a keeper takes.
	ownBody  = 4 << 20
	peerBody = 8 << 20
	chatKind = "reading"
	callApp  = "desk"
	ownToken = "token"
)

var peerKey = auth.Key{ID: "k", Secret: "a secret of more than thirty-two characters"}

// documents are the services of the entries.
var documents = map[string]string{
	chatKind: `service: reading
workspace: crowd
kind: language-model
pools: {prefill: prefill, decode: decode}
targets: {first-token: 4s, between-tokens: 76ms, patience: 30s, objective-percent: 95}
limits: {body-size: 4MiB, prompt-tokens: 30000, output-tokens: 100, waiting: 300}
retries: {attempts: 3, budget-percent: 50}
regions: {home: region-a, may-cross: false}
`,
	callApp: `service: desk
workspace: crowd
kind: plain
pools: {serve: serve}
targets: {whole-answer: 2s, patience: 10s, objective-percent: 99}
calls:
  - {match: "POST /actions/{id}", class: action}
  - {match: "GET /lookups/{id}", class: lookup, share: true}
limits: {body-size: 4MiB, lookups: 16, actions: 16}
retries: {attempts: 3, budget-percent: 50}
regions: {home: region-a, may-cross: false}
fencing: {keep-records: 24h, shards: 16}
`,
}

// ownFleet is the roles with the product's own interface.
type ownFleet struct {
	folder   string
	address  string
	platform *fake.Platform
	// agents holds the agents by pool.
	agents map[string]*process
}

// startOwn starts agents with their endpoints. The agent of the pool named limited has the
// descriptors.
func startOwn(t *testing.T, limited string, descriptors int) *ownFleet {
	t.Helper()
	f := &ownFleet{folder: t.TempDir(), platform: fake.NewPlatform(fake.PlatformConfig{}), agents: map[string]*process{}}
	f.address = serve(t, f.platform.Handler())
	assert.NilError(t, os.WriteFile(filepath.Join(f.folder, "keys.yaml"), fmt.Appendf(nil, "keys: [{id: %s, secret: %s}]\n", peerKey.ID, peerKey.Secret), 0o600))
	admin := docset.NewAdmin(platform.NewStore(platform.StoreConfig{Address: ident.Address(f.address), HTTP: socket.NewClient(), Timeout: time.Second}))
	for service, text := range documents {
		document, err := spec.Parse(service, []byte(text))
		assert.NilError(t, err)
		_, err = admin.Put(context.Background(), document, []byte(text), docset.AnyRevision)
		assert.NilError(t, err)
	}
	for _, pool := range []string{"prefill", "decode", "serve"} {
		limit := 0
		if pool == limited {
			limit = descriptors
		}
		f.startAgent(t, pool, limit)
	}
	return f
}

func (f *ownFleet) startAgent(t *testing.T, pool string, descriptors int) {
	t.Helper()
	kind, handler := spec.LanguageModel, fake.NewEngine(fake.DefaultEngineConfig(socket.NewClient()), func() {}).Handler()
	if pool == "serve" {
		kind, handler = spec.Plain, fake.NewPlainService(fake.PlainServiceConfig{}).Handler()
	}
	listen, admin := freeAddress(t), freeAddress(t)
	f.agents[pool] = start(t, descriptors, "agent", fmt.Sprintf(`place: {instance: agent-%s, region: region-a, availability-zone: zone-a}
endpoint: %s
endpoint-kind: %s
pool: %s
endpoint-address: %s
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s/keys.yaml
`, pool, pool, kind, pool, serve(t, handler), listen, admin, ownToken, f.address, f.folder), listen, admin)
	f.platform.SetInstance(store.Instance{
		Name: ident.InstanceName("agent-" + pool), Role: store.AgentRole, Address: ident.Address(listen),
		Endpoint: ident.EndpointName(pool), Pool: ident.PoolName(pool), Region: "region-a", State: store.Live,
	})
}

// startEntry starts an entry. Its ports are those for callers and for operators.
func (f *ownFleet) startEntry(t *testing.T, descriptors int) *subject {
	t.Helper()
	listen, admin := freeAddress(t), freeAddress(t)
	p := start(t, descriptors, "entry", fmt.Sprintf(`place: {instance: entry-1, region: region-a, availability-zone: zone-a}
listen: %s
admin: {listen: %s, token: %s}
platform: {address: %s}
peer-keys-file: %s/keys.yaml
`, listen, admin, ownToken, f.address, f.folder), listen, admin)
	f.platform.SetInstance(store.Instance{Name: "entry-1", Role: store.EntryRole, Address: ident.Address(listen), Region: "region-a", State: store.Live})
	client := func() *caller.Client {
		return caller.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, ident.Address(listen))
	}
	// The crowds send chats, which take no endpoint from ordinary calls.
	lookup := func(ctx context.Context) error {
		result, err := client().Call(ctx, callApp, http.MethodGet, fmt.Sprintf("/lookups/%d", attempts.Add(1)), "", "")
		if err == nil && result.Problem != nil {
			err = fmt.Errorf("%+v", result.Problem)
		}
		return err
	}
	chat := func(ctx context.Context) error {
		result, err := client().Chat(ctx, chatKind, "length=1 "+strings.Repeat("w", ownBody-200), false)
		if err == nil && !result.Complete {
			err = fmt.Errorf("%+v", result.Problem)
		}
		return err
	}
	return &subject{process: p, memory: ownMemory, ordinary: lookup, largest: chat}
}

// chatTarget returns chats of the largest size.
func chatTarget() target {
	const start, end = `{"model":"reading","max_tokens":100,"messages":[{"role":"user","content":"length=100 `, `"}]}`
	return target{
		head: "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n",
		body: []byte(start + strings.Repeat("w", ownBody-len(start)-len(end)) + end),
	}
}

func TestEntryCallers(t *testing.T) {
	chat := chatTarget()
	for _, c := range append(chat.heads(), chat.bodies(64)...) {
		t.Run(c.testName, func(t *testing.T) {
			s := startOwn(t, "", 0).startEntry(t, c.descriptors)
			c.check(t, s, "127.0.0.1:"+s.ports[0])
		})
	}
}

// TestEntryOperators sends the crowds to the port for operators.
func TestEntryOperators(t *testing.T) {
	get := target{head: "GET /healthz HTTP/1.1\r\nHost: a\r\n", body: bytes.Repeat([]byte("b"), relayBody)}
	for _, c := range append(get.heads(), get.bodies(100)...) {
		t.Run(c.testName, func(t *testing.T) {
			s := startOwn(t, "", 0).startEntry(t, c.descriptors)
			s.largest = nil
			c.check(t, s, "127.0.0.1:"+s.ports[1])
		})
	}
}

func TestAgentPeers(t *testing.T) {
	ring, err := auth.NewKeyring([]auth.Key{peerKey})
	assert.NilError(t, err)
	call := target{head: "POST " + wire.CallPath + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n", body: bytes.Repeat([]byte("b"), peerBody)}
	for _, c := range append(call.heads(), call.bodies(64)...) {
		t.Run(c.testName, func(t *testing.T) {
			p := startOwn(t, "serve", c.descriptors).agents["serve"]
			address := "127.0.0.1:" + p.ports[0]
			lookup := func(body []byte) func(context.Context) error {
				return func(ctx context.Context) error {
					peers := wire.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, ring, func(string, ident.ByteCount) {})
					response, err := wire.Call[wire.CallResponse](ctx, peers, ident.Address(address), wire.CallPath, wire.CallRequest{
						Info:  wire.AttemptInfo{Attempt: ident.AttemptID(fmt.Sprintf("ordinary-%d", attempts.Add(1))), Deadline: time.Now().Add(10 * time.Second)},
						Class: spec.Lookup, Method: http.MethodGet, Path: "/lookups/x", Limit: 16, MaxWait: time.Second, Timeout: 10 * time.Second, Body: body,
					})
					if err == nil && response.Fault != nil {
						err = errors.New(response.Fault.Error())
					}
					return err
				}
			}
			s := &subject{process: p, memory: ownMemory, ordinary: lookup(nil), largest: lookup(bytes.Repeat([]byte("b"), ownBody))}
			c.check(t, s, address)
		})
	}
}
