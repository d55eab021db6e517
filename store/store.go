// Package store defines the platform's object API, the only place where processes
// keep durable or shared state, and watches it.
package store

import (
	"context"
	"errors"
	"time"

	"crocusstep/ident"
)

// Kind is a group of objects that are listed and watched together.
type Kind string

// Key identifies one object.
type Key struct {
	Kind Kind
	Name string
}

// String renders the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a stored value with the version of its last write.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// Value is at most MaxValueBytes long.
	Value []byte `json:"value,omitempty"`
	// Unreadable is set if the content cannot be read, so that Value is empty.
	Unreadable bool `json:"-"`
	// Deleted is set in events only.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is every object of a kind at one version of the store.
type Listing struct {
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
	// Outage is set by a Watcher if a call to the store failed shortly before.
	Outage bool `json:"-"`
}

// Batch holds the events of a kind after one version and up to Version.
type Batch struct {
	Version Version  `json:"version"`
	Events  []Object `json:"events"`
	// Outage is set by a Watcher if a call to the store failed shortly before.
	Outage bool `json:"-"`
}

// InstanceState is an instance's state according to the platform.
type InstanceState string

const (
	// Live means that the instance runs.
	Live InstanceState = "live"
	// Leaving means that the instance will be removed soon. The agent's own record has
	// this state while the agent drains.
	Leaving InstanceState = "leaving"
)

// Role distinguishes the processes that register as instances.
type Role string

const (
	// EntryRole is that of processes that callers connect to.
	EntryRole Role = "entry"
	// AgentRole is that of processes that serve one endpoint each.
	AgentRole Role = "agent"
)

// Instance is one item of the platform's list of instances. The list lags behind
// the actual state.
type Instance struct {
	Name ident.InstanceName `json:"name"`
	// Role is empty, as all fields but the name, if the item cannot be read.
	Role     Role               `json:"role"`
	Address  ident.Address      `json:"address"`
	Endpoint ident.EndpointName `json:"endpoint,omitempty"`
	Pool     ident.PoolName     `json:"pool,omitempty"`
	Region   ident.RegionName   `json:"region"`
	Zone     ident.ZoneName     `json:"zone"`
	State    InstanceState      `json:"state"`
}

// InstanceKind is the kind of the platform's list of instances.
const InstanceKind Kind = "instance"

// MaxValueBytes is the size limit of an object's value.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is not at the expected version.
	ErrConflict = errors.New("object is at another version")
	// ErrCompacted means that the requested events are no longer kept.
	ErrCompacted = errors.New("events since that version were compacted")
	// ErrRestored means that the store was restored from a copy since the version that the
	// call names, so that later changes may be lost and revisions are assigned again.
	ErrRestored = errors.New("the store was restored from a copy since that version")
	// ErrBehind means that the events since a version are more than a list of the kind.
	ErrBehind = errors.New("a list is shorter than the events since that version")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("the platform is unavailable")
	// ErrUnreadable means that a response cannot be understood as a whole. An object that
	// cannot be read is no such error.
	ErrUnreadable = errors.New("the platform's response cannot be read")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("the platform's response was lost")
)

// Store is the platform's object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Put writes the value if the object is at the expected version and returns the
	// new version. An expected version of zero requires that the object does not
	// exist.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// Delete removes the object if it is at the expected version.
	Delete(ctx context.Context, key Key, expected Version) error
	// Watch waits up to the given time for events of a kind after a version.
	Watch(ctx context.Context, kind Kind, since Version, wait time.Duration) (Batch, error)
	// Instances returns the platform's list of instances, which lags behind the
	// actual state.
	Instances(ctx context.Context) ([]Instance, error)
	// Era returns the latest era that any response has shown, and a channel that is closed
	// when a response shows a later one.
	Era() (era Era, raised <-chan struct{})
}
