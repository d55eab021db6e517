package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReferenceIsUpToDate(t *testing.T) {
	text, err := Reference()
	assert.NilError(t, err)
	page, err := os.ReadFile("../docs/Config.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), text, "run make generate")
}

func TestReferenceExplainsEveryKey(t *testing.T) {
	text, err := Reference()
	assert.NilError(t, err)
	for _, line := range strings.Split(text, "\n") {
		assert.Assert(t, !strings.HasSuffix(line, "|  |"), "a key without a comment: %s", line)
	}
}

func TestExampleSettingsAreAccepted(t *testing.T) {
	for _, folder := range []string{"../examples/halvorsen", "../examples/khuzam"} {
		entry, err := os.ReadFile(filepath.Join(folder, "entry.yaml"))
		assert.NilError(t, err)
		_, err = ParseEntry("entry.yaml", entry)
		assert.NilError(t, err)
		agent, err := os.ReadFile(filepath.Join(folder, "agent.yaml"))
		assert.NilError(t, err)
		_, err = ParseAgent("agent.yaml", agent)
		assert.NilError(t, err)
		keys, err := os.ReadFile(filepath.Join(folder, "peer-keys.yaml"))
		assert.NilError(t, err)
		_, err = ParsePeerKeys("peer-keys.yaml", keys)
		assert.NilError(t, err)
	}
}

func TestAllErrorsAreReported(t *testing.T) {
	scenarios := []struct {
		testName string
		parse    func(data string) error
		document string
		expected string
	}{
		{
			testName: "an entry without most of its settings",
			parse:    parseEntryError,
			document: "place: {instance: a, region: b}\nlisten: here\nadmin: {listen: 127.0.0.1:1, token: t}\nplatform: {address: 10.0.0.1:7}\nlog: {level: loud}\n",
			expected: "s:1: place.availability-zone: missing\n" +
				"s:1: peer-keys-file: missing\n" +
				"s:2: listen: expected an IP address and a port such as 10.0.0.1:8080, not \"here\"\n" +
				"s:5: log.level: expected debug, info, warn or error, not \"loud\"",
		},
		{
			testName: "an agent with zero slots and an unknown kind",
			parse:    parseAgentError,
			document: "place: {instance: a, region: b, availability-zone: c}\nendpoint: e\nendpoint-kind: gpu\npool: p\nendpoint-address: 10.0.0.1:1\nlisten: 10.0.0.1:2\nadmin: {listen: 10.0.0.1:3, token: t}\nplatform: {address: 10.0.0.1:7}\npeer-keys-file: k\nslots: 0\n",
			expected: "s:3: endpoint-kind: expected language-model or plain, not \"gpu\"\ns:10: slots: must be more than zero",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Error(t, s.parse(s.document), s.expected)
		})
	}
}

func parseEntryError(data string) error {
	_, err := ParseEntry("s", []byte(data))
	return err
}

func parseAgentError(data string) error {
	_, err := ParseAgent("s", []byte(data))
	return err
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte("place: {instance: a}\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry("s", data)
		_, _ = ParseAgent("s", data)
	})
}
