package audit

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/table"
)

// newDocument returns a table without findings.
func newDocument() *table.Document {
	return &table.Document{
		Version: 7,
		Routes: []table.Route{{
			Name: "r", Host: "a.example", Prefix: "/a/", Kind: table.Lookup, Timeout: 2 * time.Second, TargetLatency: time.Second,
			MaxEndpoints: 2, WeightedServices: []table.WeightedService{{Service: "s", Weight: 1}},
		}},
		Services:     []table.Service{{Name: "s"}},
		KeysRequired: true,
		Workspaces: []table.Workspace{{
			Name: "w", Keys: []table.KeyDigest{table.NewKeyDigest("secret")},
			Quota: &table.Quota{PerSecond: 1000, Burst: 1000, CountsTokens: true, PlainTokens: 200},
		}},
	}
}

func TestCheck(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(d *table.Document)
		level    Level
		text     string
	}{
		{"two routes of one host and prefix", func(d *table.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Name = "other"
		}, Error, "route other: it can never match, as route r has the same host and prefix"},
		{"a host with a port", func(d *table.Document) { d.Routes[0].Host = "a.example:80" }, Error, "can never match"},
		{"a prefix without a slash", func(d *table.Document) { d.Routes[0].Prefix = "/a" }, Error, "must begin and end with a slash"},
		{"a target after the timeout", func(d *table.Document) { d.Routes[0].TargetLatency = time.Minute }, Error, "longer than its timeout"},
		{"weights of zero", func(d *table.Document) { d.Routes[0].WeightedServices[0].Weight = 0 }, Error, "weights sum to zero"},
		{"a service that does not exist", func(d *table.Document) { d.Routes[0].WeightedServices[0].Service = "x" }, Error, `service "x" does not exist`},
		{"a service without a route", func(d *table.Document) { d.Services = append(d.Services, table.Service{Name: "x"}) }, Warning, "no route leads to it"},
		{"an action with several endpoints", func(d *table.Document) { d.Routes[0].Kind = table.Action }, Warning, "may run once only"},
		{"keys without workspaces", func(d *table.Document) { d.Workspaces = nil }, Error, "no workspace has one"},
		{"a key of two workspaces", func(d *table.Document) {
			d.Workspaces = append(d.Workspaces, d.Workspaces[0])
			d.Workspaces[1].Name = "x"
		}, Error, "is already a key of workspace w"},
		{"a workspace without keys", func(d *table.Document) { d.Workspaces[0].Keys = nil }, Warning, "its callers are refused"},
		{"a quota that never fits a request", func(d *table.Document) {
			d.Workspaces[0].Quota.PerSecond, d.Workspaces[0].Quota.Burst = 50, 50
		}, Error, "never fit"},
		{"a quota above what endpoints serve", func(d *table.Document) { d.Workspaces[0].Quota.PerSecond = 1e6 }, Warning, "exceeds the 5000"},
		{"a head that may take longer than idle connections live", func(d *table.Document) {
			d.Limits = table.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Second}
		}, Warning, "idle connections are closed"},
	}
	capacity := Capacity{TokensPerSecond: 5000}
	assert.Equal(t, len(Check(newDocument(), capacity)), 0)
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDocument()
			s.change(d)
			for _, f := range Check(d, capacity) {
				assert.Assert(t, !strings.Contains(f.String(), "secret"))
				if f.Level == s.level && strings.Contains(f.String(), s.text) {
					return
				}
			}
			t.Fatalf("%q is missing in %v", s.text, Check(d, capacity))
		})
	}
}

func TestCompare(t *testing.T) {
	inForce, next := newDocument(), newDocument()
	next.Version = 8
	assert.Equal(t, len(Compare(inForce, next)), 0)
	next.Routes[0].Timeout = 3 * time.Second
	next.Services = append(next.Services, table.Service{Name: "x"})
	next.Workspaces[0].Keys = []table.KeyDigest{table.NewKeyDigest("other")}
	lines := []string{}
	for _, f := range Compare(inForce, next) {
		lines = append(lines, f.String())
	}
	assert.DeepEqual(t, lines, []string{
		"change: route r: Timeout 3s, was 2s",
		"change: service x: added",
		"change: workspace w: key with digest d9298a10 added, key with digest 2bb80d53 taken away",
	})
	next.Version = 7
	assert.Assert(t, HasErrors(Compare(inForce, next)), "a version that is not newer is ignored")
}
