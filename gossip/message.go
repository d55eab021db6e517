// Package gossip exchanges versioned state between processes, so that a process whose
// calls the store rejects still receives changes, from its peers. Versions never decrease.
package gossip

import (
	"time"

	"crocusstep/crash"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/table"
)

// Digest is the version of a process's state.
type Digest struct {
	Table     table.Version `json:"table"`
	Endpoints pool.Revision `json:"endpoints"`
	// Crashes identifies the known crashes.
	Crashes crash.Digest `json:"crash-digest"`
	// CrashCount is the number of known crashes, which peers of an earlier build compare.
	CrashCount int `json:"crashes"`
	// ReadsPacked is set by processes that read packed tables; those of an earlier build do not.
	ReadsPacked bool `json:"reads-packed-tables,omitempty"`
}

// NewDigest returns the digest of a process that knows some crashes and nothing else.
func NewDigest(crashes *crash.Tracker, now time.Time) Digest {
	known := crashes.Digest(now)
	return Digest{Crashes: known, CrashCount: known.Count, ReadsPacked: true}
}

// LacksCrashes reports whether a process with this digest lacks some of the crashes of another one.
func (d Digest) LacksCrashes(other Digest) bool {
	return other.Crashes.Count > 0 && d.Crashes != other.Crashes
}

// heardMargin is subtracted from the time of a peer's last exchange, as messages take a while.
const heardMargin = time.Second

// MissingCrashes returns the crashes that a peer with a digest may lack, if it has heard of all that
// were known at a time. A peer that differs for another reason, as after a restart, gets all.
func MissingCrashes(known *crash.Tracker, theirs Digest, heardAt, now time.Time) []crash.Report {
	own := NewDigest(known, now)
	if !theirs.LacksCrashes(own) {
		return nil
	}
	recent := known.CrashesSince(heardAt.Add(-heardMargin), now)
	if len(recent) == 0 || theirs.Crashes.Count+len(recent) < own.Crashes.Count {
		return known.Crashes(now)
	}
	return recent
}

// Message carries state from one process to another, without the parts that the
// receiver has.
type Message struct {
	Digest Digest `json:"digest"`
	// Sender is the name of the process, by which receivers count their peers.
	Sender string `json:"sender"`
	// PackedTable and Table are the two forms of a table; AddTable chooses one.
	PackedTable *PackedTable    `json:"packed-table,omitempty"`
	Table       *table.Document `json:"table,omitempty"`
	// Endpoints is a snapshot. Alternatively, Changes are the changes after the
	// revision Since.
	Endpoints []pool.Endpoint `json:"endpoints,omitempty"`
	Changes   []pool.Change   `json:"changes,omitempty"`
	Since     pool.Revision   `json:"since,omitempty"`
	// History is what the sender knows of the endpoints' software versions of the past.
	History *pool.History  `json:"history,omitempty"`
	Crashes []crash.Report `json:"crashes,omitempty"`
	// HeardAge is the time since the last exchange in which the sender heard the receiver's crashes,
	// zero if there was none.
	HeardAge time.Duration `json:"heard-age-ns,omitempty"`
	// Sounds are the parts of prompts in crashes that are sound.
	Sounds []crash.Sound `json:"sounds,omitempty"`
	// Confirmation is how recent the sender's table and endpoints are. In a response, its stamp is that of the
	// response; in a message to a hub, the one that the sender received from that hub last.
	Confirmation *Confirmation `json:"confirmation,omitempty"`
	// Zone is the sender's zone. Available is set while the load balancer sends the sender requests
	// and its process does not stop.
	Zone      ident.ZoneName `json:"zone,omitempty"`
	Available bool           `json:"available,omitempty"`
	// Alone is set if no other process of the receiver's zone takes requests, as far as the hub knows.
	Alone bool `json:"alone,omitempty"`
	// Peers is the number of processes that have recently sent the hub a message,
	// including the receiver.
	Peers int `json:"peers,omitempty"`
	// Rank is the number of peers whose names sort before the receiver's.
	Rank int `json:"rank"`
}

// AddEndpoints adds the endpoint changes that a receiver at the given revision lacks, or
// a snapshot if the changes are no longer known, as those from before a restore.
func (m *Message) AddEndpoints(p *pool.Pool, receiver pool.Revision) {
	m.Digest.Endpoints = p.Revision()
	if m.Digest.Endpoints <= receiver {
		return
	}
	if changes, known := p.ChangesSince(receiver); known {
		m.Changes, m.Since = changes, receiver
		return
	}
	m.Endpoints, m.Digest.Endpoints = p.Snapshot()
}

// ApplyEndpoints applies a message's endpoints to a pool and reports whether the pool
// changed.
func (m *Message) ApplyEndpoints(p *pool.Pool) bool {
	before := p.Revision()
	switch {
	case m.Endpoints != nil:
		p.ApplyPeerSnapshot(m.Endpoints, m.Digest.Endpoints)
	case m.Changes != nil && p.Loaded() && before >= m.Since:
		p.ApplyChanges(m.Changes, m.Digest.Endpoints, false)
	}
	return p.Revision() > before
}
