package gossip

import (
	"math/rand/v2"
	"time"

	"crocusstep/store"
)

// Stamp names a moment on a hub's clock. A relay returns it, so that the hub can tell how old what the
// relay says is at least, however long the message was on its way.
type Stamp struct {
	// Hub identifies the incarnation of the hub.
	Hub      uint64 `json:"hub"`
	Sequence int64  `json:"sequence"`
}

// Confirmation is how recent the sender's state is, relative to the moment of a stamp: negative if the state
// may lack later changes. Parts that are nil are not known.
type Confirmation struct {
	Stamp     Stamp          `json:"stamp"`
	Table     *time.Duration `json:"table-ns,omitempty"`
	Endpoints *time.Duration `json:"endpoints-ns,omitempty"`
}

// Confirm returns a confirmation relative to the moment at which the stamp was received or made.
func Confirm(stamp Stamp, moment time.Time, tables, endpoints *store.Freshness) *Confirmation {
	c := &Confirmation{Stamp: stamp}
	if lead, known := tables.Lead(moment); known {
		c.Table = &lead
	}
	if lead, known := endpoints.Lead(moment); known {
		c.Endpoints = &lead
	}
	return c
}

// Apply records what a confirmation says of the parts that are at least as new as those of its sender.
// The moment is that of the stamp, or an earlier one.
func (c *Confirmation) Apply(moment time.Time, tables, endpoints *store.Freshness) {
	if c.Table != nil && tables != nil {
		tables.Confirm(moment.Add(*c.Table))
	}
	if c.Endpoints != nil && endpoints != nil {
		endpoints.Confirm(moment.Add(*c.Endpoints))
	}
}

// stampCount is how many stamps of a hub are remembered: more than hundreds of relays receive between two of
// their messages.
const stampCount = 4096

// stamps holds when a hub made its last stamps.
type stamps struct {
	hub uint64
	// next is the sequence number of the next stamp; at holds when those before it were made.
	next int64
	at   [stampCount]time.Time
}

func newStamps() *stamps { return &stamps{hub: rand.Uint64()} }

// issue returns a stamp of the given moment.
func (s *stamps) issue(now time.Time) Stamp {
	stamp := Stamp{Hub: s.hub, Sequence: s.next}
	s.at[s.next%stampCount] = now
	s.next++
	return stamp
}

// moment returns when a stamp was made. It reports false if that is not remembered.
func (s *stamps) moment(stamp Stamp) (at time.Time, remembered bool) {
	if stamp.Hub != s.hub || stamp.Sequence < 0 || stamp.Sequence >= s.next || stamp.Sequence < s.next-stampCount {
		return at, false
	}
	return s.at[stamp.Sequence%stampCount], true
}
