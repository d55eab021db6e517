package parser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count int      `yaml:"count" required:"true"`
	Span  Duration `yaml:"span"`
}

type sample struct {
	Name  string  `yaml:"name" required:"true"`
	Size  Size    `yaml:"size"`
	Flag  bool    `yaml:"flag"`
	Share float64 `yaml:"share"`
	Inner inner   `yaml:"inner"`
	List  []inner `yaml:"list"`
}

func TestDecodeReportsEveryError(t *testing.T) {
	scenarios := []struct {
		testName string
		document string
		expected []string
	}{
		{
			testName: "a valid document",
			document: "name: a\nsize: 2KiB\nflag: true\nshare: 0.5\ninner: {count: 3, span: 2s}\nlist:\n  - count: 1\n",
		},
		{
			testName: "unknown keys, wrong types, missing values and invalid units in one document",
			document: "nam: a\nsize: 12\nflag: maybe\ninner:\n  span: 5\nlist:\n  - count: many\n",
			expected: []string{
				"f:1: nam: unknown key",
				`f:2: size: expected a size with a unit such as 512B, 64KiB or 1MiB, not "12"`,
				`f:3: flag: expected true or false, not "maybe"`,
				`f:5: inner.span: expected a duration with a unit such as 250ms or 2m, not "5"`,
				"f:5: inner.count: missing",
				`f:7: list[0].count: expected a whole number, not "many"`,
				"f:1: name: missing",
			},
		},
		{
			testName: "a duplicate key",
			document: "name: a\nname: b\n",
			expected: []string{"f:2: name: duplicate key"},
		},
		{
			testName: "a list instead of a mapping",
			document: "name: a\ninner: [1]\n",
			expected: []string{"f:2: inner: expected keys with values"},
		},
		{
			testName: "a negative duration",
			document: "name: a\ninner: {count: 1, span: -1s}\n",
			expected: []string{`f:2: inner.span: a duration cannot be negative: "-1s"`},
		},
		{
			testName: "an empty document",
			document: "",
			expected: []string{"f:1: the document is empty"},
		},
		{
			testName: "an alias",
			document: "name: &a b\ninner:\n  count: *a\n",
			expected: []string{"f:3: inner.count: aliases are not allowed"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var target sample
			source := Decode("f", []byte(s.document), &target)
			var lines []string
			for _, fieldError := range source.errors {
				lines = append(lines, fieldError.String())
			}
			assert.DeepEqual(t, lines, s.expected)
		})
	}
}

func TestSyntaxErrorHasItsLine(t *testing.T) {
	var target sample
	source := Decode("f", []byte("name: a\n\tsize: 1B\n"), &target)
	assert.Equal(t, len(source.errors), 1)
	assert.Equal(t, source.errors[0].Line, 2)
}

func TestUnitsRoundTrip(t *testing.T) {
	for _, text := range []string{"512B", "64KiB", "1MiB", "2GiB", "0B"} {
		var size Size
		assert.NilError(t, size.UnmarshalText([]byte(text)))
		assert.Equal(t, size.String(), text)
	}
	var span Duration
	assert.NilError(t, span.UnmarshalText([]byte("76ms")))
	assert.Equal(t, span.Std(), 76*time.Millisecond)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\ninner: {count: 3, span: 2s}\n"))
	f.Add([]byte("- - -\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var target sample
		_ = Decode("f", data, &target).Err()
	})
}
