package docset

import (
	"sort"
	"time"

	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/store"
)

// MaxStaleness is how long a node whose acknowledgement may have let a change
// through serves the old document without hearing from the platform.
const MaxStaleness = 8 * time.Second

// ActiveDocument is one document in force.
type ActiveDocument struct {
	Document spec.Document
	Number   RevisionNumber
}

// Status is whether a service may be served now.
type Status string

const (
	// Active means that the document found is the one in force.
	Active Status = "in-force"
	// NotFound means that there is no such service.
	NotFound Status = "absent"
	// Unconfirmed means that a change may have been accepted that this node has
	// not heard of, so serving the old document would revert it.
	Unconfirmed Status = "doubtful"
)

// View is one node's knowledge of all documents. It does no input or output
// and knows no clock: every method is a plain function of state and time.
type View struct {
	services map[ident.ServiceName]*known
	// version is that of the newest event applied; it never decreases.
	version store.Version
	loaded  bool
	// confirmed is when the newest answer of the platform was asked for.
	confirmed time.Time
}

type known struct {
	// number never decreases.
	number   RevisionNumber
	document spec.Document
	// readable is false until a document was accepted that this node can read.
	readable bool
	// proposal is the change that is on its way, if any.
	proposal string
	// promised is true from the moment at which the proposal may be accepted on
	// this instance's word: before the acknowledgement is sent, or from the
	// start if an earlier incarnation may have sent it.
	promised bool
	// sent is true once this incarnation has set about acknowledging.
	sent bool
}

// NewView returns the view of a node that has just started.
func NewView() *View { return &View{services: map[ident.ServiceName]*known{}} }

// Find returns a service's document and whether it may be served at a time.
func (v *View) Find(service ident.ServiceName, now time.Time) (ActiveDocument, Status) {
	k, ok := v.services[service]
	if !ok || !k.readable {
		return ActiveDocument{}, NotFound
	}
	found := ActiveDocument{Document: k.document, Number: k.number}
	if k.promised && now.Sub(v.confirmed) > MaxStaleness {
		return found, Unconfirmed
	}
	return found, Active
}

// All returns every document in force, by name.
func (v *View) All() []ActiveDocument {
	var all []ActiveDocument
	for _, k := range v.services {
		if k.readable {
			all = append(all, ActiveDocument{Document: k.document, Number: k.number})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Document.Service < all[j].Document.Service })
	return all
}

// ApplySnapshot takes over a whole listing that was asked for at a time. An answer that
// is older than what is known is dropped.
func (v *View) ApplySnapshot(listing store.Listing, asked time.Time) (faults []error) {
	if listing.Version < v.version {
		return nil
	}
	listed := map[ident.ServiceName]bool{}
	for _, object := range listing.Objects {
		listed[ident.ServiceName(object.Name)] = true
		faults = append(faults, v.place(object)...)
	}
	for service := range v.services {
		if !listed[service] {
			delete(v.services, service)
		}
	}
	v.confirm(listing.Version, asked)
	v.loaded = true
	return faults
}

// ApplyEvents takes over the events of a watch that was begun at a time.
func (v *View) ApplyEvents(batch store.Batch, asked time.Time) (faults []error) {
	for _, object := range batch.Events {
		if object.Version <= v.version {
			continue
		}
		if object.Deleted {
			delete(v.services, ident.ServiceName(object.Name))
			continue
		}
		faults = append(faults, v.place(object)...)
	}
	v.confirm(batch.Version, asked)
	return faults
}

// confirm uses the time at which an answer was asked for, because the answer
// says nothing of what happened after the platform made it.
func (v *View) confirm(version store.Version, asked time.Time) {
	v.version = max(v.version, version)
	if asked.After(v.confirmed) {
		v.confirmed = asked
	}
}

func (v *View) place(object store.Object) []error {
	sheet, err := ParseRecord(object.Value)
	if err != nil {
		return []error{err}
	}
	service := ident.ServiceName(object.Name)
	k, ok := v.services[service]
	if !ok {
		k = &known{}
		v.services[service] = k
	}
	if sheet.Proposal != k.proposal {
		k.proposal = sheet.Proposal
		k.promised = sheet.Proposal != "" && !v.loaded
		k.sent = false
	}
	if sheet.Current.Number <= k.number {
		return nil
	}
	// A document was checked before it was stored. If it cannot be read, this
	// node is too old for it and must not go on with the one before.
	document, err := spec.Parse(object.Name, []byte(sheet.Current.Text))
	k.number = sheet.Current.Number
	k.readable = err == nil
	k.document = document
	if err != nil {
		return []error{err}
	}
	return nil
}

// Pending returns the proposals that are on their way, by service.
func (v *View) Pending() map[ident.ServiceName]string {
	pending := map[ident.ServiceName]string{}
	for service, k := range v.services {
		if k.proposal != "" {
			pending[service] = k.proposal
		}
	}
	return pending
}

// Unacknowledged reports whether a proposal waits for this node.
func (v *View) Unacknowledged() bool {
	for _, k := range v.services {
		if k.proposal != "" && !k.sent {
			return true
		}
	}
	return false
}

// Acknowledge notes, before it is sent, that this node lets proposals through.
func (v *View) Acknowledge(proposals map[ident.ServiceName]string) {
	for service, proposal := range proposals {
		if k, ok := v.services[service]; ok && k.proposal == proposal {
			k.promised = true
			k.sent = true
		}
	}
}
