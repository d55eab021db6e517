package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"crocusstep/caller"
	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/ident"
	"crocusstep/platform"
	"crocusstep/socket"
	"crocusstep/spec"
	"crocusstep/store"
)

const (
	ownPlatformPort = 28300
	entryPort       = 28500
	agentPort       = 28400
	adminPortOffset = 1
	entryCount      = 2
	agentsPerPool   = 2

	// The subnets of the platform's fake, of entries, and of the first pool's agents.
	ownPlatformSubnet = 19
	entrySubnet       = 20
	agentSubnet       = 21

	ownRegion = "region-a"
	ownToken  = "soak-token"
	chatModel = "soak-model"
	callApp   = "soak-app"

	// ownPatience is the time that the services' documents allow a request.
	ownPatience = 8 * time.Second
	// maxChatOutput is the limit of output tokens, which take some 5 s.
	maxChatOutput = 200
	// entryLeaveDelay and entryStopTimeout together exceed the services' patience, so that what was
	// read before a stop can be completed. What comes late in the delay can not.
	entryLeaveDelay  = 5 * time.Second
	entryStopTimeout = 4 * time.Second
	agentStopTimeout = 7 * time.Second

	instanceLag = time.Second
)

// The pools of the product's own interface.
const (
	prefillPool = "soak-prefill"
	decodePool  = "soak-decode"
	servePool   = "soak-serve"
)

// ownFleet is entries and agents as processes, with in-process fakes of the platform, the engines
// and a plain service.
type ownFleet struct {
	platform  *fake.Platform
	admin     *docset.Admin
	recorder  *ownRecorder
	entries   []string
	endpoints []*ownEndpoint
}

func (f *fleet) entryAddress(index int) ident.Address {
	return ident.Address(fmt.Sprintf("%s:%d", f.host(entrySubnet, index), entryPort))
}

// startOwn starts the platform's fake, agents with their endpoints, and entries.
func (f *fleet) startOwn(ctx context.Context, scale int) error {
	f.own = &ownFleet{
		platform: fake.NewPlatform(fake.PlatformConfig{Latency: 2 * time.Millisecond, InstanceLag: instanceLag}),
		recorder: newOwnRecorder(),
	}
	f.Platform = ident.Address(fmt.Sprintf("%s:%d", f.host(ownPlatformSubnet, 0), ownPlatformPort))
	if err := serve(ctx, string(f.Platform), f.own.platform.Handler()); err != nil {
		return err
	}
	if _, err := f.WriteFile("peer-keys.yaml", "keys:\n  - {id: soak, secret: only-for-the-soak}\n"); err != nil {
		return err
	}
	f.own.admin = docset.NewAdmin(platform.NewStore(platform.StoreConfig{Address: f.Platform, HTTP: socket.NewClient(), Timeout: time.Second}))
	for _, service := range []string{chatModel, callApp} {
		if err := f.putDocument(ctx, service, 0); err != nil {
			return err
		}
	}
	for subnet, pool := range []string{prefillPool, decodePool, servePool} {
		for i := range agentsPerPool * scale {
			if err := f.addOwnEndpoint(ctx, pool, f.host(agentSubnet+subnet, i), i); err != nil {
				return err
			}
		}
	}
	for i := range entryCount * scale {
		name := fmt.Sprintf("entry-%d", i)
		f.own.entries = append(f.own.entries, name)
		if err := f.startEntry(name, i); err != nil {
			return err
		}
		f.addNode(entryRole, name, string(f.entryAddress(i)), func() error { return f.startEntry(name, i) })
		f.own.platform.SetInstance(store.Instance{
			Name: ident.InstanceName(name), Role: store.EntryRole, Address: f.entryAddress(i), Region: ownRegion, State: store.Live,
		})
	}
	return nil
}

func (f *fleet) startEntry(name string, index int) error {
	return f.StartProcess(name, "entry", fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: zone-a}
listen: %s
admin: {listen: "%s:%d", token: %s}
platform: {address: "%s"}
peer-keys-file: %s/peer-keys.yaml
shutdown: {leave-delay: %s, timeout: %s}
`, name, ownRegion, f.entryAddress(index), f.host(entrySubnet, index), entryPort+adminPortOffset, ownToken, f.Platform, f.Folder, entryLeaveDelay, entryStopTimeout))
}

func (f *fleet) startAgent(e *ownEndpoint) error {
	kind := spec.LanguageModel
	if e.engine == nil {
		kind = spec.Plain
	}
	return f.StartProcess(e.agent, "agent", fmt.Sprintf(`place: {instance: %s, region: %s, availability-zone: zone-a}
endpoint: %s
endpoint-kind: %s
pool: %s
endpoint-address: "%s"
listen: "%s:%d"
admin: {listen: "%s:%d", token: %s}
platform: {address: "%s"}
peer-keys-file: %s/peer-keys.yaml
shutdown: {timeout: %s}
`, e.agent, ownRegion, e.name, kind, e.pool, e.address(), e.host, agentPort, e.host, agentPort+adminPortOffset, ownToken, f.Platform, f.Folder, agentStopTimeout))
}

// putDocument activates a revision of a service's document. The revisions differ in limits that no
// request reaches.
func (f *fleet) putDocument(ctx context.Context, service string, revision int) error {
	text := fmt.Sprintf(`service: %s
workspace: soak
kind: language-model
pools: {prefill: %s, decode: %s}
targets: {first-token: 4s, between-tokens: 76ms, patience: %s, objective-percent: 95}
limits: {prompt-tokens: 30000, output-tokens: %d, waiting: %d}
retries: {attempts: 3, budget-percent: 50}
regions: {home: %s, may-cross: false}
`, chatModel, prefillPool, decodePool, ownPatience, maxChatOutput, 300+revision%7, ownRegion)
	if service == callApp {
		text = fmt.Sprintf(`service: %s
workspace: soak
kind: plain
pools: {serve: %s}
targets: {whole-answer: 2s, patience: %s, objective-percent: 99}
calls:
  - {match: "POST /actions/{id}", class: action}
  - {match: "GET /lookups/{id}", class: lookup, share: true}
limits: {body-size: 64KiB, lookups: %d, actions: 16}
retries: {attempts: 3, budget-percent: 50}
regions: {home: %s, may-cross: false}
fencing: {keep-records: 24h, shards: 16}
`, callApp, servePool, ownPatience, 16+revision%7, ownRegion)
	}
	document, err := spec.Parse(service, []byte(text))
	if err != nil {
		return err
	}
	_, err = f.own.admin.Put(ctx, document, []byte(text), docset.AnyRevision)
	return err
}

// awaitOwn waits until each entry serves chats and calls.
func (f *fleet) awaitOwn(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for i := range f.own.entries {
		conns := newKeptConns()
		client := caller.NewClient(&http.Client{Transport: conns}, f.entryAddress(i))
		for n := 0; ; n++ {
			id := fmt.Sprintf("warm-%d-%d", i, n)
			chat, chatErr := client.Chat(ctx, chatModel, chatPrompt(id, 1), false)
			call, callErr := client.Call(ctx, callApp, http.MethodGet, "/lookups/"+id, "", "")
			if chatErr == nil && chat.Complete && callErr == nil && call.Problem == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry-%d does not serve: %w; %+v, %+v", i, errors.Join(chatErr, callErr), chat.Problem, call.Problem)
			}
			time.Sleep(200 * time.Millisecond)
		}
		conns.close()
	}
	return nil
}
