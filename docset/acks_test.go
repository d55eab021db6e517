package docset

import (
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/store"
)

// TestMissingAcksOfUnknownRoles guards against a document that is activated before an entry
// acknowledges it, because the platform's item of that entry cannot be read.
func TestMissingAcksOfUnknownRoles(t *testing.T) {
	instances := []store.Instance{{Name: "agent", Role: store.AgentRole}, {Name: "entry", Role: store.EntryRole}, {Name: "unknown"}}
	assert.DeepEqual(t, missingAcks(instances, nil, "s", "p"), []string{"entry", "unknown"})
}
