package pool

import (
	"time"

	"crocusstep/ident"
)

// acknowledgements holds the software versions that members run, by whether most hubs are known to
// have heard of them. A version that no member runs any more is removed.
type acknowledgements map[ServiceVersion]acknowledgement

type acknowledgement struct {
	// acknowledged is set once most hubs have heard of the version.
	acknowledged bool
	// since is when this process noticed the version.
	since time.Time
}

// remove removes the version of a process that has ended, unless another member runs it.
func (a acknowledgements) remove(e Endpoint, members map[ident.EndpointName]*member) {
	v := ServiceVersion{e.Service, e.Version}
	if _, known := a[v]; !known {
		return
	}
	for _, m := range members {
		if (ServiceVersion{m.endpoint.Service, m.endpoint.Version}) == v {
			return
		}
	}
	delete(a, v)
}

// Unacknowledged returns the software versions that most hubs are not known to have heard of and
// that were noticed within a span, and the revision that a hub must have to know them.
func (p *Pool) Unacknowledged(span time.Duration) (list []ServiceVersion, at Revision) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range p.running.of(p.members, p.revision) {
		a, known := p.acknowledged[v]
		if !known {
			a = acknowledgement{since: now}
			p.acknowledged[v] = a
		}
		if !a.acknowledged && now.Sub(a.since) < span {
			list = append(list, v)
		}
	}
	return list, p.revision
}

// Acknowledge records that most hubs have heard of software versions.
func (p *Pool) Acknowledge(list []ServiceVersion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range list {
		if a, runs := p.acknowledged[v]; runs {
			a.acknowledged = true
			p.acknowledged[v] = a
		}
	}
}

// Acknowledged reports whether most hubs have heard of a software version, or may not have for a
// span already.
func (p *Pool) Acknowledged(service ident.ServiceName, version ident.SoftwareVersion, span time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a, known := p.acknowledged[ServiceVersion{service, version}]
	return known && (a.acknowledged || time.Since(a.since) >= span)
}
