package pool

import (
	"time"

	"crocusstep/ident"
)

// versionHistory holds when the last process of each software version of a service ended.
type versionHistory map[ident.ServiceName]map[ident.SoftwareVersion]time.Time

// record records that a process has ended.
func (h versionHistory) record(e Endpoint, now time.Time) {
	if h[e.Service] == nil {
		h[e.Service] = map[ident.SoftwareVersion]time.Time{}
	}
	h[e.Service][e.Version] = now
}

// SingleVersion returns the only software version that the endpoints of a service have run for a
// time. It reports false if there were others, an unknown one, or if this process does not know all
// versions of that time, as if it is longer than processes remember them.
func (p *Pool) SingleVersion(service ident.ServiceName, span time.Duration) (version ident.SoftwareVersion, single bool) {
	version, at, possible := p.NextSingleVersion(service, span)
	if !possible || time.Now().Before(at) {
		return "", false
	}
	return version, true
}

// NextSingleVersion returns the software version that all endpoints of a service run, and the time
// at which there will have been no other for a span. It reports false if they run several or
// unknown ones.
func (p *Pool) NextSingleVersion(service ident.ServiceName, span time.Duration) (version ident.SoftwareVersion, at time.Time, possible bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || span > maxHistoryAge {
		return "", at, false
	}
	for _, m := range p.members {
		if m.endpoint.Service != service {
			continue
		}
		if m.endpoint.Version == "" || version != "" && version != m.endpoint.Version {
			return "", at, false
		}
		version = m.endpoint.Version
	}
	at = p.covered.since.Add(span)
	for other, last := range p.versions[service] {
		if end := last.Add(span); other != version && end.After(at) {
			at = end
		}
	}
	return version, at, version != ""
}

// RunsVersion reports whether any process of a service runs a software version.
func (p *Pool) RunsVersion(service ident.ServiceName, version ident.SoftwareVersion) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range p.members {
		if m.endpoint.Service == service && m.endpoint.Version == version {
			return true
		}
	}
	return false
}
