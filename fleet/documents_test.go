package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"crocusstep/docset"
	"crocusstep/fake"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/memnet"
	"crocusstep/spec"
	"crocusstep/store"
)

// clockDocument returns a document with one call, whose path contains the number.
func clockDocument(number int) string {
	return fmt.Sprintf("service: clock\nworkspace: w\nkind: plain\npools: {serve: renewal-desk}\n"+
		"targets: {whole-answer: 1s, patience: 5s}\ncalls: [{match: GET /number/%d, class: lookup}]\n", number)
}

// putClock changes the document as an operator on the given host does.
func putClock(f *Fleet, operator memnet.Host, number int, base docset.RevisionNumber) error {
	text := []byte(clockDocument(number))
	document, err := spec.Parse("clock", text)
	if err != nil {
		return err
	}
	_, err = docset.NewAdmin(f.Store(operator)).Put(context.Background(), document, text, base)
	return err
}

// servedNumber returns the number of the document that an entry serves, or zero and
// the code of the refusal if it serves none.
func servedNumber(t *testing.T, f *Fleet, entry ident.InstanceName, numbers int) (int, fault.Code) {
	t.Helper()
	var code fault.Code
	for number := 1; number <= numbers; number++ {
		result, err := f.Caller(entry).Call(context.Background(), "clock", http.MethodGet, fmt.Sprint("/number/", number), "", "")
		assert.NilError(t, err)
		if result.Problem == nil {
			return number, ""
		}
		code = result.Problem.Code
	}
	return 0, code
}

func TestDocuments(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, f *Fleet)
	}{
		{
			testName: "an accepted change becomes active at every entry in time",
			run: func(t *testing.T, f *Fleet) {
				started := time.Now()
				assert.NilError(t, putClock(f, "operator", 2, docset.AnyRevision))
				assert.Assert(t, time.Since(started) < 18*time.Second-docset.MaxStaleness)
				time.Sleep(time.Second)
				for _, entry := range f.EntryNames() {
					number, _ := servedNumber(t, f, entry, 2)
					assert.Equal(t, number, 2)
				}
			},
		},
		{
			testName: "a change is withdrawn while an entry is partitioned from the platform",
			run: func(t *testing.T, f *Fleet) {
				f.Network.Partition("e1", "platform")
				assert.Assert(t, errors.Is(putClock(f, "operator", 2, docset.AnyRevision), docset.ErrNotAcknowledged))
				for _, entry := range f.EntryNames() {
					number, _ := servedNumber(t, f, entry, 2)
					assert.Equal(t, number, 1)
				}
				f.Network.Heal("e1", "platform")
				time.Sleep(5 * time.Second)
				assert.NilError(t, putClock(f, "operator", 2, docset.AnyRevision))
			},
		},
		{
			testName: "an entry partitioned after its acknowledgement stops serving the old document",
			run: func(t *testing.T, f *Fleet) {
				var tasks conc.WaitGroup
				tasks.Go(func() { _ = putClock(f, "operator", 2, docset.AnyRevision) })
				// Both entries acknowledge within their jitter of 2 s; the operator
				// polls every 300 ms.
				for len(clockAcks(f)) < 2 {
					time.Sleep(time.Millisecond)
				}
				f.Network.Partition("e1", "platform")
				tasks.Wait()
				time.Sleep(docset.MaxStaleness + time.Second)
				first, code := servedNumber(t, f, "e1", 2)
				assert.Equal(t, first, 0)
				assert.Equal(t, code, fault.DocumentUnconfirmed)
				second, _ := servedNumber(t, f, "e2", 2)
				assert.Equal(t, second, 2)
				f.Network.Heal("e1", "platform")
				time.Sleep(10 * time.Second)
				first, _ = servedNumber(t, f, "e1", 2)
				assert.Equal(t, first, 2)
			},
		},
		{
			testName: "one of two concurrent changes fails with a conflict",
			run: func(t *testing.T, f *Fleet) {
				var tasks conc.WaitGroup
				results := make([]error, 2)
				for i := range results {
					tasks.Go(func() { results[i] = putClock(f, memnet.Host(fmt.Sprint("operator", i)), 2+i, 1) })
				}
				tasks.Wait()
				accepted := 0
				for i, err := range results {
					if err == nil {
						accepted = 2 + i
						continue
					}
					assert.Assert(t, errors.Is(err, docset.ErrConflict), "%v", err)
				}
				assert.Assert(t, accepted > 0)
				time.Sleep(time.Second)
				for _, entry := range f.EntryNames() {
					number, _ := servedNumber(t, f, entry, 3)
					assert.Equal(t, number, accepted)
				}
			},
		},
		{
			testName: "lost responses to the writes of a change are resolved",
			run: func(t *testing.T, f *Fleet) {
				f.Platform.SetFaults(fake.PlatformFaults{LoseResponses: 6})
				assert.NilError(t, putClock(f, "operator", 2, docset.AnyRevision))
				time.Sleep(time.Second)
				number, _ := servedNumber(t, f, "e1", 2)
				assert.Equal(t, number, 2)
			},
		},
		{
			testName: "an entry that starts while the platform is down is not ready",
			run: func(t *testing.T, f *Fleet) {
				f.Platform.SetFaults(fake.PlatformFaults{Down: true})
				assert.NilError(t, f.AddEntry("e3", "cascadia-west"))
				time.Sleep(time.Minute)
				assert.Assert(t, !f.Ready("e3"))
				_, code := servedNumber(t, f, "e3", 1)
				assert.Equal(t, code, fault.DocumentsNotLoaded)
				number, _ := servedNumber(t, f, "e1", 1)
				assert.Equal(t, number, 1, "a running entry should keep serving during the outage")
				f.Platform.SetFaults(fake.PlatformFaults{})
				time.Sleep(10 * time.Second)
				assert.Assert(t, f.Ready("e3"))
			},
		},
		{
			testName: "a workspace cannot replace another workspace's service",
			run: func(t *testing.T, f *Fleet) {
				text := []byte("service: clock\nworkspace: other\nkind: plain\npools: {serve: p}\n" +
					"targets: {whole-answer: 1s, patience: 5s}\ncalls: [{match: GET /, class: lookup}]\n")
				assert.ErrorContains(t, f.PutDocument(context.Background(), "clock", text), "belongs to the workspace w")
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHalvorsen(t)
				defer f.Close()
				assert.NilError(t, putClock(f, "operator", 1, docset.AnyRevision))
				time.Sleep(time.Second)
				s.run(t, f)
			})
		})
	}
}

// clockAcks returns the names of the entries that have acknowledged the pending
// proposal.
func clockAcks(f *Fleet) []string {
	ctx := context.Background()
	object, err := f.Store("reader").Get(ctx, store.Key{Kind: docset.Kind, Name: "clock"})
	if err != nil {
		return nil
	}
	record, err := docset.ParseRecord(object.Value)
	if err != nil || record.Proposal == "" {
		return nil
	}
	listing, err := f.Store("reader").List(ctx, "service-ack")
	if err != nil {
		return nil
	}
	var names []string
	for _, o := range listing.Objects {
		acks, err := docset.ParseAcks(o.Value)
		if err == nil && acks.Proposals["clock"] == record.Proposal {
			names = append(names, o.Name)
		}
	}
	return names
}
