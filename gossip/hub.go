package gossip

import (
	"sync"
	"time"

	"crocusstep/crash"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/store"
)

// peerTTL is how long a process counts as a peer after its last message.
const peerTTL = 4 * time.Second

// Hub keeps the newest state received from any process, for others to fetch. It does
// not act on it. It is safe for concurrent use.
type Hub struct {
	crashes   *crash.Tracker
	endpoints *pool.Pool

	mutex sync.Mutex
	// tableFreshness and endpointFreshness are how recent the table and the endpoints are.
	tableFreshness, endpointFreshness store.Freshness
	stamps                            *stamps
	// table is one that can be read, or nil.
	table *SharedTable
	// peers holds what is known of each sender.
	peers map[string]peer
	// heardSince is since when there has always been a peer: all are known from peerTTL after it.
	heardSince time.Time
}

// peer is a process that has recently sent a message.
type peer struct {
	heardAt time.Time
	zone    ident.ZoneName
	// available is set while the process takes requests.
	available bool
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{crashes: crash.NewTracker(), endpoints: pool.NewPool(), peers: map[string]peer{}, stamps: newStamps()}
}

// Exchange applies the newer parts of a message and returns what its sender lacks.
func (h *Hub) Exchange(in *Message, now time.Time) *Message {
	for _, c := range in.Crashes {
		h.crashes.RecordCrash(c, now)
	}
	h.crashes.ApplySounds(in.Sounds, now)
	h.adoptTable(in.SharedTable())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	in.ApplyEndpoints(h.endpoints)
	h.endpoints.AdoptHistory(in.History)
	h.endpoints.RemoveLapsed(now, time.Time{})
	h.updatePeers(in, now)
	h.confirm(in)
	out := &Message{Digest: NewDigest(h.crashes, now), Sounds: h.crashes.Sounds(now), Peers: len(h.peers), Rank: h.rank(in.Sender), Alone: h.isAlone(in, now)}
	out.History = h.endpoints.History()
	if h.table != nil {
		out.Digest.Table = h.table.Version()
		if h.table.Version() > in.Digest.Table {
			out.AddTable(h.table, in.Digest)
		}
	}
	out.AddEndpoints(h.endpoints, in.Digest.Endpoints)
	out.Confirmation = Confirm(h.stamps.issue(now), now, &h.tableFreshness, &h.endpointFreshness)
	heardAt := time.Time{}
	if in.HeardAge > 0 {
		heardAt = now.Add(-in.HeardAge)
	}
	out.Crashes = MissingCrashes(h.crashes, in.Digest, heardAt, now)
	return out
}

// confirm records how recent the state is, if it is at least as new as the sender's. A message may have been on
// its way for long, so only the moment of a stamp counts.
func (h *Hub) confirm(in *Message) {
	if in.Confirmation == nil {
		return
	}
	moment, remembered := h.stamps.moment(in.Confirmation.Stamp)
	if !remembered {
		return
	}
	var tables, endpoints *store.Freshness
	if h.table != nil && h.table.Version() >= in.Digest.Table {
		tables = &h.tableFreshness
	}
	if h.endpoints.Revision() >= in.Digest.Endpoints {
		endpoints = &h.endpointFreshness
	}
	in.Confirmation.Apply(moment, tables, endpoints)
}

// adoptTable keeps a table that is newer and can be read.
func (h *Hub) adoptTable(t *SharedTable) {
	if t == nil {
		return
	}
	h.mutex.Lock()
	lacks := h.lacks(t)
	h.mutex.Unlock()
	if !lacks {
		return
	}
	if _, err := t.Document(); err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.lacks(t) {
		h.table = t
	}
}

// lacks is called with the mutex.
func (h *Hub) lacks(t *SharedTable) bool {
	return h.table == nil || t.Version() > h.table.Version()
}

func (h *Hub) updatePeers(in *Message, now time.Time) {
	for name, p := range h.peers {
		if now.Sub(p.heardAt) > peerTTL {
			delete(h.peers, name)
		}
	}
	if len(h.peers) == 0 {
		h.heardSince = now
	}
	if in.Sender != "" {
		h.peers[in.Sender] = peer{heardAt: now, zone: in.Zone, available: in.Available}
	}
}

// isAlone reports whether no other peer of the sender's zone takes requests. The peers of a sender
// without a zone are not known, nor are those of a hub that has just started.
func (h *Hub) isAlone(in *Message, now time.Time) bool {
	if in.Zone == "" || now.Sub(h.heardSince) < peerTTL {
		return false
	}
	for name, p := range h.peers {
		if name != in.Sender && p.zone == in.Zone && p.available {
			return false
		}
	}
	return true
}

// rank returns the number of peers whose names sort before the given one.
func (h *Hub) rank(of string) int {
	rank := 0
	for name := range h.peers {
		if name < of {
			rank++
		}
	}
	return rank
}
