package roster

import (
	"encoding/json"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// Kind is the kind of the platform's objects by which agents make themselves
// known. Entries watch it, so a change costs its own bytes and no list is read.
const Kind store.Kind = "member"

// listLag is how much later than its own record an instance may appear on the
// platform's list.
const listLag = 10 * time.Second

// Record is the value of an agent's object.
type Record struct {
	Instance store.Instance `json:"instance"`
	// Registered is when the agent wrote the record, by its clock.
	Registered time.Time `json:"registered"`
}

// ParseRecord decodes the value of an agent's object.
func ParseRecord(value []byte) (record Record, err error) {
	defer fault.Annotate(&err, "parse a member's record")
	return record, json.Unmarshal(value, &record)
}

// Change is what the platform's list says of a record.
type Change struct {
	Name ident.EndpointName
	// Deleted removes the record; otherwise the instance is marked as leaving.
	Deleted bool
	// Registered is that of the record judged: a newer one is left alone.
	Registered time.Time
}

// Reconcile compares records with the platform's list. A record that is younger
// than the list's lag may be missing from it.
func Reconcile(records map[ident.EndpointName]Record, instances []store.Instance, now time.Time) []Change {
	states := map[ident.InstanceName]store.InstanceState{}
	for _, instance := range instances {
		states[instance.Name] = instance.State
	}
	var changes []Change
	for name, record := range records {
		state, listed := states[record.Instance.Name]
		switch {
		case !listed && now.Sub(record.Registered) > listLag:
			changes = append(changes, Change{Name: name, Deleted: true, Registered: record.Registered})
		case listed && state == store.Leaving && record.Instance.State != store.Leaving && now.Sub(record.Registered) > listLag:
			changes = append(changes, Change{Name: name, Registered: record.Registered})
		}
	}
	return changes
}
