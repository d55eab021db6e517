package roster

import (
	"encoding/json"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// Kind is the kind of the objects with which agents register themselves. Entries
// watch it, so that a change transfers one record instead of the whole list.
const Kind store.Kind = "member"

// maxListLag is how long after its own record an instance may still be missing
// from the platform's list.
const maxListLag = 10 * time.Second

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

// Change is an update of a record that the platform's list requires.
type Change struct {
	Name ident.EndpointName
	// Deleted means that the record is deleted; otherwise its instance is marked as
	// leaving.
	Deleted bool
	// Registered is that of the record compared; a newer record is not changed.
	Registered time.Time
}

// Reconcile returns the changes of records that the platform's list requires. A
// record younger than maxListLag is not changed, since the list may lack it or
// still hold an earlier process.
func Reconcile(records map[ident.EndpointName]Record, instances []store.Instance, now time.Time) []Change {
	states := map[ident.InstanceName]store.InstanceState{}
	for _, instance := range instances {
		states[instance.Name] = instance.State
	}
	var changes []Change
	for name, record := range records {
		state, listed := states[record.Instance.Name]
		switch {
		case !listed && now.Sub(record.Registered) > maxListLag:
			changes = append(changes, Change{Name: name, Deleted: true, Registered: record.Registered})
		case listed && state == store.Leaving && record.Instance.State != store.Leaving && now.Sub(record.Registered) > maxListLag:
			changes = append(changes, Change{Name: name, Registered: record.Registered})
		}
	}
	return changes
}
