package docset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/store"
)

func objectOf(t *testing.T, version store.Version, sheet Record) store.Object {
	t.Helper()
	value, err := sheet.Encode()
	assert.NilError(t, err)
	return store.Object{Name: "s", Version: version, Value: value}
}

func TestView(t *testing.T) {
	second := Revision{Number: 2, Text: textOf(2)}
	scenarios := []struct {
		testName string
		run      func(t *testing.T, v *View)
	}{
		{
			testName: "an old listing changes nothing",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{objectOf(t, 5, Record{Current: second})}}, modelStart)
				v.ApplySnapshot(store.Listing{Version: 2, Objects: []store.Object{objectOf(t, 2, Record{Current: Revision{Number: 1, Text: textOf(1)}})}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "a document never goes back to an older number",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{objectOf(t, 5, Record{Current: second})}}, modelStart)
				v.ApplyEvents(store.Batch{Version: 6, Events: []store.Object{objectOf(t, 6, Record{Current: Revision{Number: 1, Text: textOf(1)}})}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "without a change on its way a node serves through any outage",
			run: func(t *testing.T, v *View) {
				_, standing := v.Find("s", modelStart.Add(24*time.Hour))
				assert.Equal(t, standing, Active)
			},
		},
		{
			testName: "a withdrawn change ends the doubt",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{objectOf(t, 5, Record{Current: Revision{Number: 1, Text: textOf(1)}, Staged: &second, Proposal: "p"})}}, modelStart)
				v.Acknowledge(v.Pending())
				late := modelStart.Add(time.Minute)
				_, standing := v.Find("s", late)
				assert.Equal(t, standing, Unconfirmed)
				v.ApplyEvents(store.Batch{Version: 6, Events: []store.Object{objectOf(t, 6, Record{Current: Revision{Number: 1, Text: textOf(1)}})}}, late)
				_, standing = v.Find("s", late)
				assert.Equal(t, standing, Active)
			},
		},
		{
			testName: "a document that cannot be read takes the service away",
			run: func(t *testing.T, v *View) {
				faults := v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{objectOf(t, 5, Record{Current: Revision{Number: 2, Text: "newer: true"}})}}, modelStart)
				assert.Equal(t, len(faults), 1)
				_, standing := v.Find("s", modelStart)
				assert.Equal(t, standing, NotFound)
			},
		},
		{
			testName: "a deleted service is absent",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{{Name: "s", Version: 5, Deleted: true}}}, modelStart)
				_, standing := v.Find("s", modelStart)
				assert.Equal(t, standing, NotFound)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			v := NewView()
			v.ApplySnapshot(store.Listing{Version: 1, Objects: []store.Object{objectOf(t, 1, Record{Current: Revision{Number: 1, Text: textOf(1)}})}}, modelStart)
			s.run(t, v)
		})
	}
}
