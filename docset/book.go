package docset

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/store"
)

// historyKind is the kind of the objects that hold each service's revisions.
const historyKind store.Kind = "service-history"

// keptRevisions bounds a service's history.
const keptRevisions = 100

// Newest as a base version means whatever is in force at the moment.
const Newest store.Version = -1

// ErrRace means that another operator changed the document in between.
var ErrRace = errors.New("the document was changed by somebody else; read it again")

// Revision is one accepted version of a document.
type Revision struct {
	// Base is the version that the revision replaced.
	Base   store.Version `json:"base"`
	At     time.Time     `json:"at"`
	Digest ident.Digest  `json:"digest"`
}

// Book is the operators' side of the documents.
type Book struct {
	store store.Store
}

// NewBook returns the documents that the platform keeps.
func NewBook(s store.Store) *Book { return &Book{store: s} }

// Put stores a checked document if it still is at the base version. It returns
// only once it is known whether the document was accepted.
func (b *Book) Put(ctx context.Context, document spec.Document, text []byte, base store.Version) (version store.Version, err error) {
	defer fault.Annotate(&err, "put %s", document.Service)
	key := store.Key{Kind: Kind, Name: string(document.Service)}
	current, err := b.current(ctx, key)
	if err != nil {
		return 0, err
	}
	if base != Newest && current.Version != base {
		return 0, fmt.Errorf("%w: it is at version %d, not %d", ErrRace, current.Version, base)
	}
	if err := sameOwner(current, document); err != nil {
		return 0, err
	}
	version, err = b.settle(ctx, key, text, current.Version)
	if err != nil {
		return 0, err
	}
	// The history is for reading only, so its loss does not undo the change.
	_ = b.remember(ctx, document.Service, Revision{Base: current.Version, At: time.Now().UTC(), Digest: digestOf(text)})
	return version, nil
}

// sameOwner keeps one workspace from taking over another's service.
func sameOwner(current store.Object, document spec.Document) error {
	if current.Version == 0 {
		return nil
	}
	old, err := spec.Parse(current.Name, current.Value)
	if err == nil && old.Workspace != document.Workspace {
		return fmt.Errorf("the service belongs to the workspace %s", old.Workspace)
	}
	return nil
}

// settle writes and, if the answer was lost, finds out what became of it.
func (b *Book) settle(ctx context.Context, key store.Key, text []byte, base store.Version) (store.Version, error) {
	version, err := b.store.Put(ctx, key, text, base)
	for errors.Is(err, store.ErrAmbiguous) && ctx.Err() == nil {
		current, readError := b.current(ctx, key)
		switch {
		case readError != nil:
			pause(ctx, retryWait/10)
		case current.Version == base:
			// The lost write may still be on its way; writing again fences it.
			version, err = b.store.Put(ctx, key, text, base)
		case digestOf(current.Value) == digestOf(text):
			return current.Version, nil
		default:
			return 0, ErrRace
		}
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrRace
	}
	return version, err
}

// Get returns a service's document in force.
func (b *Book) Get(ctx context.Context, service ident.ServiceName) (store.Object, error) {
	return b.store.Get(ctx, store.Key{Kind: Kind, Name: string(service)})
}

// List returns all documents in force.
func (b *Book) List(ctx context.Context) ([]store.Object, error) {
	listing, err := b.store.List(ctx, Kind)
	return listing.Objects, err
}

// History returns the accepted versions of a document, oldest first.
func (b *Book) History(ctx context.Context, service ident.ServiceName) (revisions []Revision, err error) {
	defer fault.Annotate(&err, "history of %s", service)
	object, err := b.current(ctx, historyKey(service))
	if err != nil || object.Version == 0 {
		return nil, err
	}
	return revisions, json.Unmarshal(object.Value, &revisions)
}

func (b *Book) remember(ctx context.Context, service ident.ServiceName, revision Revision) (err error) {
	for range 3 {
		var object store.Object
		object, err = b.current(ctx, historyKey(service))
		if err != nil {
			return err
		}
		var revisions []Revision
		if object.Version != 0 {
			_ = json.Unmarshal(object.Value, &revisions)
		}
		revisions = append(revisions, revision)
		revisions = revisions[max(0, len(revisions)-keptRevisions):]
		value, encodeError := json.Marshal(revisions)
		if encodeError != nil {
			return encodeError
		}
		_, err = b.store.Put(ctx, historyKey(service), value, object.Version)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

// current returns an object, or one at version zero if there is none.
func (b *Book) current(ctx context.Context, key store.Key) (store.Object, error) {
	object, err := b.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{Name: key.Name}, nil
	}
	return object, err
}

func historyKey(service ident.ServiceName) store.Key {
	return store.Key{Kind: historyKind, Name: string(service)}
}

func digestOf(text []byte) ident.Digest {
	sum := sha256.Sum256(text)
	return ident.Digest(hex.EncodeToString(sum[:]))
}
