package start

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	folder := t.TempDir()
	broken := filepath.Join(folder, "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("service: S\nkind: plain\n"), 0o600))
	routes := filepath.Join(folder, "routes.json")
	assert.NilError(t, os.WriteFile(routes, []byte(`{"version":1,"routes":[{"name":"r"}]}`), 0o600))
	scenarios := []struct {
		testName string
		args     []string
		code     int
		stdout   string
		stderr   string
	}{
		{"version", []string{"version"}, exitOK, "test\n", ""},
		{"help", []string{"--help"}, exitOK, "Run an entry, which serves callers.", ""},
		{"no command", nil, exitUsage, "usage:", ""},
		{"an unknown command", []string{"fly"}, exitUsage, "", `expected command but got "fly"`},
		{"a missing flag", []string{"entry"}, exitUsage, "", "required flag(s) '--settings' not provided"},
		{"a missing file", []string{"entry", "--settings", filepath.Join(folder, "none")}, exitFailed, "", "no such file"},
		{"a valid document", []string{"service", "check", "../examples/khuzam/services/kiosk-app.yaml"}, exitOK, "", ""},
		{"a document with errors", []string{"service", "check", broken}, exitInvalid, "", "broken.yaml:1: workspace: missing"},
		{"settings with errors", []string{"settings", "check", "agent", broken}, exitInvalid, "", "broken.yaml:1: service: unknown key"},
		{"valid settings", []string{"settings", "check", "entry", "../examples/halvorsen/entry.yaml"}, exitOK, "", ""},
		{"defaults", []string{"settings", "default", "agent"}, exitOK, "sweep-interval: 2s", ""},
		{"an engine file with errors", []string{"report", "bound", "--engine", broken, broken}, exitInvalid, "", "broken.yaml:1: memory: missing"},
		{"logs without requests", []string{"report", "bound", "--engine", "../examples/engine.yaml", broken}, exitFailed, "", "no request with a prompt"},
		{"a routing table with errors", []string{"table", "check", routes}, exitInvalid, "error: route r: it can never match, as it has no host", "has errors"},
		{"a routing table that is not newer", []string{"table", "check", "--format", "json", "--in-force", routes, routes}, exitInvalid, `"entry": "version"`, ""},
		{"an unreadable routing table", []string{"table", "check", broken}, exitInvalid, "", "broken.yaml:0: invalid character"},
		{"an unreachable platform", []string{"service", "--platform", "127.0.0.1:1", "list"}, exitFailed, "", "the platform is unavailable"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Run(Build{Version: "test"}, s.args, &stdout, &stderr)
			assert.Equal(t, code, s.code, "%s", stderr.String())
			assert.Assert(t, strings.Contains(stdout.String(), s.stdout), "%s", stdout.String())
			assert.Assert(t, strings.Contains(stderr.String(), s.stderr), "%s", stderr.String())
		})
	}
}
