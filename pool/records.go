package pool

import (
	"maps"
	"slices"
	"time"

	"crocusstep/ident"
)

const (
	// lapsedGrace is how long an endpoint stays in use after its record disappeared in
	// an outage of the store. Live endpoints register again within 2 s after it.
	lapsedGrace = 2 * time.Second
	// maxLoggedChanges limits the changes kept for peers that lag behind; it covers
	// several minutes of frequent changes.
	maxLoggedChanges = 500
	// deletedTTL is how long a deleted process is remembered, in case the store is restored
	// from a copy that still has its record; copies are some seconds old.
	deletedTTL = time.Minute
)

// Change is an updated or deleted record.
type Change struct {
	Endpoint Endpoint `json:"endpoint"`
	// Deleted is set if the record was deleted; only the endpoint's name is then set.
	Deleted bool `json:"gone,omitempty"`
	// Lapsed is set if the record disappeared in an outage of the store, so that the
	// endpoint may still serve.
	Lapsed bool `json:"lapsed,omitempty"`
}

// loggedChange is a change with the revision that it was applied at.
type loggedChange struct {
	Change
	revision Revision
}

// deletedProcess is an endpoint process whose record was deleted.
type deletedProcess struct {
	startMillis int64
	at          time.Time
}

// ApplySnapshot replaces all records, unless the pool has the same or a newer revision.
// With outage set, or if the store was restored from a copy since, missing records count
// as lapsed instead of deleted.
func (p *Pool) ApplySnapshot(list []Endpoint, revision Revision, outage bool) (applied bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.applySnapshot(list, revision, outage)
}

// ApplyPeerSnapshot applies a snapshot of another process. What ran between the last state of this
// one and the snapshot is then unknown, unless the other's history covers it.
func (p *Pool) ApplyPeerSnapshot(list []Endpoint, revision Revision) (applied bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if applied = p.applySnapshot(list, revision, false); applied {
		p.covered = coverage{from: revision, since: time.Now()}
	}
	return applied
}

func (p *Pool) applySnapshot(list []Endpoint, revision Revision, outage bool) (applied bool) {
	if p.loaded && revision <= p.revision {
		return false
	}
	restored := p.loaded && revision.Era() > p.revision.Era()
	if !p.loaded || restored {
		// Changes from before a restore lead to another state than the copy.
		p.baseRevision, p.changeLog = revision, nil
	}
	outage = outage || restored
	if !p.loaded {
		p.covered = coverage{from: revision, since: time.Now()}
	}
	p.loaded, p.revision = true, revision
	// Versions may have ended and come back since the last state.
	clear(p.acknowledged)
	listed := map[ident.EndpointName]bool{}
	for _, e := range list {
		listed[e.Name] = true
		if restored {
			p.upsertRestored(e)
			continue
		}
		p.upsert(e)
	}
	for name := range p.members {
		if !listed[name] {
			p.removeRecord(name, outage)
		}
	}
	return true
}

// ApplyChanges applies the changes up to a revision, unless the pool has no snapshot of
// that era yet, or the same or a newer revision.
func (p *Pool) ApplyChanges(changes []Change, revision Revision, outage bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || revision <= p.revision || revision.Era() != p.revision.Era() {
		return
	}
	p.revision = revision
	for _, c := range changes {
		if c.Deleted {
			p.removeRecord(c.Endpoint.Name, outage || c.Lapsed)
			continue
		}
		p.upsert(c.Endpoint)
	}
}

func (p *Pool) upsert(e Endpoint) {
	if m, known := p.members[e.Name]; !known || m.endpoint != e || !m.lapsedAt.IsZero() {
		p.logChange(Change{Endpoint: e})
	}
	p.latestStart[e.Address] = max(p.latestStart[e.Address], e.StartMillis)
	m, known := p.members[e.Name]
	switch {
	case known && e.StartMillis < m.endpoint.StartMillis:
		// A late write of the previous process.
		return
	case !known, m.endpoint.StartMillis != e.StartMillis, m.endpoint.Address != e.Address:
		if known {
			p.versions.record(m.endpoint, time.Now())
		}
		p.members[e.Name] = &member{endpoint: e}
		if known {
			p.acknowledged.remove(m.endpoint, p.members)
		}
		return
	}
	if e.Version == "" {
		// Peers of an earlier build do not forward versions.
		e.Version = m.endpoint.Version
	}
	m.endpoint = e
	m.lapsedAt = time.Time{}
}

// upsertRestored applies a record that was listed after a restore, and that may be older
// than what is known of the same process. A process that was draining stays so. One whose
// record was deleted since the copy was made is not used until the store would have deleted
// the record again.
func (p *Pool) upsertRestored(e Endpoint) {
	m, known := p.members[e.Name]
	if known && m.endpoint.StartMillis == e.StartMillis {
		e.Draining = e.Draining || m.endpoint.Draining
	}
	p.upsert(e)
	if d, wasDeleted := p.deleted[e.Name]; !known && wasDeleted && d.startMillis == e.StartMillis && time.Since(d.at) < deletedTTL {
		p.members[e.Name].excludedUntil = time.Now().Add(mismatchExclusion)
	}
}

func (p *Pool) removeRecord(name ident.EndpointName, outage bool) {
	m, known := p.members[name]
	if known && m.lapsedAt.IsZero() {
		p.logChange(Change{Endpoint: Endpoint{Name: name}, Deleted: true, Lapsed: outage})
	}
	switch {
	case !known:
	case outage && !m.endpoint.Draining:
		if m.lapsedAt.IsZero() {
			m.lapsedAt = time.Now()
		}
	default:
		p.deleteMember(name)
	}
}

func (p *Pool) deleteMember(name ident.EndpointName) {
	m, now := p.members[name], time.Now()
	delete(p.members, name)
	p.versions.record(m.endpoint, now)
	p.acknowledged.remove(m.endpoint, p.members)
	maps.DeleteFunc(p.deleted, func(_ ident.EndpointName, d deletedProcess) bool { return now.Sub(d.at) >= deletedTTL })
	p.deleted[name] = deletedProcess{startMillis: m.endpoint.StartMillis, at: now}
	if p.latestStart[m.endpoint.Address] == m.endpoint.StartMillis {
		delete(p.latestStart, m.endpoint.Address)
	}
}

// RemoveLapsed removes and returns the members that have been lapsed for longer than the
// grace period, which starts at recovered, the end of the store's outage, at the earliest.
func (p *Pool) RemoveLapsed(now, recovered time.Time) (removed []ident.EndpointName) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, m := range p.members {
		if !m.lapsedAt.IsZero() && now.Sub(m.lapsedAt) > lapsedGrace && now.Sub(recovered) > lapsedGrace {
			p.deleteMember(name)
			removed = append(removed, name)
		}
	}
	return removed
}

// Snapshot returns all endpoints that have a record, sorted by name, and the revision.
func (p *Pool) Snapshot() ([]Endpoint, Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]Endpoint, 0, len(p.members))
	for _, m := range p.members {
		if m.lapsedAt.IsZero() {
			list = append(list, m.endpoint)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list, p.revision
}

// logChange records a change for ChangesSince and drops the oldest beyond the limit.
func (p *Pool) logChange(c Change) {
	if p.revision == p.baseRevision {
		return
	}
	p.changeLog = append(p.changeLog, loggedChange{Change: c, revision: p.revision})
	if excess := len(p.changeLog) - maxLoggedChanges; excess > 0 {
		p.baseRevision = p.changeLog[excess-1].revision
		p.changeLog = slices.Clone(p.changeLog[excess:])
	}
}

// ChangesSince returns the changes after a revision. It reports false if the log does
// not cover that revision.
func (p *Pool) ChangesSince(revision Revision) (changes []Change, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || revision < p.baseRevision || revision > p.revision {
		return nil, false
	}
	for _, l := range p.changeLog {
		if l.revision > revision {
			changes = append(changes, l.Change)
		}
	}
	return changes, true
}

// Revision returns the newest revision applied.
func (p *Pool) Revision() Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.revision
}
