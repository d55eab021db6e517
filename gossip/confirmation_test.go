package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/store"
	"crocusstep/table"
)

// TestLateMessageConfirmsNothing guards against hubs that take what a relay knew long ago for what is known now: a frozen hub
// reads messages late, and a relay that trusts it serves by an old table for longer than allowed.
func TestLateMessageConfirmsNothing(t *testing.T) {
	scenarios := []struct {
		testName string
		// late is how long the message is on its way, older whether its sender has an older table than the hub.
		late    time.Duration
		version table.Version
		stamp   func(Stamp) Stamp
		age     time.Duration
	}{
		{testName: "a message in time", version: 2, age: time.Second},
		{testName: "a message that was read late", late: 5 * time.Second, version: 2, age: 6 * time.Second},
		{testName: "a sender with an older table, which was the newest at that time", version: 1, age: time.Second},
		{testName: "a sender with a newer table that the hub lacks", version: 3, age: -1},
		{testName: "a stamp of an earlier incarnation", version: 2, stamp: func(s Stamp) Stamp { s.Hub++; return s }, age: -1},
		{testName: "a stamp that was never made", version: 2, stamp: func(s Stamp) Stamp { s.Sequence += 7; return s }, age: -1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHub()
				first := &Message{Sender: "a"}
				first.AddTable(ShareTable(&table.Document{Version: 2}), Digest{})
				first.Digest.Table = 2
				stamp := h.Exchange(first, time.Now()).Confirmation.Stamp
				if s.stamp != nil {
					stamp = s.stamp(stamp)
				}
				received := time.Now()
				time.Sleep(time.Second)
				var tables, endpoints store.Freshness
				tables.Confirm(received)
				message := &Message{Sender: "a", Confirmation: Confirm(stamp, received, &tables, &endpoints)}
				message.Digest.Table = s.version
				time.Sleep(s.late)
				answer := h.Exchange(message, time.Now())
				if s.age < 0 {
					assert.Assert(t, answer.Confirmation.Table == nil)
					return
				}
				assert.Equal(t, *answer.Confirmation.Table, -s.age)
				assert.Assert(t, answer.Confirmation.Endpoints == nil)
			})
		})
	}
}
