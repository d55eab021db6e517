package table

import (
	"testing"

	"gotest.tools/v3/assert"
)

func routeTo(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", Prefix: prefix, WeightedServices: []WeightedService{{Service: "s", Weight: 1}}}
}

func TestMatch(t *testing.T) {
	table := NewTable(&Document{Version: 1, Routes: []Route{routeTo("short", "/a/"), routeTo("long", "/a/b/"), routeTo("other", "/c/")}})
	scenarios := []struct {
		testName   string
		host, path string
		route      string
	}{
		{testName: "the longest prefix wins", host: "a.example", path: "/a/b/x", route: "long"},
		{testName: "a shorter prefix matches other paths", host: "a.example", path: "/a/x", route: "short"},
		{testName: "the slash at the end of a prefix must match", host: "a.example", path: "/a", route: ""},
		{testName: "the case and port of the host are ignored", host: "A.Example:8080", path: "/c/", route: "other"},
		{testName: "routes of another host do not match", host: "b.example", path: "/a/x", route: ""},
		{testName: "paths are not cleaned", host: "a.example", path: "/x/../a/b/", route: ""},
		{testName: "paths are not unescaped", host: "a.example", path: "/%61/x", route: ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r, found := table.Match(s.host, s.path)
			assert.Equal(t, found, s.route != "")
			assert.Equal(t, r.Name, s.route)
		})
	}
}

func TestPick(t *testing.T) {
	r := Route{WeightedServices: []WeightedService{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	assert.Equal(t, r.Pick(0), r.WeightedServices[0].Service)
	assert.Equal(t, r.Pick(0.899), r.WeightedServices[0].Service)
	assert.Equal(t, r.Pick(0.9), r.WeightedServices[2].Service)
	assert.Equal(t, r.Pick(0.9999), r.WeightedServices[2].Service)
}

func TestRetryable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Lookup}).Retryable())
	assert.Assert(t, !(&Route{Kind: Action, Resumable: true}).Retryable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Retryable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Retryable())
}
