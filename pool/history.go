package pool

import (
	"slices"
	"time"

	"crocusstep/ident"
)

// maxHistoryAge is the longest age that processes tell each other.
const maxHistoryAge = time.Minute

// coverage is the part of the past whose software versions a process knows all: those of every
// process that had a record at revision from or later, up to the present one.
type coverage struct {
	from Revision
	// since is when the store was at from, or later.
	since time.Time
}

// ServiceVersion is a software version of a service.
type ServiceVersion struct {
	Service ident.ServiceName     `json:"service"`
	Version ident.SoftwareVersion `json:"version"`
}

// EndedVersion is the software version of a process that has ended; others may still run it.
type EndedVersion struct {
	Service ident.ServiceName     `json:"service"`
	Version ident.SoftwareVersion `json:"version"`
	// Age is the time since the last such process ended.
	Age time.Duration `json:"age-ns"`
}

// History is what a process knows of the software versions of the past: all those with a record
// from one revision to another.
type History struct {
	// Age is the time since the store was at From, or shorter.
	Age time.Duration `json:"age-ns"`
	// From and To are zero in messages of earlier builds, which do not know what they cover.
	From Revision `json:"from,omitempty"`
	To   Revision `json:"to,omitempty"`
	// Running holds the versions of the processes at To.
	Running []ServiceVersion `json:"running,omitempty"`
	Ended   []EndedVersion   `json:"ended,omitempty"`
}

// History returns what this process knows, or nil before it knows any endpoints.
func (p *Pool) History() *History {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded {
		return nil
	}
	h := &History{Age: min(now.Sub(p.covered.since), maxHistoryAge), From: p.covered.from, To: p.revision}
	h.Running = p.running.of(p.members, p.revision)
	for service, versions := range p.versions {
		for version, last := range versions {
			if age := now.Sub(last); age < maxHistoryAge {
				h.Ended = append(h.Ended, EndedVersion{Service: service, Version: version, Age: age})
			} else {
				delete(versions, version)
			}
		}
	}
	return h
}

// runningVersions remembers the software versions of the members, which hubs send with each
// message.
type runningVersions struct {
	// versions are those of count members at a revision. The slice is not changed.
	versions []ServiceVersion
	revision Revision
	count    int
}

// of returns the software versions of the members at a revision. Between two revisions members only
// lapse.
func (r *runningVersions) of(members map[ident.EndpointName]*member, at Revision) []ServiceVersion {
	if r.revision == at && r.count == len(members) && r.versions != nil {
		return r.versions
	}
	*r = runningVersions{revision: at, count: len(members)}
	seen := map[ServiceVersion]bool{}
	for _, m := range members {
		if v := (ServiceVersion{m.endpoint.Service, m.endpoint.Version}); !seen[v] {
			seen[v] = true
			r.versions = append(r.versions, v)
		}
	}
	return r.versions
}

// AdoptHistory adds what another process knows, if this one knows the endpoints. The past counts as
// known only if the other's history reaches to this process's own first state: what ran between
// them may have begun streams, too.
func (p *Pool) AdoptHistory(h *History) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if h == nil || !p.loaded {
		return
	}
	p.addEnded(h, now)
	if h.To > p.revision {
		p.addRunning(h.Running, now)
	}
	if h.To >= p.covered.from {
		p.addMissed(h.Running, now)
		p.extend(h, now)
	}
}

// Precedes reports whether a history ends before this process's own first state and knows of
// earlier times.
func (p *Pool) Precedes(h *History) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return h != nil && p.loaded && h.To > 0 && h.To < p.covered.from && time.Now().Add(-h.Age).Before(p.covered.since)
}

// AdoptHistoryWith adopts a history that ends before this process's own first state, with all
// changes from its end up to a revision. It reports whether that closes the gap.
func (p *Pool) AdoptHistoryWith(h *History, changes []Change, to Revision) (adopted bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || h.To == 0 || to < p.covered.from {
		return false
	}
	p.addEnded(h, now)
	p.addRunning(h.Running, now)
	for _, c := range changes {
		if !c.Deleted {
			p.addRunning([]ServiceVersion{{c.Endpoint.Service, c.Endpoint.Version}}, now)
		}
	}
	p.extend(h, now)
	return true
}

// extend extends the coverage to that of a history that it continues.
func (p *Pool) extend(h *History, now time.Time) {
	if h.To == 0 || h.From > p.covered.from {
		return
	}
	p.covered.from = h.From
	if since := now.Add(-min(h.Age, maxHistoryAge)); since.Before(p.covered.since) {
		p.covered.since = since
	}
}

func (p *Pool) addEnded(h *History, now time.Time) {
	for _, v := range h.Ended {
		if last := now.Add(-v.Age); last.After(p.versions[v.Service][v.Version]) {
			p.versions.record(Endpoint{Service: v.Service, Version: v.Version}, last)
		}
	}
}

// addMissed records versions that ran within the part of the past that this process covers, but of
// which it knows no process: they came and went between two of its lists, at an unknown time.
func (p *Pool) addMissed(running []ServiceVersion, now time.Time) {
	for _, v := range running {
		if p.versions[v.Service][v.Version].IsZero() && !slices.Contains(p.running.of(p.members, p.revision), v) {
			p.versions.record(Endpoint{Service: v.Service, Version: v.Version}, now)
		}
	}
}

// addRunning records versions that ran at a revision that this process has no state of. Those
// without a process have ended at an unknown time since.
func (p *Pool) addRunning(running []ServiceVersion, now time.Time) {
	for _, v := range running {
		p.versions.record(Endpoint{Service: v.Service, Version: v.Version}, now)
	}
}
