package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

// ofVersion returns a process of a version.
func ofVersion(name string, start int64, version ident.SoftwareVersion) Endpoint {
	e := endpoint(name)
	e.StartMillis, e.Version = start, version
	return e
}

// closeGap adopts a history that ends before the pool's first state, with the store's changes.
func closeGap(p *Pool, to Revision, changes ...Change) {
	running := []ServiceVersion{{Service: "s", Version: "v1"}}
	p.AdoptHistoryWith(&History{Age: time.Minute, From: 2, To: 3, Running: running}, changes, to)
}

// TestSoftwareVersions guards against a service that counts as one of a single software version
// while streams of another one may still be taken up.
func TestSoftwareVersions(t *testing.T) {
	const span = 15 * time.Second
	remove := func(p *Pool, name string, revision Revision) {
		p.ApplyChanges([]Change{{Endpoint: Endpoint{Name: ident.EndpointName(name)}, Deleted: true}}, revision, false)
	}
	scenarios := []struct {
		testName string
		run      func(p *Pool)
		single   ident.SoftwareVersion
	}{
		{testName: "one version", run: func(*Pool) { time.Sleep(span) }, single: "v1"},
		{testName: "a process that has just started knows no history", run: func(*Pool) { time.Sleep(span - time.Second) }},
		{
			testName: "two versions",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplyChanges([]Change{{Endpoint: ofVersion("b", 1, "v2")}}, 6, false)
			},
		},
		{
			testName: "a version that has just ended counts",
			run: func(p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: ofVersion("b", 1, "v2")}}, 6, false)
				time.Sleep(span)
				remove(p, "b", 7)
				time.Sleep(span - time.Second)
			},
		},
		{
			testName: "a version that ended long ago does not count",
			run: func(p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: ofVersion("b", 1, "v2")}}, 6, false)
				remove(p, "b", 7)
				time.Sleep(span)
			},
			single: "v1",
		},
		{
			testName: "a process that started again at another version",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplyChanges([]Change{{Endpoint: ofVersion("a", 2, "v2")}}, 6, false)
			},
		},
		{
			testName: "an unknown version is not a single one",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplyChanges([]Change{{Endpoint: ofVersion("b", 1, "")}}, 6, false)
			},
		},
		{
			testName: "a process that has just started learns that there was no other version",
			run: func(p *Pool) {
				p.AdoptHistory(&History{Age: span, From: 2, To: 5})
			},
			single: "v1",
		},
		{
			testName: "a process that has just started learns of a version that has ended",
			run: func(p *Pool) {
				p.AdoptHistory(&History{Age: span, From: 2, To: 5, Ended: []EndedVersion{{Service: "s", Version: "v2", Age: time.Second}}})
			},
		},
		{
			testName: "a history that ends before the first state leaves a gap",
			run:      func(p *Pool) { p.AdoptHistory(&History{Age: span, From: 2, To: 4}) },
		},
		{
			testName: "a history of an earlier build does not say what it covers",
			run:      func(p *Pool) { p.AdoptHistory(&History{Age: span}) },
		},
		{
			testName: "the store's changes close the gap",
			run:      func(p *Pool) { closeGap(p, 5) },
			single:   "v1",
		},
		{
			testName: "changes that end before the first state leave a gap",
			run:      func(p *Pool) { closeGap(p, 4) },
		},
		{
			testName: "a version that came and went in the gap",
			run:      func(p *Pool) { closeGap(p, 5, Change{Endpoint: ofVersion("c", 1, "v3")}) },
		},
		{
			testName: "a version that ran before the gap",
			run: func(p *Pool) {
				p.AdoptHistoryWith(&History{Age: span, From: 2, To: 3, Running: []ServiceVersion{{Service: "s", Version: "v3"}}}, nil, 5)
			},
		},
		{
			testName: "a version that came and went between two lists ran at a process that lags behind",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplySnapshot([]Endpoint{ofVersion("a", 1, "v1")}, 20, false)
				p.AdoptHistory(&History{Age: time.Minute, From: 2, To: 12, Running: []ServiceVersion{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}})
			},
		},
		{
			testName: "the end of a version that ran at a process that lags behind is known",
			run: func(p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: ofVersion("b", 1, "v2")}}, 6, false)
				remove(p, "b", 7)
				time.Sleep(span)
				p.AdoptHistory(&History{Age: time.Minute, From: 2, To: 6, Running: []ServiceVersion{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}})
			},
			single: "v1",
		},
		{
			testName: "what ran before the snapshot of a peer is unknown",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplyPeerSnapshot([]Endpoint{ofVersion("a", 1, "v1")}, 6)
			},
		},
		{
			testName: "the peer knows what ran before its snapshot",
			run: func(p *Pool) {
				time.Sleep(span)
				p.ApplyPeerSnapshot([]Endpoint{ofVersion("a", 1, "v1")}, 6)
				p.AdoptHistory(&History{Age: span, From: 2, To: 6})
			},
			single: "v1",
		},
		{
			testName: "a peer that does not forward versions",
			run: func(p *Pool) {
				p.ApplyChanges([]Change{{Endpoint: ofVersion("a", 1, "")}}, 6, false)
				time.Sleep(span)
			},
			single: "v1",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool()
				p.ApplySnapshot([]Endpoint{ofVersion("a", 1, "v1")}, 5, false)
				s.run(p)
				version, single := p.SingleVersion("s", span)
				assert.Equal(t, version, s.single)
				assert.Equal(t, single, s.single != "")
			})
		})
	}
}
