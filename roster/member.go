package roster

import (
	"sync"
	"time"

	"crocusstep/ident"
	"crocusstep/store"
	"crocusstep/wire"
)

// Member is one agent with what is known of it. It is a copy and never changes.
type Member struct {
	Instance store.Instance
	Load     wire.Load
	// LoadKnown is false until the agent replied for the first time.
	LoadKnown bool
	// Outstanding is this entry's own orders there that have not ended.
	Outstanding int
	// OutstandingTokens is the prompt tokens among them that are not yet read.
	OutstandingTokens ident.TokenCount
	// Suspended is true for a while after failures; such members come last.
	Suspended bool
}

type member struct {
	instance    store.Instance
	registered  time.Time
	load        wire.Load
	known       bool
	outstanding int
	tokens      ident.TokenCount
	failures    int
	// suspended ends the pause after a failure.
	suspended time.Time
	// draining ends the time for which the agent's own word counts.
	draining time.Time
}

// place adds or updates a member. A record that was written anew means a new
// process, so what was known of the old one is dropped.
func (r *Roster) place(record Record) {
	instance := record.Instance
	m, ok := r.members[instance.Endpoint]
	if !ok || m.instance.Address != instance.Address || !m.registered.Equal(record.Registered) {
		m = &member{registered: record.Registered}
		r.members[instance.Endpoint] = m
	}
	m.instance = instance
}

func (m *member) snapshot(now time.Time) Member {
	return Member{
		Instance:          m.instance,
		Load:              m.load,
		LoadKnown:         m.known,
		Outstanding:       m.outstanding,
		OutstandingTokens: m.tokens,
		Suspended:         now.Before(m.suspended),
	}
}

// UpdateLoad takes over an agent's own report, unless a newer one is known.
func (r *Roster) UpdateLoad(load wire.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[load.Endpoint]
	if !ok {
		return
	}
	if m.known && m.load.Incarnation == load.Incarnation && m.load.Sequence >= load.Sequence {
		return
	}
	m.load = load
	m.known = true
	m.draining = time.Time{}
	if load.Draining {
		m.draining = time.Now().Add(drainingFor)
	}
}

// TrackRequest counts an order of this entry, until the returned function is called.
func (r *Roster) TrackRequest(endpoint ident.EndpointName, tokens ident.TokenCount) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return func() {}
	}
	m.outstanding++
	m.tokens += tokens
	var once sync.Once
	return func() {
		once.Do(func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			m.outstanding--
			m.tokens -= tokens
		})
	}
}

// RecordFailure suspends a member for a while.
func (r *Roster) RecordFailure(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return
	}
	wait := min(suspendFor<<min(m.failures, 8), suspendMost)
	m.failures++
	m.suspended = time.Now().Add(wait)
}

// RecordSuccess ends what failures have led to.
func (r *Roster) RecordSuccess(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m, ok := r.members[endpoint]; ok {
		m.failures = 0
		m.suspended = time.Time{}
	}
}
