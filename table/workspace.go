package table

import (
	"crypto/sha256"
	"encoding/hex"

	"crocusstep/ident"
)

// KeyDigest is the SHA-256 digest of a caller's key, zero for no key. Keys themselves are
// neither kept nor sent to other processes.
type KeyDigest [sha256.Size]byte

const (
	// stackKeyBytes is the length up to which the digest of a key needs no allocation.
	stackKeyBytes = 256
	// fingerprintBytes is the part of a digest that identifies a key in logs.
	fingerprintBytes = 4
)

// NewKeyDigest returns the digest of a key, which is not empty.
func NewKeyDigest(key string) KeyDigest {
	var buffer [stackKeyBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// IsZero reports whether there is no key.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// Fingerprint identifies a key in logs: operators compare it with the start of the key's SHA-256
// digest.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return hex.ErrLength
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Quota limits the work that a workspace may request of all relays together.
type Quota struct {
	// PerSecond is the number of units a second; positive.
	PerSecond float64 `json:"per-second"`
	// Burst is the number of units beyond the rate that may be used at once; not negative.
	Burst float64 `json:"burst"`
	// CountsTokens is set if a unit is a token, else it is a request.
	CountsTokens bool `json:"counts-tokens,omitempty"`
	// PlainTokens is the charge of a request without token counts, if tokens are counted; not
	// negative.
	PlainTokens ident.TokenCount `json:"plain-tokens,omitempty"`
}

// Workspace is a customer whose callers identify themselves by keys.
type Workspace struct {
	// Name is unique in its document and valid in a header.
	Name ident.WorkspaceName `json:"name"`
	// Keys are those of no other workspace, each once.
	Keys []KeyDigest `json:"keys"`
	// Priority replaces that of the routes; nil leaves it.
	Priority *int `json:"priority,omitempty"`
	// Quota is nil if the workspace has no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Caller returns the workspace that holds a key, or nil.
func (t *Table) Caller(key KeyDigest) *Workspace {
	if key.IsZero() {
		return nil
	}
	return t.callers[key]
}

// KeysRequired reports whether callers need a key, except on open routes.
func (t *Table) KeysRequired() bool { return t.Document.KeysRequired }

// KeyCount returns the number of keys.
func (t *Table) KeyCount() int { return len(t.callers) }

// Revoked returns up to limit keys that an earlier table holds and t does not, and their number.
func (t *Table) Revoked(earlier *Table, limit int) (keys []KeyDigest, count int) {
	for _, w := range earlier.Document.Workspaces {
		for _, key := range w.Keys {
			if t.callers[key] != nil {
				continue
			}
			count++
			if len(keys) < limit {
				keys = append(keys, key)
			}
		}
	}
	return keys, count
}

// prioritize returns the route with the priority of the workspace, which may be nil.
func (w *Workspace) prioritize(r Route) Route {
	if w != nil && w.Priority != nil {
		r.Priority = *w.Priority
	}
	return r
}

// indexCallers fills callers.
func (t *Table) indexCallers() {
	t.callers = map[KeyDigest]*Workspace{}
	for i := range t.Document.Workspaces {
		w := &t.Document.Workspaces[i]
		for _, key := range w.Keys {
			t.callers[key] = w
		}
	}
}

// callerPriorities are the priorities of all callers of a table.
type callerPriorities struct {
	// highest is that of the most urgent workspace with a priority, nil if none has one.
	highest *int
	// ofRoutes is set if some caller has the priority of the route.
	ofRoutes bool
}

func newCallerPriorities(d *Document) (p callerPriorities) {
	p.ofRoutes = len(d.Workspaces) == 0
	for i := range d.Workspaces {
		priority := d.Workspaces[i].Priority
		switch {
		case priority == nil:
			p.ofRoutes = true
		case p.highest == nil || *priority < *p.highest:
			p.highest = priority
		}
	}
	return p
}

// on returns the highest priority that any caller has on a route.
func (p callerPriorities) on(r Route) int {
	switch {
	case p.highest == nil:
		return r.Priority
	case p.ofRoutes || r.Open:
		// Callers without a key use open routes, too.
		return min(r.Priority, *p.highest)
	}
	return *p.highest
}
