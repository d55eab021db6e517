package docset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/clock"
	"crocusstep/store"
)

func newObject(t *testing.T, version store.Version, record Record) store.Object {
	t.Helper()
	value, err := record.Encode()
	assert.NilError(t, err)
	return store.Object{Name: "s", Version: version, Value: value}
}

func TestView(t *testing.T) {
	second := Revision{Number: 2, Text: documentText(2)}
	scenarios := []struct {
		testName string
		run      func(t *testing.T, v *View)
	}{
		{
			testName: "a listing older than the state is ignored",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: second})}}, modelStart)
				v.ApplySnapshot(store.Listing{Version: 2, Objects: []store.Object{newObject(t, 2, Record{Current: Revision{Number: 1, Text: documentText(1)}})}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "an older revision never replaces a newer one",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: second})}}, modelStart)
				v.ApplyEvents(store.Batch{Version: 6, Events: []store.Object{newObject(t, 6, Record{Current: Revision{Number: 1, Text: documentText(1)}})}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "an older revision from a restored copy does not replace a newer one",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: second})}}, modelStart)
				old := newObject(t, store.NewVersion(2, 3), Record{Current: Revision{Number: 1, Text: documentText(1)}})
				v.ApplySnapshot(store.Listing{Version: store.NewVersion(2, 3), Objects: []store.Object{old}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "a revision that operators accept after a restore replaces one with a higher number",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: Revision{Number: 9, Text: documentText(1)}})}}, modelStart)
				again := newObject(t, store.NewVersion(2, 4), Record{Current: Revision{Era: 2, Number: 2, Text: documentText(2)}})
				v.ApplySnapshot(store.Listing{Version: store.NewVersion(2, 4), Objects: []store.Object{again}}, modelStart)
				found, _ := v.Find("s", modelStart)
				assert.Equal(t, found.Number, RevisionNumber(2))
			},
		},
		{
			testName: "a service that a restored copy lacks stays active until it is deleted",
			run: func(t *testing.T, v *View) {
				v.ApplySnapshot(store.Listing{Version: store.NewVersion(2, 1)}, modelStart)
				_, status := v.Find("s", modelStart)
				assert.Equal(t, status, Active)
				v.ApplyEvents(store.Batch{Version: store.NewVersion(2, 2), Events: []store.Object{{Name: "s", Version: store.NewVersion(2, 2), Deleted: true}}}, modelStart)
				_, status = v.Find("s", modelStart)
				assert.Equal(t, status, NotFound)
			},
		},
		{
			testName: "without a pending change an entry serves during any outage",
			run: func(t *testing.T, v *View) {
				_, status := v.Find("s", modelStart.Add(24*time.Hour))
				assert.Equal(t, status, Active)
			},
		},
		{
			testName: "a withdrawn change makes the document active again",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: Revision{Number: 1, Text: documentText(1)}, Staged: &second, Proposal: "p"})}}, modelStart)
				v.Acknowledge(v.Pending())
				late := modelStart.Add(time.Minute)
				_, status := v.Find("s", late)
				assert.Equal(t, status, Unconfirmed)
				v.ApplyEvents(store.Batch{Version: 6, Events: []store.Object{newObject(t, 6, Record{Current: Revision{Number: 1, Text: documentText(1)}})}}, late)
				_, status = v.Find("s", late)
				assert.Equal(t, status, Active)
			},
		},
		{
			testName: "an entry that was suspended, so that its steady clock stood still, cannot confirm its document",
			run: func(t *testing.T, v *View) {
				// It has readings of both clocks, and is after modelStart.
				now := clock.Step(time.Now(), 20*365*24*time.Hour)
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: Revision{Number: 1, Text: documentText(1)}, Staged: &second, Proposal: "p"})}}, now)
				v.Acknowledge(v.Pending())
				_, status := v.Find("s", now.Add(time.Second))
				assert.Equal(t, status, Active)
				_, status = v.Find("s", clock.Step(now.Add(time.Second), MaxStaleness))
				assert.Equal(t, status, Unconfirmed)
			},
		},
		{
			testName: "a service with an unparsable document is not found",
			run: func(t *testing.T, v *View) {
				errs := v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{newObject(t, 5, Record{Current: Revision{Number: 2, Text: "newer: true"}})}}, modelStart)
				assert.Equal(t, len(errs), 1)
				_, status := v.Find("s", modelStart)
				assert.Equal(t, status, NotFound)
			},
		},
		{
			testName: "a deleted service is not found",
			run: func(t *testing.T, v *View) {
				v.ApplyEvents(store.Batch{Version: 5, Events: []store.Object{{Name: "s", Version: 5, Deleted: true}}}, modelStart)
				_, status := v.Find("s", modelStart)
				assert.Equal(t, status, NotFound)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			v := NewView()
			v.ApplySnapshot(store.Listing{Version: 1, Objects: []store.Object{newObject(t, 1, Record{Current: Revision{Number: 1, Text: documentText(1)}})}}, modelStart)
			s.run(t, v)
		})
	}
}
