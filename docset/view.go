package docset

import (
	"sort"
	"time"

	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/store"
)

// MaxStaleness is how long an entry that may have acknowledged a pending change
// serves the old document without contact with the platform.
const MaxStaleness = 8 * time.Second

// ActiveDocument is a service's active document with its revision number.
type ActiveDocument struct {
	Document spec.Document
	Number   RevisionNumber
}

// Status is whether a service may be served now.
type Status string

const (
	// Active means that the document found is the active one.
	Active Status = "in-force"
	// NotFound means that there is no such service.
	NotFound Status = "absent"
	// Unconfirmed means that a change may have been accepted without this entry
	// knowing, so that serving the old document would revert it.
	Unconfirmed Status = "doubtful"
)

// View is one entry's state of all documents. It does no I/O and reads no clock:
// every method is a pure function of the state and the time passed.
type View struct {
	services map[ident.ServiceName]*serviceState
	// version is the newest store version applied; it never decreases.
	version store.Version
	loaded  bool
	// keepMissing is set once the store was restored from a copy, which may lack services.
	keepMissing bool
	// confirmedAt is when the newest response of the platform was requested.
	confirmedAt time.Time
}

type serviceState struct {
	// revision is the active one, without its text; it never goes back.
	revision Revision
	document spec.Document
	// valid is whether this entry can parse the newest accepted document.
	valid bool
	// proposal is the pending proposal, if any.
	proposal string
	// mayBeAcked is true if an acknowledgement by this entry may be stored: from
	// just before it is sent, or from the start if the first listing holds the
	// proposal, as an earlier process may have acknowledged it.
	mayBeAcked bool
	// ackStarted is true once this process has begun to acknowledge the proposal.
	ackStarted bool
}

// NewView returns the view of an entry that has just started.
func NewView() *View { return &View{services: map[ident.ServiceName]*serviceState{}} }

// Find returns a service's document and whether it may be served at a time.
func (v *View) Find(service ident.ServiceName, now time.Time) (ActiveDocument, Status) {
	s, ok := v.services[service]
	if !ok || !s.valid {
		return ActiveDocument{}, NotFound
	}
	found := ActiveDocument{Document: s.document, Number: s.revision.Number}
	if s.mayBeAcked && store.Elapsed(v.confirmedAt, now) > MaxStaleness {
		return found, Unconfirmed
	}
	return found, Active
}

// All returns every active document, sorted by service.
func (v *View) All() []ActiveDocument {
	var all []ActiveDocument
	for _, s := range v.services {
		if s.valid {
			all = append(all, ActiveDocument{Document: s.document, Number: s.revision.Number})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Document.Service < all[j].Document.Service })
	return all
}

// ApplySnapshot replaces the state by a full listing that was requested at the
// given time, and returns the errors of unreadable objects. A listing older than
// the state is ignored. Services that are missing after a restore of the store from a
// copy stay active until a deletion is watched.
func (v *View) ApplySnapshot(listing store.Listing, requestedAt time.Time) (errs []error) {
	if listing.Version < v.version {
		return nil
	}
	if v.loaded && listing.Version.Era() > v.version.Era() {
		v.keepMissing = true
	}
	listed := map[ident.ServiceName]bool{}
	for _, object := range listing.Objects {
		listed[ident.ServiceName(object.Name)] = true
		errs = append(errs, v.applyObject(object)...)
	}
	for service := range v.services {
		if !listed[service] && !v.keepMissing {
			delete(v.services, service)
		}
	}
	v.markConfirmed(listing.Version, requestedAt)
	v.loaded = true
	return errs
}

// ApplyEvents applies the events of a watch that was started at the given time.
func (v *View) ApplyEvents(batch store.Batch, requestedAt time.Time) (errs []error) {
	for _, object := range batch.Events {
		if object.Version <= v.version {
			continue
		}
		if object.Deleted {
			delete(v.services, ident.ServiceName(object.Name))
			continue
		}
		errs = append(errs, v.applyObject(object)...)
	}
	v.markConfirmed(batch.Version, requestedAt)
	return errs
}

// markConfirmed takes the time of the request and not of the response, which may
// miss changes made after the platform produced it.
func (v *View) markConfirmed(version store.Version, requestedAt time.Time) {
	v.version = max(v.version, version)
	if requestedAt.After(v.confirmedAt) {
		v.confirmedAt = requestedAt
	}
}

func (v *View) applyObject(object store.Object) []error {
	record, err := ParseRecord(object.Value)
	if err != nil {
		return []error{err}
	}
	service := ident.ServiceName(object.Name)
	s, ok := v.services[service]
	if !ok {
		s = &serviceState{}
		v.services[service] = s
	}
	if record.Proposal != s.proposal {
		s.proposal = record.Proposal
		s.mayBeAcked = record.Proposal != "" && !v.loaded
		s.ackStarted = false
	}
	if !record.Current.after(s.revision) {
		return nil
	}
	// Documents are validated before they are stored. If one cannot be parsed,
	// this entry's version is too old for it and must not keep serving the
	// previous document.
	document, err := spec.Parse(object.Name, []byte(record.Current.Text))
	s.revision = Revision{Era: record.Current.Era, Number: record.Current.Number}
	s.valid = err == nil
	s.document = document
	if err != nil {
		return []error{err}
	}
	return nil
}

// Pending returns the pending proposals, by service.
func (v *View) Pending() map[ident.ServiceName]string {
	pending := map[ident.ServiceName]string{}
	for service, s := range v.services {
		if s.proposal != "" {
			pending[service] = s.proposal
		}
	}
	return pending
}

// Unacknowledged reports whether a pending proposal awaits this entry's
// acknowledgement.
func (v *View) Unacknowledged() bool {
	for _, s := range v.services {
		if s.proposal != "" && !s.ackStarted {
			return true
		}
	}
	return false
}

// Acknowledge marks proposals as acknowledged. It must be called before the
// acknowledgement is sent.
func (v *View) Acknowledge(proposals map[ident.ServiceName]string) {
	for service, proposal := range proposals {
		if s, ok := v.services[service]; ok && s.proposal == proposal {
			s.mayBeAcked = true
			s.ackStarted = true
		}
	}
}
