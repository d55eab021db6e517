// Package crash finds the requests, and the parts of prompts, that crash each endpoint that
// runs them.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes is the number of recent crashes after which a request, or prompts with a
	// part, are blocked.
	maxCrashes = 3
	// requestCrashTTL is how long a crash counts against a request. Crashes of a blocked request count
	// for blockedCrashTTL: they outlast each quarantine, so that no request is let through at all
	// relays at once because they forget its crashes.
	requestCrashTTL = time.Minute
	blockedCrashTTL = 4 * time.Hour
	// partCrashTTL is how long a crash counts against a part of a prompt. It is longer than
	// quarantine, so that a single crash after it blocks the part again.
	partCrashTTL = 10 * time.Minute
	// minRemaining is the time before it expires in which a crash is not learned any more. Clocks
	// and messages differ by less, so that trackers don't learn it again from each other.
	minRemaining = 5 * time.Second
	// maxStoredCrashes limits the memory for crashes of any age.
	maxStoredCrashes = 512
)

// Fingerprint identifies the content of a request, whatever its id.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(host, target string, body []byte) Fingerprint {
	sum := sha256.New()
	sum.Write([]byte(host + "\x00" + target + "\x00"))
	sum.Write(body)
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)[:8]))
}

// Report is an endpoint's crash while it ran a request.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Attempt distinguishes the crashes of one request.
	Attempt string `json:"attempt"`
	// Endpoint is the name of the endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	// Parts are the shared parts of the request's prompt. They are empty if its output had
	// begun, as another request is the cause then.
	Parts []PartID `json:"parts,omitempty"`
	// Blocked is set if the request was blocked, for which the crash alone is evidence enough then.
	Blocked bool `json:"blocked,omitempty"`
	// Age is the time since the crash; a timestamp would need synchronized clocks.
	Age time.Duration `json:"age-ns"`
}

// crashKey identifies a crash.
type crashKey struct {
	fingerprint Fingerprint
	attempt     string
}

// storedCrash is a crash with its time by the local clock.
type storedCrash struct {
	Report
	at time.Time
	// learnedAt is when this tracker last learned something of the crash.
	learnedAt time.Time
}

func (c *storedCrash) key() crashKey { return crashKey{c.Fingerprint, c.Attempt} }

// sum returns a number that identifies the crash.
func (k crashKey) sum() uint64 {
	sum := sha256.Sum256([]byte(string(k.fingerprint) + "\x00" + k.attempt))
	return binary.BigEndian.Uint64(sum[:])
}

// Digest identifies a set of crashes: trackers with equal ones know the same crashes.
type Digest struct {
	Count int `json:"count"`
	// Sum is that of the crashes' own sums, in any order.
	Sum uint64 `json:"sum"`
}

func (c *storedCrash) expired(now time.Time) bool {
	ttl := requestCrashTTL
	switch {
	case c.Blocked:
		ttl = blockedCrashTTL
	case len(c.Parts) > 0:
		ttl = partCrashTTL
	}
	return now.Sub(c.at) > ttl
}

// Tracker counts crashes by request and by part of a prompt. It is safe for concurrent use.
type Tracker struct {
	mutex sync.Mutex
	// crashes holds each crash once.
	crashes map[crashKey]*storedCrash
	// requests holds the requests in crashes.
	requests map[Fingerprint]*request
	// parts holds the parts of the prompts in crashes.
	parts map[PartID]*part
	// probeDelay prolongs the quarantine of parts, differently at each tracker.
	probeDelay time.Duration
	// sum is that of the keys of all crashes.
	sum uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		crashes: map[crashKey]*storedCrash{}, requests: map[Fingerprint]*request{}, parts: map[PartID]*part{}, probeDelay: randomProbeDelay(),
	}
}

// RecordSuccess records that a request completed: earlier crashes of endpoints that ran
// it then no longer count against it.
func (t *Tracker) RecordSuccess(f Fingerprint, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.recordSuccess(f, now)
}

func (t *Tracker) recordSuccess(f Fingerprint, at time.Time) {
	if r, known := t.requests[f]; known && at.After(r.succeededAt) {
		r.succeededAt = at
	}
}

// RecordCrash adds a crash and returns the number of stored crashes of its request.
func (t *Tracker) RecordCrash(r Report, now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stored := &storedCrash{Report: r, at: now.Add(-r.Age), learnedAt: now}
	if r.Age > partCrashTTL {
		stored.Parts = nil
	}
	switch known, found := t.crashes[stored.key()]; {
	case found && r.Blocked && !known.Blocked:
		known.Blocked, known.learnedAt = true, now
	case found:
	case !stored.expired(now.Add(minRemaining)):
		t.add(stored)
	}
	if len(t.crashes) > maxStoredCrashes {
		t.expire(now)
	}
	if known, found := t.requests[r.Fingerprint]; found {
		return len(known.crashes)
	}
	return 0
}

func (t *Tracker) add(c *storedCrash) {
	t.crashes[c.key()] = c
	t.sum += c.key().sum()
	r, known := t.requests[c.Fingerprint]
	if !known {
		r = &request{crashes: map[crashKey]*storedCrash{}}
		t.requests[c.Fingerprint] = r
	}
	r.crashes[c.key()] = c
	r.markBlocked()
	t.addParts(c)
}

// Blocked reports whether a request, or prompts with some of its parts, have crashed too
// many endpoints.
func (t *Tracker) Blocked(f Fingerprint, parts []PartID, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.requestBlocked(f, now) || len(t.blockingParts(parts)) > 0
}

// Crashes returns all crashes that have not expired.
func (t *Tracker) Crashes(now time.Time) []Report { return t.CrashesSince(time.Time{}, now) }

// CrashesSince returns the crashes that have not expired and of which the tracker has learned since
// a time.
func (t *Tracker) CrashesSince(since, now time.Time) []Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	var list []Report
	for _, c := range t.crashes {
		if c.learnedAt.Before(since) {
			continue
		}
		listed := c.Report
		listed.Age = now.Sub(c.at)
		list = append(list, listed)
	}
	return list
}

// Digest returns the digest of the crashes that have not expired.
func (t *Tracker) Digest(now time.Time) Digest {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	return Digest{Count: len(t.crashes), Sum: t.sum}
}

// Size returns the number of stored crashes.
func (t *Tracker) Size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.crashes)
}

// expire deletes expired crashes, and then the oldest until the limit holds, first those
// that count against no part and no blocked request.
func (t *Tracker) expire(now time.Time) {
	var remaining []*storedCrash
	for _, c := range t.crashes {
		if c.expired(now) {
			t.remove(c)
			continue
		}
		if len(c.Parts) > 0 && now.Sub(c.at) > partCrashTTL {
			t.removeParts(c)
			c.Parts = nil
		}
		remaining = append(remaining, c)
	}
	excess := len(remaining) - maxStoredCrashes
	if excess <= 0 {
		return
	}
	slices.SortFunc(remaining, func(a, b *storedCrash) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.at.Compare(b.at))
	})
	for _, c := range remaining[:excess] {
		t.remove(c)
	}
}

func (t *Tracker) remove(c *storedCrash) {
	delete(t.crashes, c.key())
	t.sum -= c.key().sum()
	if r := t.requests[c.Fingerprint]; len(r.crashes) > 1 {
		delete(r.crashes, c.key())
	} else {
		delete(t.requests, c.Fingerprint)
	}
	t.removeParts(c)
}
