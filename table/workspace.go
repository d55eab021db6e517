package table

import (
	"crypto/sha256"
	"encoding/hex"

	"crocusstep/ident"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are neither kept nor sent
// to other processes.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

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
	// PlainTokens is the charge of a request without token counts, if tokens are counted.
	PlainTokens ident.TokenCount `json:"plain-tokens,omitempty"`
}

// Workspace is a customer whose callers identify themselves by keys.
type Workspace struct {
	Name ident.WorkspaceName `json:"name"`
	// Keys are not shared with other workspaces.
	Keys []KeyDigest `json:"keys"`
	// Priority replaces that of the routes; nil leaves it.
	Priority *int `json:"priority,omitempty"`
	// Quota is nil if the workspace has no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Caller returns the workspace that holds a key, or nil.
func (t *Table) Caller(key KeyDigest) *Workspace { return t.callers[key] }

// KeysRequired reports whether callers need a key, except on open routes.
func (t *Table) KeysRequired() bool { return t.Document.KeysRequired }

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

// highestPriority returns the highest priority that any caller has on a route.
func (t *Table) highestPriority(r Route) int {
	if !t.KeysRequired() || r.Open || len(t.Document.Workspaces) == 0 {
		return r.Priority
	}
	highest := t.Document.Workspaces[0].prioritize(r).Priority
	for i := range t.Document.Workspaces {
		highest = min(highest, t.Document.Workspaces[i].prioritize(r).Priority)
	}
	return highest
}
