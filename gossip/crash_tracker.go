package gossip

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// maxCrashes is the number of recent crashes after which a request is blocked.
	maxCrashes = 3
	// crashTTL is how long a crash counts against a request.
	crashTTL = time.Minute
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

// Crash is an endpoint's crash while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Attempt distinguishes the crashes of one request.
	Attempt string `json:"attempt"`
	// Age is the time since the crash; a timestamp would need synchronized clocks.
	Age time.Duration `json:"age-ns"`
}

// CrashTracker counts crashes by request. It is safe for concurrent use.
type CrashTracker struct {
	mutex sync.Mutex
	// crashedAt holds the time of each crash by attempt.
	crashedAt map[Fingerprint]map[string]time.Time
	size      int
	// succeededAt is when a request last completed; earlier crashes do not count.
	succeededAt map[Fingerprint]time.Time
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{crashedAt: map[Fingerprint]map[string]time.Time{}, succeededAt: map[Fingerprint]time.Time{}}
}

// RecordSuccess records that a request completed: earlier crashes of endpoints that ran
// it then no longer count against it.
func (t *CrashTracker) RecordSuccess(f Fingerprint, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, suspected := t.crashedAt[f]; suspected {
		t.succeededAt[f] = now
	}
}

// RecordCrash adds a crash and returns the number of stored crashes of its request.
func (t *CrashTracker) RecordCrash(c Crash, now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	attempts, known := t.crashedAt[c.Fingerprint]
	if !known {
		attempts = map[string]time.Time{}
		t.crashedAt[c.Fingerprint] = attempts
	}
	if _, counted := attempts[c.Attempt]; !counted {
		attempts[c.Attempt] = now.Add(-c.Age)
		t.size++
	}
	if t.size > maxStoredCrashes {
		t.expire(now)
	}
	return len(attempts)
}

// Blocked reports whether a request has crashed too many endpoints.
func (t *CrashTracker) Blocked(f Fingerprint, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	recent := 0
	for _, at := range t.crashedAt[f] {
		if now.Sub(at) < crashTTL && at.After(t.succeededAt[f]) {
			recent++
		}
	}
	return recent >= maxCrashes
}

// Crashes returns all crashes that have not expired.
func (t *CrashTracker) Crashes(now time.Time) []Crash {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	list := make([]Crash, 0, t.size)
	for f, attempts := range t.crashedAt {
		for attempt, at := range attempts {
			list = append(list, Crash{Fingerprint: f, Attempt: attempt, Age: now.Sub(at)})
		}
	}
	return list
}

// Size returns the number of stored crashes.
func (t *CrashTracker) Size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.size
}

// expire deletes expired crashes, and then others until the limit holds.
func (t *CrashTracker) expire(now time.Time) {
	for f, attempts := range t.crashedAt {
		for attempt, at := range attempts {
			if now.Sub(at) > crashTTL {
				delete(attempts, attempt)
				t.size--
			}
		}
		if len(attempts) == 0 {
			delete(t.crashedAt, f)
			delete(t.succeededAt, f)
		}
	}
	for f, attempts := range t.crashedAt {
		if t.size <= maxStoredCrashes {
			return
		}
		t.size -= len(attempts)
		delete(t.crashedAt, f)
		delete(t.succeededAt, f)
	}
}
