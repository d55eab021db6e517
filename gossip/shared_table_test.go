package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/table"
)

// overTheWire returns the message that a receiver decodes.
func overTheWire(t *testing.T, m *Message) (received *Message) {
	t.Helper()
	data, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &received))
	return received
}

func compress(t *testing.T, data []byte) []byte {
	t.Helper()
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	_, err := w.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return buffer.Bytes()
}

// TestTableForms guards against a hub that hands on a table which its receivers cannot read: relays of
// an earlier build read no packed tables, and a broken one would hide those that can be read.
func TestTableForms(t *testing.T) {
	document := &table.Document{Version: 7, Routes: []table.Route{{Name: "r"}}}
	packed, err := packTable(document)
	assert.NilError(t, err)
	scenarios := []struct {
		testName string
		sent     Message
		kept     bool
	}{
		{testName: "plain", sent: Message{Table: document}, kept: true},
		{testName: "packed", sent: Message{PackedTable: &PackedTable{Version: 7, Data: packed}}, kept: true},
		{testName: "cut", sent: Message{PackedTable: &PackedTable{Version: 7, Data: packed[:len(packed)-1]}}},
		{testName: "empty", sent: Message{PackedTable: &PackedTable{Version: 7}}},
		{testName: "no table", sent: Message{PackedTable: &PackedTable{Version: 7, Data: compress(t, []byte("[]"))}}},
		{testName: "of another version", sent: Message{PackedTable: &PackedTable{Version: 8, Data: packed}}},
		{testName: "without end", sent: Message{PackedTable: &PackedTable{Version: 7, Data: compress(t, make([]byte, maxTableBytes+1))}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			h := NewHub()
			h.Exchange(&Message{Table: &table.Document{Version: 6}}, start)
			h.Exchange(overTheWire(t, &s.sent), start)
			current := overTheWire(t, h.Exchange(&Message{Digest: Digest{ReadsPacked: true}}, start))
			earlier := overTheWire(t, h.Exchange(&Message{}, start))
			assert.Assert(t, current.Table == nil && earlier.PackedTable == nil)
			want := table.Version(6)
			if s.kept {
				want = 7
			}
			d, err := current.SharedTable().Document()
			assert.NilError(t, err)
			assert.Equal(t, d.Version, want)
			assert.Equal(t, earlier.Table.Version, want)
			assert.Equal(t, earlier.Digest.Table, want)
			if s.kept {
				assert.DeepEqual(t, d, document)
				assert.DeepEqual(t, earlier.Table, document)
			}
		})
	}
}
