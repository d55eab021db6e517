// Package news is what processes tell each other of agreed state, so that one
// which the store turns away still learns of changes from its peers. Versions
// decide what is newer; nothing goes back.
package gossip

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"crocusstep/pool"
	"crocusstep/table"
)

const (
	// crashesMost is the crashes after which a request is not run any more.
	crashesMost = 3
	// crashLife is how long a crash counts against a request.
	crashLife = time.Minute
	// crashesKept bounds the memory for crashes; the oldest yield.
	crashesKept = 512
)

// Fingerprint identifies what a request asks for, under whatever id it comes.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(host, target string, body []byte) Fingerprint {
	sum := sha256.New()
	sum.Write([]byte(host + "\x00" + target + "\x00"))
	sum.Write(body)
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)[:8]))
}

// Crash is an endpoint's crash with a request aboard.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Attempt tells crashes of one request apart.
	Attempt string `json:"attempt"`
	// Age is how long ago it was seen, as clocks of processes differ.
	Age time.Duration `json:"age-ns"`
}

// Digest says how new a process's state is.
type Digest struct {
	Table     table.Version `json:"table"`
	Endpoints pool.Revision `json:"endpoints"`
	// Crashes is how many crashes are known.
	Crashes int `json:"crashes"`
}

// Message carries state from one process to another; parts that the receiver
// has already are left out.
type Message struct {
	Digest Digest `json:"digest"`
	// Sender names the process, so that receivers can count their peers.
	Sender string          `json:"sender"`
	Table  *table.Document `json:"table,omitempty"`
	// Endpoints is the whole list; Changes is what to change after Since instead.
	Endpoints []pool.Endpoint `json:"endpoints,omitempty"`
	Changes   []pool.Change   `json:"changes,omitempty"`
	Since     pool.Revision   `json:"since,omitempty"`
	Crashes   []Crash         `json:"crashes,omitempty"`
	// Peers is how many processes like the receiver were heard of lately.
	Peers int `json:"peers,omitempty"`
	// Rank is how many of their names come before the receiver's.
	Rank int `json:"rank"`
}

// AddEndpoints puts into a bulletin what a receiver lacks who is at a revision.
func (b *Message) AddEndpoints(p *pool.Pool, receiver pool.Revision) {
	b.Digest.Endpoints = p.Revision()
	if b.Digest.Endpoints <= receiver {
		return
	}
	if changes, known := p.ChangesSince(receiver); known {
		b.Changes, b.Since = changes, receiver
		return
	}
	b.Endpoints, b.Digest.Endpoints = p.Snapshot()
}

// ApplyEndpoints takes over what a bulletin says of endpoints; it reports whether that was
// news.
func (b *Message) ApplyEndpoints(p *pool.Pool) bool {
	before := p.Revision()
	switch {
	case b.Endpoints != nil:
		p.ApplySnapshot(b.Endpoints, b.Digest.Endpoints, false)
	case b.Changes != nil && p.Loaded() && before >= b.Since:
		p.ApplyChanges(b.Changes, b.Digest.Endpoints, false)
	}
	return p.Revision() > before
}

// CrashTracker counts crashes by request. It is safe for concurrent use.
type CrashTracker struct {
	mutex sync.Mutex
	// seen holds when each crash was seen, by attempt.
	seen map[Fingerprint]map[string]time.Time
	size int
	// cleared is when a request last ran to its end; crashes before do not count.
	cleared map[Fingerprint]time.Time
}

// NewCrashTracker returns an empty register.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{seen: map[Fingerprint]map[string]time.Time{}, cleared: map[Fingerprint]time.Time{}}
}

// RecordSuccess notes that a request ran to its end, so that it did not crash the
// endpoints which went down with it aboard before.
func (r *CrashTracker) RecordSuccess(f Fingerprint, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, suspected := r.seen[f]; suspected {
		r.cleared[f] = now
	}
}

// Record adds a crash and returns how many the request has caused.
func (r *CrashTracker) Record(c Crash, now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	of, known := r.seen[c.Fingerprint]
	if !known {
		of = map[string]time.Time{}
		r.seen[c.Fingerprint] = of
	}
	if _, counted := of[c.Attempt]; !counted {
		of[c.Attempt] = now.Add(-c.Age)
		r.size++
	}
	if r.size > crashesKept {
		r.expire(now)
	}
	return len(of)
}

// Blocked reports whether a request has crashed too many endpoints.
func (r *CrashTracker) Blocked(f Fingerprint, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recent := 0
	for _, at := range r.seen[f] {
		if now.Sub(at) < crashLife && at.After(r.cleared[f]) {
			recent++
		}
	}
	return recent >= crashesMost
}

// Crashes returns all crashes that still count.
func (r *CrashTracker) Crashes(now time.Time) []Crash {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	list := make([]Crash, 0, r.size)
	for f, of := range r.seen {
		for attempt, at := range of {
			list = append(list, Crash{Fingerprint: f, Attempt: attempt, Age: now.Sub(at)})
		}
	}
	return list
}

// Size returns how many crashes are known.
func (r *CrashTracker) Size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size
}

func (r *CrashTracker) expire(now time.Time) {
	for f, of := range r.seen {
		for attempt, at := range of {
			if now.Sub(at) > crashLife {
				delete(of, attempt)
				r.size--
			}
		}
		if len(of) == 0 {
			delete(r.seen, f)
			delete(r.cleared, f)
		}
	}
	for f, of := range r.seen {
		if r.size <= crashesKept {
			return
		}
		r.size -= len(of)
		delete(r.seen, f)
		delete(r.cleared, f)
	}
}
