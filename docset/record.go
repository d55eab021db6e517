package docset

import (
	"encoding/json"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/store"
)

// RevisionNumber counts the accepted revisions of a service's document, from one.
type RevisionNumber int64

// Revision is a service's document with its revision number.
type Revision struct {
	// Era is the store's era at the proposal. Revisions compare by era first: after a
	// restore of the store from a copy, numbers may be assigned again.
	Era    store.Era      `json:"era,omitempty"`
	Number RevisionNumber `json:"number"`
	// Text is the YAML as the team wrote it.
	Text string `json:"text"`
}

// after reports whether the revision was accepted after another one.
func (r Revision) after(other Revision) bool {
	return r.Era > other.Era || r.Era == other.Era && r.Number > other.Number
}

// Record is the value of a service's object: the active revision and, while a
// change is pending, the one that may replace it.
type Record struct {
	// Current is the active revision; its number is zero until one was accepted.
	Current Revision `json:"current"`
	// Staged is set between the proposal of a change and its acceptance or
	// withdrawal. Its number is Current.Number + 1.
	Staged *Revision `json:"staged,omitempty"`
	// Proposal is a nonce that distinguishes proposals with the same number.
	Proposal string `json:"proposal,omitempty"`
}

// ParseRecord decodes the value of a service's object.
func ParseRecord(value []byte) (record Record, err error) {
	defer fault.Annotate(&err, "parse a service's record")
	return record, json.Unmarshal(value, &record)
}

// Encode returns the value of the service's object.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Acks is the value of an entry's acknowledgement object: the pending proposals
// that it has acknowledged, by service.
type Acks struct {
	Proposals map[ident.ServiceName]string `json:"proposals"`
}

// ParseAcks decodes an acknowledgement object.
func ParseAcks(value []byte) (acks Acks, err error) {
	defer fault.Annotate(&err, "parse acknowledgements")
	return acks, json.Unmarshal(value, &acks)
}
