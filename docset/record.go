package docset

import (
	"encoding/json"

	"crocusstep/fault"
	"crocusstep/ident"
)

// RevisionNumber counts the accepted documents of a service, from one.
type RevisionNumber int64

// Revision is a document with its number.
type Revision struct {
	Number RevisionNumber `json:"number"`
	// Text is the YAML as the team wrote it.
	Text string `json:"text"`
}

// Record is the value of a service's object: the document in force and, while a
// change is on its way, the one that may replace it.
type Record struct {
	// Current has number zero until a first document was accepted.
	Current Revision `json:"current"`
	// Staged is set between the proposal of a change and its acceptance or
	// withdrawal. Its number is Current.Number + 1.
	Staged *Revision `json:"staged,omitempty"`
	// Proposal tells two proposals with the same number apart.
	Proposal string `json:"proposal,omitempty"`
}

// ParseRecord decodes the value of a service's object.
func ParseRecord(value []byte) (sheet Record, err error) {
	defer fault.Annotate(&err, "parse a service's sheet")
	return sheet, json.Unmarshal(value, &sheet)
}

// Encode returns the value of the service's object.
func (s Record) Encode() ([]byte, error) { return json.Marshal(s) }

// Acks is the value of an entry's acknowledgement object: the proposals that it
// has seen, by service.
type Acks struct {
	Proposals map[ident.ServiceName]string `json:"proposals"`
}

// ParseAcks decodes an acknowledgement object.
func ParseAcks(value []byte) (acks Acks, err error) {
	defer fault.Annotate(&err, "parse acknowledgements")
	return acks, json.Unmarshal(value, &acks)
}
