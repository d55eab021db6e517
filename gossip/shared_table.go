package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"crocusstep/fault"
	"crocusstep/table"
)

// maxTableBytes limits a decompressed table, as a message without compression is limited.
const maxTableBytes = 8 << 20

// PackedTable is a compressed routing table. A copy for each relay of a large one would fill the link
// between two regions.
type PackedTable struct {
	Version table.Version `json:"version"`
	// Data is the table's Document as JSON, compressed by gzip.
	Data []byte `json:"gzip"`
}

// SharedTable is a routing table that is encoded and decoded once, however many peers it comes from or
// goes to. It is safe for concurrent use.
type SharedTable struct {
	version  table.Version
	document func() (*table.Document, error)
	packed   func() ([]byte, error)
}

// ShareTable returns a table to share with peers.
func ShareTable(d *table.Document) *SharedTable {
	return &SharedTable{
		version:  d.Version,
		document: func() (*table.Document, error) { return d, nil },
		packed:   sync.OnceValues(func() ([]byte, error) { return packTable(d) }),
	}
}

func sharePacked(p *PackedTable) *SharedTable {
	return &SharedTable{
		version:  p.Version,
		document: sync.OnceValues(func() (*table.Document, error) { return unpackTable(p) }),
		packed:   func() ([]byte, error) { return p.Data, nil },
	}
}

// Version returns the table's version.
func (t *SharedTable) Version() table.Version { return t.version }

// Document returns the table itself, or an error if the peer that packed it has sent something else.
func (t *SharedTable) Document() (*table.Document, error) { return t.document() }

func packTable(d *table.Document) (data []byte, err error) {
	defer fault.Annotate(&err, "pack routing table %d", d.Version)
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(writer).Encode(d); err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

func unpackTable(p *PackedTable) (d *table.Document, err error) {
	defer fault.Annotate(&err, "unpack routing table %d", p.Version)
	reader, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return nil, err
	}
	// Reading to the end checks the sum of all bytes.
	data, err := io.ReadAll(io.LimitReader(reader, maxTableBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxTableBytes:
		return nil, fmt.Errorf("it is longer than %d bytes", maxTableBytes)
	}
	d = &table.Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, err
	}
	if d.Version != p.Version {
		return nil, fmt.Errorf("it has version %d", d.Version)
	}
	return d, nil
}

// AddTable adds a table in the form that the receiver reads.
func (m *Message) AddTable(t *SharedTable, receiver Digest) {
	if receiver.ReadsPacked {
		if data, err := t.packed(); err == nil {
			m.PackedTable = &PackedTable{Version: t.version, Data: data}
			return
		}
	}
	if d, err := t.document(); err == nil {
		m.Table = d
	}
}

// SharedTable returns the table that the message carries, or nil.
func (m *Message) SharedTable() *SharedTable {
	switch {
	case m.PackedTable != nil:
		return sharePacked(m.PackedTable)
	case m.Table != nil:
		return ShareTable(m.Table)
	}
	return nil
}
