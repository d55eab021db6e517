package store

import (
	"log/slog"
	"strconv"
)

// Era counts the restores of the store from a copy. Within an era, revisions only
// increase; across a restore they go back and are assigned again to other changes.
type Era int64

// Version is a revision of the store within its era. It increases with every write and
// every restore, so that versions compare by era first; zero means that the object does
// not exist.
type Version int64

// revisionBits is the width of the revision; the era takes the bits above it.
const revisionBits = 48

// maxEra and maxRevision are the largest parts that a Version holds.
const (
	maxEra      = 1<<(63-revisionBits) - 1
	maxRevision = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era. Parts that are out of range are
// limited to it.
func NewVersion(era Era, revision int64) Version {
	return Version(min(max(era, 0), maxEra))<<revisionBits | Version(min(max(revision, 0), maxRevision))
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision within the era.
func (v Version) Revision() int64 { return int64(v & maxRevision) }

// String renders the version as era/revision, or as the revision alone in a store that was
// never restored.
func (v Version) String() string {
	revision := strconv.FormatInt(v.Revision(), 10)
	if v.Era() == 0 {
		return revision
	}
	return strconv.FormatInt(int64(v.Era()), 10) + "/" + revision
}

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value {
	if v.Era() == 0 {
		return slog.Int64Value(v.Revision())
	}
	return slog.StringValue(v.String())
}
