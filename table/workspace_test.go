package table

import (
	"encoding/json"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
)

func workspaceOf(name ident.WorkspaceName, priority *int, keys ...string) Workspace {
	w := Workspace{Name: name, Priority: priority}
	for _, key := range keys {
		w.Keys = append(w.Keys, NewKeyDigest(key))
	}
	return w
}

func TestCaller(t *testing.T) {
	table := NewTable(&Document{Version: 1, KeysRequired: true, Workspaces: []Workspace{
		workspaceOf("a", nil, "key-1", "key-2"), workspaceOf("b", nil, "key-3"),
	}})
	scenarios := []struct {
		key  string
		want ident.WorkspaceName
	}{
		{key: "key-1", want: "a"},
		{key: "key-2", want: "a"},
		{key: "key-3", want: "b"},
		{key: "key"},
		{key: "Key-1"},
	}
	for _, s := range scenarios {
		t.Run(s.key, func(t *testing.T) {
			found := table.Caller(NewKeyDigest(s.key))
			assert.Equal(t, found != nil, s.want != "")
			if found != nil {
				assert.Equal(t, found.Name, s.want)
			}
		})
	}
	assert.Assert(t, table.Caller(KeyDigest{}) == nil, "no key is of no workspace")
	keys, count := NewTable(&Document{Version: 2, Workspaces: []Workspace{workspaceOf("a", nil, "key-3")}}).Revoked(table, 1)
	assert.DeepEqual(t, keys, []KeyDigest{NewKeyDigest("key-1")})
	assert.Equal(t, count, 2)
}

// TestDocumentWithoutWorkspaces shows that the message with a document does not differ if it has
// no workspaces.
func TestDocumentWithoutWorkspaces(t *testing.T) {
	data, err := json.Marshal(Document{Version: 1, Routes: []Route{{Name: "r"}}})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"version":1,"routes":[{"Name":"r","Host":"","Prefix":"","Kind":"","Timeout":0,"Objective":0,"MaxGap":0,"Priority":0,`+
		`"Shares":null,"MaxEndpoints":0,"Resumable":false,"Prompted":false}],"services":null,"limits":{"MaxHeader":0,"MaxBody":0,"HeaderTimeout":0,"IdleTimeout":0}}`)
}

// TestMostUrgent guards the decisions on permits: whether a caller with a workspace's priority
// waits for one.
func TestMostUrgent(t *testing.T) {
	zero, one, four := 0, 1, 4
	route := func(prefix string, priority int, open bool) Route {
		r := routeTo(prefix, prefix)
		r.Priority, r.Open = priority, open
		return r
	}
	scenarios := []struct {
		testName   string
		routes     []Route
		workspaces []Workspace
		path, key  string
		urgent     bool
	}{
		{testName: "the most urgent route without workspaces", routes: []Route{route("/a/", 2, false), route("/b/", 3, false)}, path: "/a/", urgent: true},
		{testName: "a less urgent route without workspaces", routes: []Route{route("/a/", 2, false), route("/b/", 3, false)}, path: "/b/"},
		{
			testName:   "a workspace's priority goes before its route's",
			routes:     []Route{route("/a/", 2, false), route("/b/", 3, false)},
			workspaces: []Workspace{workspaceOf("w", &one, "k"), workspaceOf("v", &four, "l")}, path: "/b/", key: "k", urgent: true,
		},
		{
			testName:   "a workspace with a low priority on an urgent route",
			routes:     []Route{route("/a/", 2, false), route("/b/", 3, false)},
			workspaces: []Workspace{workspaceOf("w", &one, "k"), workspaceOf("v", &four, "l")}, path: "/a/", key: "l",
		},
		{
			testName:   "workspaces without a priority keep that of the route",
			routes:     []Route{route("/a/", 2, false), route("/b/", 3, false)},
			workspaces: []Workspace{workspaceOf("w", &four, "k"), workspaceOf("v", nil, "l")}, path: "/a/", key: "l", urgent: true,
		},
		{
			testName:   "all workspaces have a priority",
			routes:     []Route{route("/a/", 0, false)},
			workspaces: []Workspace{workspaceOf("w", &four, "k")}, path: "/a/", key: "k", urgent: true,
		},
		{
			testName:   "callers without a key use an open route",
			routes:     []Route{route("/a/", 0, true)},
			workspaces: []Workspace{workspaceOf("w", &four, "k")}, path: "/a/", key: "k",
		},
		{
			testName:   "a workspace is more urgent than a caller without a key",
			routes:     []Route{route("/a/", 2, true)},
			workspaces: []Workspace{workspaceOf("w", &zero, "k")}, path: "/a/",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(&Document{Version: 1, Routes: s.routes, KeysRequired: s.workspaces != nil, Workspaces: s.workspaces})
			var workspace *Workspace
			if s.key != "" {
				workspace = table.Caller(NewKeyDigest(s.key))
			}
			r, found := table.MatchCaller("a.example", s.path, workspace)
			assert.Assert(t, found)
			assert.Equal(t, table.MostUrgent(r, "s"), s.urgent)
		})
	}
}

func tableOfKeys(count int) *Table {
	d := &Document{Version: 1, KeysRequired: true}
	for i := range count / 10 {
		w := Workspace{Name: ident.WorkspaceName("w" + strconv.Itoa(i))}
		for j := range 10 {
			w.Keys = append(w.Keys, NewKeyDigest(keyOf(10*i+j)))
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return NewTable(d)
}

func keyOf(number int) string { return "banfqasnmgkcuyj8pjbv-of-forty-bytes-" + strconv.Itoa(number) }

// TestCallerAllocates shows that identifying a caller needs no memory.
func TestCallerAllocates(t *testing.T) {
	table := tableOfKeys(1000)
	key := keyOf(77)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		if table.Caller(NewKeyDigest(key)) == nil {
			t.Error("the key is unknown")
		}
	}), 0.0)
}

func BenchmarkCaller(b *testing.B) {
	table := tableOfKeys(100_000)
	var keys []string
	for i := range 1000 {
		keys = append(keys, keyOf(97*i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if table.Caller(NewKeyDigest(keys[i%len(keys)])) == nil {
			b.Fatal("the key is unknown")
		}
	}
}
