package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/table"
)

// TestOldTableRefusesNothingForGood guards against final refusals of requests for routes or keys that a newer table has,
// which was acknowledged longer ago than the bound, by a relay that could not confirm its own.
func TestOldTableRefusesNothingForGood(t *testing.T) {
	const bound = 2500 * time.Millisecond
	scenarios := []struct {
		testName string
		// confirmed is set if the table was ever confirmed, age since when it was not.
		confirmed bool
		age       time.Duration
		keys      bool
		code      fault.Code
	}{
		{testName: "a confirmed table", confirmed: true, code: fault.UnknownRoute},
		{testName: "a table within the bound", confirmed: true, age: bound, code: fault.UnknownRoute},
		{testName: "a table beyond the bound", confirmed: true, age: bound + time.Millisecond, code: fault.DocumentUnconfirmed},
		{testName: "a table that was never confirmed", code: fault.DocumentUnconfirmed},
		{testName: "a key unknown to a confirmed table", confirmed: true, keys: true, code: fault.UnknownCaller},
		{testName: "a key unknown to a table beyond the bound", confirmed: true, age: bound + time.Millisecond, keys: true, code: fault.DocumentUnconfirmed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t, &fakeBackend{})
				r.config.MaxTableAge = bound
				path := "/new/x"
				if s.keys {
					d := *r.Table().Document
					d.Version, d.KeysRequired, d.Workspaces = 2, true, []table.Workspace{{Name: "acme", Keys: []table.KeyDigest{table.NewKeyDigest("k")}}}
					r.SetTable(&d)
					path = "/lookup/x"
				}
				if s.confirmed {
					r.tableFreshness.Confirm(time.Now())
				}
				time.Sleep(s.age)
				_, refusal := send(t.Context(), r, path)
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, s.code)
				if s.code == fault.DocumentUnconfirmed {
					assert.Equal(t, refusal.Status(), http.StatusServiceUnavailable)
					assert.Assert(t, refusal.RetryAfter >= minRetryAfter)
				}
			})
		})
	}
}
