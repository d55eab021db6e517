package conf

import (
	"testing"

	"gotest.tools/v3/assert"
)

const relayYAML = `place: {instance: "i", region: "r", availability-zone: "z"}
address: "10.1.0.35"
listen: "10.1.0.35:8144"
readiness: "10.1.0.35:8140"
platform: {address: "10.200.1.7:8142"}
peers: {keeper-port: 7660}
availability-zones:
- {name: "z", region: "r"}
retries: {ratio: 0.2, slack: 56, window: 10s}
stop: {grace: 8s}
memory: 134MiB
`

func TestParseRelay(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		wantErr  string
	}{
		{testName: "settings from the deploy template are valid", text: relayYAML},
		{testName: "a port out of range", text: relayYAML + "metrics-port: 70000\n", wantErr: "metrics-port"},
		{testName: "an unknown key", text: relayYAML + "odd: 1\n", wantErr: "odd"},
		{testName: "required keys are missing", text: "address: x\n", wantErr: "listen"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			settings, err := ParseRelay("relay.yaml", []byte(s.text))
			if s.wantErr == "" {
				assert.NilError(t, err)
				assert.Equal(t, settings.Retries.Slack, 56.0)
				assert.Equal(t, settings.Zones[0].Region, settings.Location.Region)
				return
			}
			assert.ErrorContains(t, err, s.wantErr)
		})
	}
}

func TestParseKeeper(t *testing.T) {
	_, err := ParseKeeper("keeper.yaml", []byte(`place: {instance: "i", region: "r", availability-zone: "z"}
address: "10.1.0.37"
endpoint: "10.1.0.37:8147"
peers: {keeper-port: 7660}
memory: 216MiB
`))
	assert.NilError(t, err)
	_, err = ParseKeeper("keeper.yaml", []byte("endpoint: nowhere\n"))
	assert.ErrorContains(t, err, "endpoint")
}
