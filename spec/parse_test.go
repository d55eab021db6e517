package spec

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/parser"
)

func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../examples/*/services/*.yaml")
	assert.NilError(t, err)
	count := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = Parse(file, text)
		assert.NilError(t, err)
		count++
	}
	assert.Equal(t, count, 4)
}

const validPlain = `service: desk
workspace: team
kind: plain
pools: {serve: desk}
targets: {whole-answer: 1s, patience: 5s}
calls:
  - {match: POST /renewals, class: action, key-fields: [permit]}
  - {match: "GET /permits/{permit}", class: lookup, share: true}
`

func TestParseReportsErrors(t *testing.T) {
	scenarios := []struct {
		testName string
		document string
		expected []string
	}{
		{testName: "a valid plain service", document: validPlain},
		{
			testName: "a language model without pools and targets",
			document: "service: m\nworkspace: w\nkind: language-model\npools: {}\ntargets: {patience: 5s}\n",
			expected: []string{
				"d:4: pools.prefill: a language model needs a prefill pool",
				"d:4: pools.decode: a language model needs a decode pool",
				"d:5: targets.first-token: a language model needs this target",
				"d:5: targets.between-tokens: a language model needs this target",
			},
		},
		{
			testName: "errors of several kinds",
			document: `service: Desk
workspace: team
kind: plain
pools: {serve: desk, decode: d}
targets: {whole-answer: 9s, patience: 5s, objective-percent: 100}
weight: 0
calls:
  - {match: FETCH /a, class: action}
  - {match: GET /b, class: lookup, key-fields: [x]}
  - {match: POST /c, class: action, share: true}
  - {match: POST /d, class: other}
fencing: {shards: 5000}
goals: {goodput-weight: 2}
`,
			expected: []string{
				`d:1: service: expected lower-case letters, digits and dashes, not "Desk"`,
				"d:5: targets.objective-percent: must be more than 0 and less than 100",
				"d:5: targets.whole-answer: must not be longer than the patience of 5s",
				"d:6: weight: must be at least 1",
				"d:12: fencing.shards: must lie between 1 and 1024",
				"d:13: goals.goodput-weight: must lie between 0 and 1",
				"d:4: pools.decode: only language models have a decode pool",
				`d:8: calls[0].match: expected a method and a path such as GET /status/{permit}, not "FETCH /a"`,
				"d:9: calls[1].key-fields: only actions have key fields",
				"d:10: calls[2].share: actions are never shared",
				`d:11: calls[3].class: expected lookup or action, not "other"`,
			},
		},
		{
			testName: "a missing workspace",
			document: "service: a\nkind: plain\npools: {serve: p}\ntargets: {whole-answer: 1s, patience: 2s}\ncalls: [{match: GET /, class: lookup}]\n",
			expected: []string{"d:1: workspace: missing"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := Parse("d", []byte(s.document))
			var fieldErrors parser.FieldErrors
			errors.As(err, &fieldErrors)
			var lines []string
			for _, fieldError := range fieldErrors {
				lines = append(lines, fieldError.String())
			}
			assert.DeepEqual(t, lines, s.expected)
		})
	}
}

func TestFindCall(t *testing.T) {
	document, err := Parse("d", []byte(validPlain))
	assert.NilError(t, err)
	scenarios := []struct {
		testName string
		method   string
		path     string
		class    CallClass
		found    bool
	}{
		{"an action", "POST", "/renewals", Action, true},
		{"a lookup with a variable", "GET", "/permits/77", Lookup, true},
		{"an empty variable", "GET", "/permits/", "", false},
		{"another method", "DELETE", "/renewals", "", false},
		{"a longer path", "POST", "/renewals/1", "", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			call, found := document.FindCall(s.method, s.path)
			assert.Equal(t, found, s.found)
			assert.Equal(t, call.Class, s.class)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validPlain))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse("d", data)
		if err != nil {
			return
		}
		// Every accepted document must be usable.
		assert.Assert(t, document.Service != "" && document.Workspace != "" && document.Targets.Patience > 0)
		document.FindCall("GET", "/a/b")
	})
}
