package roster

import (
	"sync"
	"time"

	"crocusstep/ident"
	"crocusstep/store"
	"crocusstep/wire"
)

// Member is a snapshot of an agent's instance and load.
type Member struct {
	Instance store.Instance
	Load     wire.Load
	// LoadKnown is false until the agent's first response.
	LoadKnown bool
	// Outstanding is the number of this entry's requests in progress at the endpoint.
	Outstanding int
	// OutstandingTokens is the prompt tokens among them that are not prefilled yet.
	OutstandingTokens ident.TokenCount
	// Suspended is true for a while after failures; such members are chosen last.
	Suspended bool
}

type member struct {
	instance          store.Instance
	registered        time.Time
	load              wire.Load
	loadKnown         bool
	outstanding       int
	outstandingTokens ident.TokenCount
	failures          int
	// suspendedUntil is when the suspension after a failure ends.
	suspendedUntil time.Time
	// drainingUntil is when the agent's report that it is draining expires.
	drainingUntil time.Time
}

// upsertMember adds or updates a member. A different registration time means a
// new process, so the state of the old one is discarded.
func (r *Roster) upsertMember(record Record) {
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
		LoadKnown:         m.loadKnown,
		Outstanding:       m.outstanding,
		OutstandingTokens: m.outstandingTokens,
		Suspended:         now.Before(m.suspendedUntil),
	}
}

// UpdateLoad stores an agent's load report unless a newer one is known.
func (r *Roster) UpdateLoad(load wire.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[load.Endpoint]
	if !ok {
		return
	}
	if m.loadKnown && m.load.Incarnation == load.Incarnation && m.load.Sequence >= load.Sequence {
		return
	}
	m.load = load
	m.loadKnown = true
	m.drainingUntil = time.Time{}
	if load.Draining {
		m.drainingUntil = time.Now().Add(drainingTTL)
	}
}

// TrackRequest counts a request of this entry as outstanding until the returned
// function is called.
func (r *Roster) TrackRequest(endpoint ident.EndpointName, tokens ident.TokenCount) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return func() {}
	}
	m.outstanding++
	m.outstandingTokens += tokens
	var once sync.Once
	return func() {
		once.Do(func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			m.outstanding--
			m.outstandingTokens -= tokens
		})
	}
}

// RecordFailure suspends a member, for longer with each consecutive failure.
func (r *Roster) RecordFailure(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, ok := r.members[endpoint]
	if !ok {
		return
	}
	suspension := min(minSuspension<<min(m.failures, 8), maxSuspension)
	m.failures++
	m.suspendedUntil = time.Now().Add(suspension)
}

// RecordSuccess ends a member's suspension and resets its failure count.
func (r *Roster) RecordSuccess(endpoint ident.EndpointName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m, ok := r.members[endpoint]; ok {
		m.failures = 0
		m.suspendedUntil = time.Time{}
	}
}
