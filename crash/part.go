package crash

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minEndpoints is the number of endpoints that must have crashed: a single one may be
	// broken itself.
	minEndpoints = 2
	// incidentWindow is the time within which crashes count once, as endpoints that fail
	// together have a common cause outside the requests. It includes the delays of reports.
	incidentWindow = 200 * time.Millisecond
	// quarantine is how long prompts with a blocked part are refused after the last crash,
	// before a few are tried again.
	quarantine = time.Minute
	// soundQuarantineShare divides quarantine for parts that were sound before, since they
	// may be so again.
	soundQuarantineShare = 4
	// probeInterval is the time between two such tries.
	probeInterval = 10 * time.Second
)

// PartID identifies a part of prompts that several prompts may share.
type PartID string

// Sound reports that an output was begun for a prompt with a part, or that a request completed.
type Sound struct {
	// Part is empty in the report on a request.
	Part    PartID      `json:"part,omitempty"`
	Request Fingerprint `json:"request,omitempty"`
	// Age is the time since then.
	Age time.Duration `json:"age-ns"`
}

// part is what is known of a part that was in the prompt of a crash.
type part struct {
	crashes map[crashKey]*storedCrash
	// soundAt is when an output was last begun for a prompt with the part; earlier crashes
	// had another cause.
	soundAt time.Time
	// probedAt is when a prompt with the part was last tried while it was blocked.
	probedAt time.Time
}

// randomProbeDelay spreads the first tries over trackers, so that their reports reach the
// others before most have tried.
func randomProbeDelay() time.Duration { return rand.N(quarantine) }

func (t *Tracker) addParts(c *storedCrash) {
	for _, id := range c.Parts {
		p, known := t.parts[id]
		if !known {
			p = &part{crashes: map[crashKey]*storedCrash{}}
			t.parts[id] = p
		}
		p.crashes[c.key()] = c
	}
}

func (t *Tracker) removeParts(c *storedCrash) {
	for _, id := range c.Parts {
		p, known := t.parts[id]
		if !known {
			continue
		}
		delete(p.crashes, c.key())
		if len(p.crashes) == 0 {
			delete(t.parts, id)
		}
	}
}

// suspicion is the evidence against a part.
type suspicion struct {
	// crashes are those since an output was last begun for a prompt with the part, the
	// oldest first.
	crashes []*storedCrash
	// incidents counts the crashes, of which those at the same time count once.
	incidents int
	endpoints int
	// common holds the parts that all prompts of the crashes share.
	common []PartID
}

func newSuspicion(crashes []*storedCrash) suspicion {
	s := suspicion{crashes: crashes}
	var counted time.Time
	endpoints := map[string]bool{}
	for i, c := range crashes {
		if i == 0 {
			s.common = slices.Clone(c.Parts)
		}
		s.common = slices.DeleteFunc(s.common, func(id PartID) bool { return !slices.Contains(c.Parts, id) })
		if s.incidents == 0 || c.at.Sub(counted) >= incidentWindow {
			s.incidents++
			counted = c.at
		}
		endpoints[c.Endpoint] = true
	}
	s.endpoints = len(endpoints)
	return s
}

// sufficient reports whether the evidence suffices to block prompts.
func (s suspicion) sufficient() bool {
	return s.incidents >= maxCrashes && s.endpoints >= minEndpoints
}

// explains reports whether the part of the suspicion was in a prompt of a crash, or of
// another crash of the same endpoint at that time.
func (s suspicion) explains(c *storedCrash) bool {
	return slices.ContainsFunc(s.crashes, func(other *storedCrash) bool {
		return other.Endpoint == c.Endpoint && c.at.Sub(other.at).Abs() <= incidentWindow
	})
}

func (p *part) suspicion() suspicion {
	list := make([]*storedCrash, 0, len(p.crashes))
	for _, c := range p.crashes {
		if c.at.After(p.soundAt) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *storedCrash) int { return a.at.Compare(b.at) })
	return newSuspicion(list)
}

// suspect returns the evidence against a part that rarer parts do not explain. A part of
// many prompts is in each crash that one of them causes, and in those of the prompts beside
// it. If it was sound before, the crashes that a rarer part explains do not count; else they
// count unless the rarer part explains them all.
func (t *Tracker) suspect(p *part) suspicion {
	s := p.suspicion()
	if !s.sufficient() {
		return s
	}
	for _, other := range t.parts {
		if len(other.crashes) < maxCrashes || len(other.crashes) >= len(p.crashes) {
			continue
		}
		explanation := other.suspicion()
		if !explanation.sufficient() {
			continue
		}
		unexplained := slices.DeleteFunc(slices.Clone(s.crashes), explanation.explains)
		if len(unexplained) == 0 || !p.soundAt.IsZero() {
			s = newSuspicion(unexplained)
		}
	}
	return s
}

// blockingParts returns the parts because of which a prompt is blocked. A part blocks only
// prompts with all parts that the prompts of its crashes share: any of these may be the
// cause, and others of them may be in sound prompts.
func (t *Tracker) blockingParts(parts []PartID) []*part {
	var blocking []*part
	for _, id := range parts {
		p, known := t.parts[id]
		if !known || len(p.crashes) < maxCrashes {
			continue
		}
		s := t.suspect(p)
		missing := func(id PartID) bool { return !slices.Contains(parts, id) }
		if s.sufficient() && !slices.ContainsFunc(s.common, missing) {
			blocking = append(blocking, p)
		}
	}
	return blocking
}

// quarantined reports whether it is too early to try prompts with a blocked part.
func (p *part) quarantined(now time.Time, delay time.Duration) bool {
	span := quarantine + delay
	if !p.soundAt.IsZero() {
		span /= soundQuarantineShare
	}
	crashes := p.suspicion().crashes
	return now.Before(crashes[len(crashes)-1].at.Add(span)) || now.Before(p.probedAt.Add(probeInterval))
}

// TryProbe reports whether a blocked request may be run to find out whether its parts still
// crash endpoints. The caller must run it.
func (t *Tracker) TryProbe(f Fingerprint, parts []PartID, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	blocked := t.requestBlocked(f, now)
	if blocked && t.requests[f].quarantined(now, t.probeDelay) {
		return false
	}
	blocking := t.blockingParts(parts)
	if slices.ContainsFunc(blocking, func(p *part) bool { return p.quarantined(now, t.probeDelay) }) {
		return false
	}
	for _, p := range blocking {
		p.probedAt = now
	}
	if blocked {
		t.requests[f].probedAt = now
	}
	return true
}

// RecordSound records that an output was begun for a prompt with the parts.
func (t *Tracker) RecordSound(parts []PartID, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, id := range parts {
		t.recordSound(id, now)
	}
}

func (t *Tracker) recordSound(id PartID, at time.Time) {
	if p, known := t.parts[id]; known && at.After(p.soundAt) {
		p.soundAt = at
	}
}

// ApplySounds records what other trackers report.
func (t *Tracker) ApplySounds(sounds []Sound, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, s := range sounds {
		t.recordSound(s.Part, now.Add(-s.Age))
		t.recordSuccess(s.Request, now.Add(-s.Age))
	}
}

// Sounds returns the reports on parts that were in the prompts of several crashes, and on requests
// that were blocked.
func (t *Tracker) Sounds(now time.Time) []Sound {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []Sound
	for id, p := range t.parts {
		if len(p.crashes) >= maxCrashes-1 && !p.soundAt.IsZero() {
			list = append(list, Sound{Part: id, Age: now.Sub(p.soundAt)})
		}
	}
	for f, r := range t.requests {
		if !r.succeededAt.IsZero() && r.hasBlocked() {
			list = append(list, Sound{Request: f, Age: now.Sub(r.succeededAt)})
		}
	}
	return list
}
