// Package origin keeps which software version began each stream, so that the stream goes on at
// that version only.
package origin

import (
	"maps"
	"sync"
	"time"

	"crocusstep/ident"
)

// TTL is how long an origin is kept after it was last recorded: longer than callers take a
// stream up again.
const TTL = time.Minute

// cleanupInterval is the time between two removals of expired origins.
const cleanupInterval = 10 * time.Second

// Origin is the software version that began a stream.
type Origin struct {
	// Attempt is the caller's attempt that brought the first event.
	Attempt ident.AttemptID `json:"attempt"`
	// Version is never empty.
	Version ident.SoftwareVersion `json:"version"`
}

type entry struct {
	version ident.SoftwareVersion
	expires time.Time
}

// Book holds the origins of streams. It is safe for concurrent use.
type Book struct {
	mutex   sync.Mutex
	entries map[ident.AttemptID]entry
	cleaned time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[ident.AttemptID]entry{}} }

// Record records origins. The first version of an attempt stays.
func (b *Book) Record(list []Origin, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, o := range list {
		version := o.Version
		if known, found := b.entries[o.Attempt]; found && now.Before(known.expires) {
			version = known.version
		}
		b.entries[o.Attempt] = entry{version: version, expires: now.Add(TTL)}
	}
	if now.Sub(b.cleaned) >= cleanupInterval {
		b.cleaned = now
		maps.DeleteFunc(b.entries, func(_ ident.AttemptID, e entry) bool { return !now.Before(e.expires) })
	}
}

// Version returns the version that began an attempt's stream, or an empty one.
func (b *Book) Version(attempt ident.AttemptID, now time.Time) ident.SoftwareVersion {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if e, found := b.entries[attempt]; found && now.Before(e.expires) {
		return e.version
	}
	return ""
}
