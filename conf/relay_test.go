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
		fault    string
	}{
		{testName: "what the template makes is taken", text: relayYAML},
		{testName: "an address needs a port", text: relayYAML + "metrics-port: 70000\n", fault: "metrics-port"},
		{testName: "a key that is not known is a fault", text: relayYAML + "odd: 1\n", fault: "odd"},
		{testName: "nothing is required but named", text: "address: x\n", fault: "listen"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			settings, err := ParseRelay("relay.yaml", []byte(s.text))
			if s.fault == "" {
				assert.NilError(t, err)
				assert.Equal(t, settings.Retries.Slack, 56.0)
				assert.Equal(t, settings.Zones[0].Region, settings.Location.Region)
				return
			}
			assert.ErrorContains(t, err, s.fault)
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
