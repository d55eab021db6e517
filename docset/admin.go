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
	// historyKind is the kind of the objects that hold each service's revisions.
	historyKind store.Kind = "service-history"
	// keptRevisions bounds a service's history.
	keptRevisions = 50
	// ackTimeout is how long a proposal waits for all entries.
	ackTimeout = 10 * time.Second
	// ackInterval is the time between two looks at the acknowledgements.
	ackInterval = 300 * time.Millisecond
	// settlePause is the time between two tries to learn a lost answer.
	settlePause = 100 * time.Millisecond
)

// AnyRevision as a base number means whatever is in force at the moment.
const AnyRevision RevisionNumber = -1

// ErrConflict means that another operator changed the document in between.
var ErrConflict = errors.New("the document was changed by somebody else; read it again")

// ErrUnconfirmed means that a change was withdrawn because not every entry
// confirmed it; nothing has changed.
var ErrUnconfirmed = errors.New("not accepted, nothing has changed: not every entry confirmed the change")

// HistoryEntry is one accepted document.
type HistoryEntry struct {
	Number RevisionNumber `json:"number"`
	At     time.Time      `json:"at"`
	// Text is the document, so that an operator can put it in force again.
	Text string `json:"text"`
}

// Admin is the operators' side of the documents.
type Admin struct {
	store store.Store
}

// NewAdmin returns the documents that the platform keeps.
func NewAdmin(s store.Store) *Admin { return &Admin{store: s} }

// page is a service's sheet with the version of its object.
type page struct {
	key     store.Key
	version store.Version
	sheet   Record
}

// Put puts a checked document in force if the one in force has the base number.
// The change is proposed first, and accepted once every entry on the platform's
// list has confirmed that it will not serve the old document unheard; else it
// is withdrawn. So an accepted change holds everywhere within ConfirmLimit.
func (b *Admin) Put(ctx context.Context, document spec.Document, text []byte, base RevisionNumber) (number RevisionNumber, err error) {
	defer fault.Annotate(&err, "put %s", document.Service)
	p, err := b.read(ctx, document.Service)
	if err != nil {
		return 0, err
	}
	if base != AnyRevision && p.sheet.Current.Number != base {
		return 0, fmt.Errorf("%w: it is number %d, not %d", ErrConflict, p.sheet.Current.Number, base)
	}
	if err := sameOwner(p.sheet, document); err != nil {
		return 0, err
	}
	draft := Revision{Number: p.sheet.Current.Number + 1, Text: string(text)}
	if err := b.propose(ctx, &p, draft); err != nil {
		return 0, err
	}
	if err := b.awaitAcks(ctx, p); err != nil {
		return 0, errors.Join(err, b.withdraw(ctx, &p))
	}
	if err := b.accept(ctx, &p); err != nil {
		return 0, err
	}
	// The history is for reading only, so its loss does not undo the change.
	_ = b.remember(ctx, document.Service, HistoryEntry{Number: draft.Number, At: time.Now().UTC(), Text: draft.Text})
	return draft.Number, nil
}

// sameOwner keeps one workspace from taking over another's service.
func sameOwner(sheet Record, document spec.Document) error {
	if sheet.Current.Number == 0 {
		return nil
	}
	old, err := spec.Parse(string(document.Service), []byte(sheet.Current.Text))
	if err == nil && old.Workspace != document.Workspace {
		return fmt.Errorf("the service belongs to the workspace %s", old.Workspace)
	}
	return nil
}

func (b *Admin) propose(ctx context.Context, p *page, draft Revision) error {
	return b.write(ctx, p, Record{Current: p.sheet.Current, Staged: &draft, Proposal: ident.NewNonce()})
}

func (b *Admin) accept(ctx context.Context, p *page) error {
	return b.write(ctx, p, Record{Current: *p.sheet.Staged})
}

// withdraw must not give up early: until it is written, entries that were cut
// off after their acknowledgement refuse the service.
func (b *Admin) withdraw(ctx context.Context, p *page) error {
	return b.write(context.WithoutCancel(ctx), p, Record{Current: p.sheet.Current})
}

// write replaces a sheet and returns only when it is known whether that took
// effect. A write whose answer was lost is told by its content.
func (b *Admin) write(ctx context.Context, p *page, next Record) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	version, err := b.store.Put(limit, p.key, value, p.version)
	for errors.Is(err, store.ErrAmbiguous) && limit.Err() == nil {
		version, err = b.resolve(limit, p, value)
	}
	if errors.Is(err, store.ErrConflict) {
		return ErrConflict
	}
	if err != nil {
		return err
	}
	p.version = version
	p.sheet = next
	return nil
}

// resolve finds out what became of a write whose answer was lost.
func (b *Admin) resolve(ctx context.Context, p *page, value []byte) (store.Version, error) {
	object, err := b.current(ctx, p.key)
	switch {
	case err != nil:
		common.Sleep(ctx, settlePause)
		return 0, store.ErrAmbiguous
	case object.Version == p.version:
		// The lost write may still be on its way; writing again fences it.
		return b.store.Put(ctx, p.key, value, p.version)
	case string(object.Value) == string(value):
		return object.Version, nil
	}
	return 0, store.ErrConflict
}

// awaitAcks waits until every listed entry has confirmed the proposal.
func (b *Admin) awaitAcks(ctx context.Context, p page) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	missing := []string{"all: the platform was not reached"}
	for ctx.Err() == nil {
		found, err := b.missingAcks(ctx, p)
		if err == nil {
			missing = found
		}
		if err == nil && len(missing) == 0 {
			return nil
		}
		common.Sleep(ctx, ackInterval)
	}
	return fmt.Errorf("%w: %s", ErrUnconfirmed, strings.Join(missing, ", "))
}

func (b *Admin) missingAcks(ctx context.Context, p page) ([]string, error) {
	instances, err := b.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	listing, err := b.store.List(ctx, ackKind)
	if err != nil {
		return nil, err
	}
	return missingAcks(instances, listing.Objects, ident.ServiceName(p.key.Name), p.sheet.Proposal), nil
}

// missingAcks names the listed entries that have not confirmed a proposal.
func missingAcks(instances []store.Instance, objects []store.Object, service ident.ServiceName, proposal string) []string {
	confirmed := map[string]bool{}
	for _, object := range objects {
		acks, err := ParseAcks(object.Value)
		confirmed[object.Name] = err == nil && acks.Proposals[service] == proposal
	}
	var missing []string
	for _, instance := range instances {
		if instance.Role == store.EntryRole && !confirmed[string(instance.Name)] {
			missing = append(missing, string(instance.Name))
		}
	}
	sort.Strings(missing)
	return missing
}

// Get returns a service's document in force.
func (b *Admin) Get(ctx context.Context, service ident.ServiceName) (draft Revision, err error) {
	defer fault.Annotate(&err, "get %s", service)
	p, err := b.read(ctx, service)
	if err == nil && p.sheet.Current.Number == 0 {
		return draft, store.ErrNotFound
	}
	return p.sheet.Current, err
}

// ListItem is one service in a list.
type ListItem struct {
	Service ident.ServiceName
	Record  Record
}

// List returns all services.
func (b *Admin) List(ctx context.Context) (rows []ListItem, err error) {
	defer fault.Annotate(&err, "list services")
	listing, err := b.store.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	for _, object := range listing.Objects {
		sheet, err := ParseRecord(object.Value)
		if err != nil {
			return nil, err
		}
		rows = append(rows, ListItem{Service: ident.ServiceName(object.Name), Record: sheet})
	}
	return rows, nil
}

// History returns the accepted documents of a service, oldest first.
func (b *Admin) History(ctx context.Context, service ident.ServiceName) (revisions []HistoryEntry, err error) {
	defer fault.Annotate(&err, "history of %s", service)
	object, err := b.current(ctx, historyKey(service))
	if err != nil || object.Version == 0 {
		return nil, err
	}
	return revisions, json.Unmarshal(object.Value, &revisions)
}

func (b *Admin) remember(ctx context.Context, service ident.ServiceName, revision HistoryEntry) (err error) {
	const tries = 3
	for range tries {
		err = b.tryRemember(ctx, service, revision)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

func (b *Admin) tryRemember(ctx context.Context, service ident.ServiceName, revision HistoryEntry) error {
	object, err := b.current(ctx, historyKey(service))
	if err != nil {
		return err
	}
	var revisions []HistoryEntry
	if object.Version != 0 {
		_ = json.Unmarshal(object.Value, &revisions)
	}
	revisions = append(revisions, revision)
	value, err := json.Marshal(revisions[max(0, len(revisions)-keptRevisions):])
	if err != nil {
		return err
	}
	_, err = b.store.Put(ctx, historyKey(service), value, object.Version)
	return err
}

func (b *Admin) read(ctx context.Context, service ident.ServiceName) (page, error) {
	p := page{key: store.Key{Kind: Kind, Name: string(service)}}
	object, err := b.current(ctx, p.key)
	if err != nil || object.Version == 0 {
		return p, err
	}
	p.version = object.Version
	p.sheet, err = ParseRecord(object.Value)
	return p, err
}

// current returns an object, or one at version zero if there is none.
func (b *Admin) current(ctx context.Context, key store.Key) (store.Object, error) {
	object, err := b.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{Name: key.Name}, nil
	}
	return object, err
}

func historyKey(service ident.ServiceName) store.Key {
	return store.Key{Kind: historyKind, Name: string(service)}
}
