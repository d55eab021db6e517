package docset

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"crocusstep/common"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/store"
)

const (
	// historyKind is the kind of the objects that hold each service's accepted
	// revisions.
	historyKind       store.Kind = "service-history"
	maxHistoryEntries            = 50
	// ackTimeout bounds the wait for all entries' acknowledgements of a proposal.
	ackTimeout = 10 * time.Second
	// ackInterval is the interval at which the acknowledgements are polled.
	ackInterval = 300 * time.Millisecond
	// resolveInterval is the delay between two reads that look for the outcome of
	// a write whose response was lost.
	resolveInterval = 100 * time.Millisecond
)

// AnyRevision as a base number replaces whichever revision is active.
const AnyRevision RevisionNumber = -1

// ErrConflict means that another operator changed the document concurrently.
var ErrConflict = errors.New("the document was changed concurrently; read it again")

// ErrNotAcknowledged means that a proposal was withdrawn because not every entry
// acknowledged it; the active document is unchanged.
var ErrNotAcknowledged = errors.New("change not accepted, the active document is unchanged: not every entry acknowledged the change")

// HistoryEntry is one accepted revision of a service's document.
type HistoryEntry struct {
	Number RevisionNumber `json:"number"`
	At     time.Time      `json:"at"`
	// Text is the whole document, so that an operator can restore it.
	Text string `json:"text"`
}

// Admin is the operators' access to the service documents.
type Admin struct {
	store store.Store
}

// NewAdmin returns an Admin for the documents in a store.
func NewAdmin(s store.Store) *Admin { return &Admin{store: s} }

// storedRecord is a service's record with the key and version of its object.
type storedRecord struct {
	key     store.Key
	version store.Version
	record  Record
}

// Put replaces the active document by a validated one if the active one has the
// base number. The change is first proposed. It is accepted once every entry on
// the platform's list of instances has acknowledged it, and withdrawn otherwise.
// An entry that acknowledged a proposal serves the old document only while it is
// in contact with the platform, so an accepted change is active everywhere within
// MaxStaleness.
func (a *Admin) Put(ctx context.Context, document spec.Document, text []byte, base RevisionNumber) (number RevisionNumber, err error) {
	defer fault.Annotate(&err, "put %s", document.Service)
	r, err := a.readRecord(ctx, document.Service)
	if err != nil {
		return 0, err
	}
	if base != AnyRevision && r.record.Current.Number != base {
		return 0, fmt.Errorf("%w: its number is %d, not %d", ErrConflict, r.record.Current.Number, base)
	}
	if err := checkOwner(r.record, document); err != nil {
		return 0, err
	}
	era, _ := a.store.Era()
	revision := Revision{Era: era, Number: r.record.Current.Number + 1, Text: string(text)}
	if err := a.propose(ctx, &r, revision); err != nil {
		return 0, err
	}
	if err := a.awaitAcks(ctx, r); err != nil {
		return 0, errors.Join(err, a.withdraw(ctx, &r))
	}
	if err := a.accept(ctx, &r); err != nil {
		return 0, err
	}
	// The history is informational, so a failure to write it does not undo the change.
	_ = a.appendHistory(ctx, document.Service, HistoryEntry{Number: revision.Number, At: time.Now().UTC(), Text: revision.Text})
	return revision.Number, nil
}

// checkOwner prevents a workspace from replacing another workspace's service.
func checkOwner(record Record, document spec.Document) error {
	if record.Current.Number == 0 {
		return nil
	}
	old, err := spec.Parse(string(document.Service), []byte(record.Current.Text))
	if err == nil && old.Workspace != document.Workspace {
		return fmt.Errorf("the service belongs to the workspace %s", old.Workspace)
	}
	return nil
}

func (a *Admin) propose(ctx context.Context, r *storedRecord, revision Revision) error {
	return a.write(ctx, r, Record{Current: r.record.Current, Staged: &revision, Proposal: ident.NewNonce()})
}

func (a *Admin) accept(ctx context.Context, r *storedRecord) error {
	return a.write(ctx, r, Record{Current: *r.record.Staged})
}

// withdraw ignores cancellation: until the withdrawal is stored, entries that
// lost contact after their acknowledgement refuse the service.
func (a *Admin) withdraw(ctx context.Context, r *storedRecord) error {
	return a.write(context.WithoutCancel(ctx), r, Record{Current: r.record.Current})
}

// write replaces a record and returns once the outcome is known. If the response
// was lost, the stored content shows whether the write took effect.
func (a *Admin) write(ctx context.Context, r *storedRecord, next Record) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	version, err := a.store.Put(limit, r.key, value, r.version)
	for errors.Is(err, store.ErrAmbiguous) && limit.Err() == nil {
		version, err = a.resolve(limit, r, value)
	}
	if errors.Is(err, store.ErrConflict) {
		return ErrConflict
	}
	if err != nil {
		return err
	}
	r.version = version
	r.record = next
	return nil
}

// resolve determines the outcome of a write whose response was lost.
func (a *Admin) resolve(ctx context.Context, r *storedRecord, value []byte) (store.Version, error) {
	object, err := a.getObject(ctx, r.key)
	switch {
	case err != nil:
		common.Sleep(ctx, resolveInterval)
		return 0, store.ErrAmbiguous
	case object.Version == r.version:
		// The lost write may still take effect. Another write at the same
		// version fences it.
		return a.store.Put(ctx, r.key, value, r.version)
	case string(object.Value) == string(value):
		return object.Version, nil
	}
	return 0, store.ErrConflict
}

// awaitAcks waits until every listed entry has acknowledged the proposal.
func (a *Admin) awaitAcks(ctx context.Context, r storedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	missing := []string{"all: the platform was unreachable"}
	for ctx.Err() == nil {
		found, err := a.missingAcks(ctx, r)
		if err == nil {
			missing = found
		}
		if err == nil && len(missing) == 0 {
			return nil
		}
		common.Sleep(ctx, ackInterval)
	}
	return fmt.Errorf("%w: %s", ErrNotAcknowledged, strings.Join(missing, ", "))
}

func (a *Admin) missingAcks(ctx context.Context, r storedRecord) ([]string, error) {
	instances, err := a.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	listing, err := a.store.List(ctx, ackKind)
	if err != nil {
		return nil, err
	}
	return missingAcks(instances, listing.Objects, ident.ServiceName(r.key.Name), r.record.Proposal), nil
}

// missingAcks returns the sorted names of the listed entries that have not
// acknowledged a proposal. An instance whose role cannot be read may be an entry.
func missingAcks(instances []store.Instance, objects []store.Object, service ident.ServiceName, proposal string) []string {
	acked := map[string]bool{}
	for _, object := range objects {
		acks, err := ParseAcks(object.Value)
		acked[object.Name] = err == nil && acks.Proposals[service] == proposal
	}
	var missing []string
	for _, instance := range instances {
		if instance.Role != store.AgentRole && !acked[string(instance.Name)] {
			missing = append(missing, string(instance.Name))
		}
	}
	sort.Strings(missing)
	return missing
}

// Get returns a service's active revision, or store.ErrNotFound.
func (a *Admin) Get(ctx context.Context, service ident.ServiceName) (revision Revision, err error) {
	defer fault.Annotate(&err, "get %s", service)
	r, err := a.readRecord(ctx, service)
	if err == nil && r.record.Current.Number == 0 {
		return revision, store.ErrNotFound
	}
	return r.record.Current, err
}

// ListItem is one service with its record.
type ListItem struct {
	Service ident.ServiceName
	Record  Record
}

// List returns all services. An error may follow those whose documents can be read.
func (a *Admin) List(ctx context.Context) (items []ListItem, err error) {
	defer fault.Annotate(&err, "list services")
	listing, err := a.store.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	for _, object := range listing.Objects {
		record, parseErr := ParseRecord(object.Value)
		if parseErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", object.Name, parseErr))
			continue
		}
		items = append(items, ListItem{Service: ident.ServiceName(object.Name), Record: record})
	}
	return items, err
}

// History returns the accepted revisions of a service, oldest first.
func (a *Admin) History(ctx context.Context, service ident.ServiceName) (revisions []HistoryEntry, err error) {
	defer fault.Annotate(&err, "history of %s", service)
	object, err := a.getObject(ctx, historyKey(service))
	if err != nil || object.Version == 0 {
		return nil, err
	}
	return revisions, json.Unmarshal(object.Value, &revisions)
}

func (a *Admin) appendHistory(ctx context.Context, service ident.ServiceName, revision HistoryEntry) (err error) {
	const tries = 3
	for range tries {
		err = a.tryAppendHistory(ctx, service, revision)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

func (a *Admin) tryAppendHistory(ctx context.Context, service ident.ServiceName, revision HistoryEntry) error {
	object, err := a.getObject(ctx, historyKey(service))
	if err != nil {
		return err
	}
	var revisions []HistoryEntry
	if object.Version != 0 {
		_ = json.Unmarshal(object.Value, &revisions)
	}
	revisions = append(revisions, revision)
	value, err := json.Marshal(revisions[max(0, len(revisions)-maxHistoryEntries):])
	if err != nil {
		return err
	}
	_, err = a.store.Put(ctx, historyKey(service), value, object.Version)
	return err
}

func (a *Admin) readRecord(ctx context.Context, service ident.ServiceName) (storedRecord, error) {
	r := storedRecord{key: store.Key{Kind: Kind, Name: string(service)}}
	object, err := a.getObject(ctx, r.key)
	if err != nil || object.Version == 0 {
		return r, err
	}
	r.version = object.Version
	r.record, err = ParseRecord(object.Value)
	return r, err
}

// getObject returns an object, or an empty one at version zero if it does not exist.
func (a *Admin) getObject(ctx context.Context, key store.Key) (store.Object, error) {
	object, err := a.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{Name: key.Name}, nil
	}
	return object, err
}

func historyKey(service ident.ServiceName) store.Key {
	return store.Key{Kind: historyKind, Name: string(service)}
}
