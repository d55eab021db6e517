// Package pool is one process's view of the endpoints of every service: who is
// there, what this process has under way at each, and how each has behaved.
package pool

import (
	"slices"
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// lapseGrace is how long an endpoint stays in use whose record went away in
	// an outage of the store. Records of living endpoints are back 2 s after it.
	lapseGrace = 2 * time.Second
	// suspendFirst is the pause after failures in a row; it doubles up to suspendMost.
	suspendFirst = 400 * time.Millisecond
	suspendMost  = 6 * time.Second
	// failureShare is the weight of the newest outcome in an endpoint's failure rate.
	failureShare = 0.15
	// logMost bounds the changes kept for those who lag behind: some minutes of an
	// unruly day.
	logMost = 500
	// absentFor is how long an endpoint is left out after another process answered
	// at its address: its record goes away after three of its heartbeats.
	absentFor = 4 * time.Second
	// paceShare is the weight of the newest time in an endpoint's mean.
	paceShare = 0.2
)

// Stage is the part of a request that an endpoint works on.
type Stage string

const (
	// Combined endpoints do all of a request.
	Combined Stage = ""
	// Prefill endpoints read prompts.
	Prefill Stage = "prefill"
	// Decode endpoints make answers.
	Decode Stage = "decode"
)

// Revision orders the states of the endpoints' records; it only grows.
type Revision int64

// Endpoint is what the platform says of one back end.
type Endpoint struct {
	Name ident.EndpointName `json:"name"`
	// StartMillis is the Unix millisecond of its start; another value is another process.
	StartMillis int64             `json:"born,omitempty"`
	Service     ident.ServiceName `json:"service"`
	Address     ident.Address     `json:"address"`
	Zone        ident.ZoneName    `json:"zone"`
	Stage       Stage             `json:"stage,omitempty"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// Draining endpoints take no new work.
	Draining bool `json:"leaving,omitempty"`
}

// Change is one change of a record.
type Change struct {
	Endpoint Endpoint `json:"endpoint"`
	// Deleted is set if the record was removed; only the name is then known.
	Deleted bool `json:"gone,omitempty"`
}

// Load is what an endpoint's keeper reported last.
type Load struct {
	// Headroom is the tokens that a new run could take; negative if runs wait for it.
	Headroom ident.TokenCount
	// PrefillBacklog is the time that the prompts take which are to be read before.
	PrefillBacklog time.Duration
	// PrefillSlowdown is how long readings take there by the usual time, or zero if not known.
	PrefillSlowdown float64
	ReportedAt      time.Time
}

// Member is an endpoint with what this process knows of it, as a copy.
type Member struct {
	Endpoint
	// Outstanding is this process's requests there that have not ended.
	Outstanding int
	// PromptTokens is the prompt tokens among them.
	PromptTokens ident.TokenCount
	// FailureRate is the share of failed requests, the newest counting most.
	FailureRate float64
	// MeanLatency is the mean time of a request, or zero.
	MeanLatency time.Duration
	// Suspended members have just failed several times in a row.
	Suspended bool
	// Lapsed members have no record since an outage of the store.
	Lapsed bool
	Load   Load
}

type member struct {
	endpoint    Endpoint
	outstanding int
	tokens      ident.TokenCount
	failureRate float64
	pace        time.Duration
	// row counts failures without a success between them.
	row       int
	suspended time.Time
	// lapsed is when the record went away in an outage, or zero.
	lapsed time.Time
	// absent ends the time for which the endpoint is left out.
	absent time.Time
	load   Load
}

// Pool is safe for concurrent use.
type Pool struct {
	mutex   sync.Mutex
	members map[ident.EndpointName]*member
	// newest is the latest start of any process at an address.
	newest map[ident.Address]int64
	// revision is that of the newest state taken over.
	revision Revision
	loaded   bool
	// log holds the changes after the revision base, in order.
	log  []logged
	base Revision
}

// logged is a change with the revision of the state that brought it.
type logged struct {
	Change
	revision Revision
}

// NewPool returns an empty view.
func NewPool() *Pool {
	return &Pool{members: map[ident.EndpointName]*member{}, newest: map[ident.Address]int64{}}
}

// ApplySnapshot takes over a whole list, unless a newer state is known. After an outage
// of the store records that are missing may only have lapsed.
func (p *Pool) ApplySnapshot(list []Endpoint, revision Revision, outage bool) (taken bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.loaded && revision <= p.revision {
		return false
	}
	if !p.loaded {
		p.base = revision
	}
	p.loaded, p.revision = true, revision
	listed := map[ident.EndpointName]bool{}
	for _, e := range list {
		listed[e.Name] = true
		p.place(e)
	}
	for name := range p.members {
		if !listed[name] {
			p.remove(name, outage)
		}
	}
	return true
}

// ApplyChanges takes over changes up to a revision.
func (p *Pool) ApplyChanges(changes []Change, revision Revision, outage bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || revision <= p.revision {
		return
	}
	p.revision = revision
	for _, c := range changes {
		if c.Deleted {
			p.remove(c.Endpoint.Name, outage)
			continue
		}
		p.place(c.Endpoint)
	}
}

func (p *Pool) place(e Endpoint) {
	if m, known := p.members[e.Name]; !known || m.endpoint != e || !m.lapsed.IsZero() {
		p.record(Change{Endpoint: e})
	}
	p.newest[e.Address] = max(p.newest[e.Address], e.StartMillis)
	m, known := p.members[e.Name]
	switch {
	case known && e.StartMillis < m.endpoint.StartMillis:
		// A late write of the process before.
		return
	case !known, m.endpoint.StartMillis != e.StartMillis, m.endpoint.Address != e.Address:
		p.members[e.Name] = &member{endpoint: e}
		return
	}
	m.endpoint = e
	m.lapsed = time.Time{}
}

func (p *Pool) remove(name ident.EndpointName, outage bool) {
	m, known := p.members[name]
	if known && m.lapsed.IsZero() {
		p.record(Change{Endpoint: Endpoint{Name: name}, Deleted: true})
	}
	switch {
	case !known:
	case outage && !m.endpoint.Draining:
		if m.lapsed.IsZero() {
			m.lapsed = time.Now()
		}
	default:
		p.drop(name)
	}
}

func (p *Pool) drop(name ident.EndpointName) {
	m := p.members[name]
	delete(p.members, name)
	if p.newest[m.endpoint.Address] == m.endpoint.StartMillis {
		delete(p.newest, m.endpoint.Address)
	}
}

// RemoveLapsed removes members whose records lapsed and did not come back, counted
// from the return of the store.
func (p *Pool) RemoveLapsed(now, returned time.Time) (gone []ident.EndpointName) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, m := range p.members {
		if !m.lapsed.IsZero() && now.Sub(m.lapsed) > lapseGrace && now.Sub(returned) > lapseGrace {
			p.drop(name)
			gone = append(gone, name)
		}
	}
	return gone
}

// Snapshot returns all endpoints with a record, and the revision they are of.
func (p *Pool) Snapshot() ([]Endpoint, Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]Endpoint, 0, len(p.members))
	for _, m := range p.members {
		if m.lapsed.IsZero() {
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

// record logs a change for Since; the oldest are forgotten.
func (p *Pool) record(c Change) {
	if p.revision == p.base {
		return
	}
	p.log = append(p.log, logged{Change: c, revision: p.revision})
	if excess := len(p.log) - logMost; excess > 0 {
		p.base = p.log[excess-1].revision
		p.log = slices.Clone(p.log[excess:])
	}
}

// ChangesSince returns what has changed after a revision, and whether that is known.
func (p *Pool) ChangesSince(revision Revision) (changes []Change, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.loaded || revision < p.base || revision > p.revision {
		return nil, false
	}
	for _, l := range p.log {
		if l.revision > revision {
			changes = append(changes, l.Change)
		}
	}
	return changes, true
}

// Revision returns the newest revision taken over.
func (p *Pool) Revision() Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.revision
}

// Loaded reports whether any list was taken over.
func (p *Pool) Loaded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.loaded
}

// Members returns the members of a service in a stage that take new work.
func (p *Pool) Members(service ident.ServiceName, stage Stage) []Member {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []Member
	for _, m := range p.members {
		if m.endpoint.Service == service && m.endpoint.Stage == stage && !m.endpoint.Draining &&
			!now.Before(m.absent) && !p.replaced(m) {
			list = append(list, m.snapshot(now))
		}
	}
	return list
}

// replaced reports whether a process that started later has the same address.
func (p *Pool) replaced(m *member) bool { return m.endpoint.StartMillis < p.newest[m.endpoint.Address] }

func (m *member) snapshot(now time.Time) Member {
	return Member{
		Endpoint:     m.endpoint,
		Outstanding:  m.outstanding,
		PromptTokens: m.tokens,
		FailureRate:  m.failureRate,
		MeanLatency:  m.pace,
		Suspended:    now.Before(m.suspended),
		Lapsed:       !m.lapsed.IsZero(),
		Load:         m.load,
	}
}

// Usable reports whether the very process may still be given new work.
func (p *Pool) Usable(e Endpoint) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	return known && m.endpoint.StartMillis == e.StartMillis && m.endpoint.Address == e.Address &&
		m.endpoint.Stage == e.Stage && !m.endpoint.Draining
}

// UpdateLoad takes over what a keeper says of its endpoint.
func (p *Pool) UpdateLoad(name ident.EndpointName, load Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m, known := p.members[name]; known && load.ReportedAt.After(m.load.ReportedAt) {
		m.load = load
	}
}

// Outcome is how a request at an endpoint ended, as far as the endpoint shows.
type Outcome int

const (
	// Neutral ends say nothing of the endpoint, as when the caller left.
	Neutral Outcome = iota
	// Success ends speak for it.
	Success
	// Failed ends speak against it.
	Failed
	// Unreachable ends suspend it at once: a connection refused or lost.
	Unreachable
	// Mismatch ends leave it out for a while: another process has its address, or
	// it works on another stage.
	Mismatch
)

// Begin counts a request at an endpoint until the returned function is called.
func (p *Pool) Begin(e Endpoint, tokens ident.TokenCount) (end func(Outcome, time.Duration)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known {
		return func(Outcome, time.Duration) {}
	}
	m.outstanding++
	m.tokens += tokens
	var once sync.Once
	return func(v Outcome, span time.Duration) {
		once.Do(func() {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			m.outstanding--
			m.tokens -= tokens
			m.learn(v, span, time.Now())
		})
	}
}

func (m *member) learn(v Outcome, span time.Duration, now time.Time) {
	switch v {
	case Neutral:
		return
	case Success:
		m.row = 0
		m.suspended = time.Time{}
		m.failureRate -= failureShare * m.failureRate
		if m.pace == 0 {
			m.pace = span
		} else {
			m.pace += time.Duration(paceShare * float64(span-m.pace))
		}
		return
	}
	if v == Mismatch {
		m.absent = now.Add(absentFor)
		return
	}
	m.failureRate += failureShare * (1 - m.failureRate)
	m.row++
	if v == Unreachable || m.row > 2 {
		m.suspended = now.Add(min(suspendFirst<<min(m.row, 8), suspendMost))
	}
}
